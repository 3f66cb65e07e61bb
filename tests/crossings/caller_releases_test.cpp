// Releases on their way to callers whose connections end, or don't read: through a real front and core.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <future>

#include "platform/sip.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

constexpr ServerId kEndpoint{1};
constexpr CallId kCall{0x71};

// Each set-up is answered at once.
class AnsweringEndpoint final : public core::OfficeBackend {
 public:
  explicit AnsweringEndpoint(std::unique_ptr<core::Core>& core) : core_(core) {}
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& /*offices*/) override {}
  void start(const core::SetUp& set_up) override {
    core_->office_answered(set_up.office, set_up.call, "sdp");
  }
  void cancel(ServerId /*office*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*office*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*office*/, bool /*calls_established*/) override {}

 private:
  std::unique_ptr<core::Core>& core_;
};

class CallerReleases : public ::testing::Test {
 protected:
  CallerReleases() : endpoint_(core_) {}
  void SetUp() override {
    Settings settings;
    settings.classes.push_back({.aim = 2s, .deadline = 9s});
    core_ = std::make_unique<core::Core>(settings, 1);
    front_ = std::make_unique<platform::SipFrontend>(*core_, std::vector<std::string>{"voice"}, 16);
    address_ = {"127.100.10." + std::to_string(1 + ::getpid() % 250),
                static_cast<std::uint16_t>(20000 + ::getpid() % 20000)};
    front_->open(address_);
    core_->start(endpoint_, front_.get());
    core::OfficeEntry entry{{.server = kEndpoint, .place = 0, .state = ServerState::ready}, "127.0.0.1:9"};
    entry.entry.capacity = 1.0;
    core_->update_offices(false, {entry});
  }
  void TearDown() override {
    front_->close_all();
    core_->stop();
  }
  net::Fd connect(int receive_buffer = 0) {
    net::Fd out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receive_buffer > 0)
      ::setsockopt(out.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address_.port);
    to.sin_addr.s_addr = htonl(0x7f640a00U + 1U + static_cast<std::uint32_t>(::getpid() % 250));
    EXPECT_EQ(::connect(out.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    return out;
  }
  static std::string request(const std::string& method, CallId call = kCall, const std::string& more = "",
                             const std::string& body = "") {
    return method + " sip:0000000000000001@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " +
           net::hex16(static_cast<std::uint64_t>(call)) + "\r\nCSeq: 1 " + method + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // Whether `what` comes on the connection before it ends, within 10 s.
  static bool comes(const net::Fd& from, const std::string& what) {
    std::string got;
    char chunk[65536];
    for (const Time by = net::now() + 10s; net::readable(from, by);) {
      const ssize_t n = ::recv(from.get(), chunk, sizeof chunk, 0);
      if (n <= 0) return false;
      got.append(chunk, static_cast<std::size_t>(n));
      if (got.find(what) != std::string::npos) return true;
      got.erase(0, got.size() > what.size() ? got.size() - what.size() : 0);
    }
    return false;
  }
  // A call that stands, set up on this connection.
  static void let_stand(const net::Fd& connection, CallId call = kCall) {
    EXPECT_TRUE(net::write_all(connection,
                               request("INVITE", call, "Subject: voice\r\nX-Patience: 9000\r\n", "offer")));
    ASSERT_TRUE(comes(connection, "200 OK"));
  }
  // And the core has passed it on.
  void endpoint_releases(CallId call = kCall) {
    core_->office_released({kEndpoint, call, 16, "", {}});
    std::promise<void> passed;
    core_->query(call, [&passed](const core::Status& /*status*/) { passed.set_value(); });
    passed.get_future().wait();
  }
  // The caller asks and asks and reads nothing, until nothing more is taken of it for `quiet`: the front
  // waits for its answers to be read, unless it is so slow that it has come to none of them meanwhile.
  static void stop_reading(const net::Fd& connection, Duration quiet) {
    const std::string ask = request("OPTIONS", kCall, "Via: " + std::string(6000, 'v') + "\r\n");
    std::string asks = ask + ask + ask + ask;
    for (Time by = net::now() + quiet; net::now() < by;) {
      const ssize_t n = ::send(connection.get(), asks.data(), asks.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno != EAGAIN) return;  // cut off by now
      if (n < 0) {
        net::pause_until(net::now() + 10ms);
        continue;
      }
      std::rotate(asks.begin(), asks.begin() + n, asks.end());  // so that no message is broken
      by = net::now() + quiet;
    }
  }

  std::unique_ptr<core::Core> core_;
  AnsweringEndpoint endpoint_;
  net::Address address_;
  std::unique_ptr<platform::SipFrontend> front_;
};

TEST_F(CallerReleases, GoesOnTheConnectionOfItsSetUp) {
  const net::Fd connection = connect();
  const net::Fd other = connect();
  let_stand(connection);
  endpoint_releases();
  EXPECT_TRUE(comes(connection, "BYE "));
}

// The connection has ended, no other is open, and the next one that is opened brings it.
TEST_F(CallerReleases, WithoutAConnectionGoesOnTheNextOne) {
  net::Fd connection = connect();
  let_stand(connection);
  connection.reset();
  endpoint_releases();
  const net::Fd next = connect();
  EXPECT_TRUE(comes(next, "BYE "));
}

// It is written to a connection that its caller closes without reading it.
TEST_F(CallerReleases, ThatCrossesTheCallersCloseGoesOnTheNextOne) {
  net::Fd connection = connect();
  let_stand(connection);
  endpoint_releases();
  ASSERT_TRUE(net::readable(connection, net::now() + 10s));  // it is there, unread
  connection.reset();
  const net::Fd next = connect();
  EXPECT_TRUE(comes(next, "BYE "));
}

// The caller half-closes: what is pushed there can't be trusted to be read.
TEST_F(CallerReleases, GoesPastAHalfClosedConnection) {
  const net::Fd connection = connect();
  let_stand(connection);
  const net::Fd other = connect();
  EXPECT_TRUE(net::write_all(other, request("OPTIONS")));
  ASSERT_TRUE(comes(other, "200 OK"));
  connection.shut_write();
  ASSERT_FALSE(comes(connection, "BYE "));  // the front closes it too
  endpoint_releases();
  EXPECT_TRUE(comes(other, "BYE "));
}

// The connection of the set-up does not read: its release would lie in the queue there until the connection
// is cut off, and be lost with it, while another connection of callers is open. Where the front has not come
// to wait yet, the release may rightly go there, and the case is set up again with more time.
TEST_F(CallerReleases, GoesPastAConnectionThatDoesNotRead) {
  bool passed = false;
  for (std::uint64_t tries = 0; !passed && tries < 6; ++tries) {
    const CallId call{0x71 + tries};
    const net::Fd stuck = connect(4096);
    let_stand(stuck, call);
    const net::Fd other = connect();
    EXPECT_TRUE(net::write_all(other, request("OPTIONS")));
    ASSERT_TRUE(comes(other, "200 OK"));
    stop_reading(stuck, (tries + 1) * 200ms);
    endpoint_releases(call);
    stuck.shut_write();
    const bool behind = comes(stuck, "BYE ");  // after all that had been queued there
    passed = !behind && comes(other, "BYE ");
  }
  EXPECT_TRUE(passed);
}

// The same without another connection: it is queued there, and goes on the next one once that is cut off.
TEST_F(CallerReleases, OnAConnectionThatIsCutOffUnreadGoesOnTheNextOne) {
  const net::Fd stuck = connect(4096);
  let_stand(stuck);
  stop_reading(stuck, 200ms);
  endpoint_releases();
  while (front_->connections().unread + front_->connections().dropped == 0)
    net::pause_until(net::now() + 10ms);
  const net::Fd next = connect();
  EXPECT_TRUE(comes(next, "BYE "));
}

}  // namespace
}  // namespace reeltack::test
