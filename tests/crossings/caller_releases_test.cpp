// Releases on their way to callers whose connections end, or don't read: through a real front and core.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <future>

#include "platform/sip.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

constexpr ServerId kEndpoint{1};
const std::string kCall = "0000000000000071";

// Each set-up is answered at once.
class AnsweringEndpoint final : public core::OfficeSide {
 public:
  explicit AnsweringEndpoint(std::unique_ptr<core::Core>& core) : core_(core) {}
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& /*offices*/) override {}
  void start(const core::SetUp& set_up) override { core_->answered(set_up.office, set_up.call, "sdp"); }
  void give_up(ServerId /*office*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*office*/, CallId /*call*/) override {}
  void keep(ServerId /*office*/, bool /*calls_stand*/) override {}

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
    front_ = std::make_unique<platform::SipFront>(*core_, std::vector<std::string>{"voice"}, 16);
    address_ = {"127.100.10." + std::to_string(1 + ::getpid() % 250),
                static_cast<std::uint16_t>(20000 + ::getpid() % 20000)};
    front_->open(address_);
    core_->start(endpoint_, front_.get());
    core::OfficeEntry entry{{.server = kEndpoint, .place = 0, .state = ServerState::ready}, "127.0.0.1:9"};
    entry.entry.capacity = 1.0;
    core_->told(false, {entry});
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
  static std::string request(const std::string& method, const std::string& more = "",
                             const std::string& body = "") {
    return method + " sip:0000000000000001@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + kCall +
           "\r\nCSeq: 1 " + method + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  static std::string invite() { return request("INVITE", "Subject: voice\r\nX-Patience: 9000\r\n", "offer"); }
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
  void let_stand(const net::Fd& connection) {
    EXPECT_TRUE(net::write_all(connection, invite()));
    ASSERT_TRUE(comes(connection, "200 OK"));
  }
  void endpoint_releases() { core_->ended({kEndpoint, CallId{0x71}, 16, "", {}}); }
  // The caller asks and asks and reads nothing, until what it is answered leaves the front no more.
  static void stop_reading(const net::Fd& connection) {
    const std::string ask = request("OPTIONS");
    std::string asks;
    for (int i = 0; i < 400; ++i) asks += ask;
    for (int waits = 0; waits < 3;) {
      const ssize_t n = ::send(connection.get(), asks.data(), asks.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0) {
        ++waits;
        net::pause_until(net::now() + 50ms);
        continue;
      }
      std::rotate(asks.begin(), asks.begin() + n, asks.end());  // so that no message is broken
      waits = 0;
    }
  }

  std::unique_ptr<core::Core> core_;
  AnsweringEndpoint endpoint_;
  net::Address address_;
  std::unique_ptr<platform::SipFront> front_;
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
// is cut off, and be lost with it, while another connection of callers is open.
TEST_F(CallerReleases, GoesPastAConnectionThatDoesNotRead) {
  const net::Fd stuck = connect(4096);
  let_stand(stuck);
  const net::Fd other = connect();
  EXPECT_TRUE(net::write_all(other, request("OPTIONS")));
  ASSERT_TRUE(comes(other, "200 OK"));
  stop_reading(stuck);
  endpoint_releases();
  std::promise<void> released;  // the core has seen to it
  core_->ask(CallId{0x71}, [&released](const core::Status& /*status*/) { released.set_value(); });
  released.get_future().wait();
  stuck.shut_write();
  EXPECT_FALSE(comes(stuck, "BYE ")) << "all that had been queued there";
  EXPECT_TRUE(comes(other, "BYE "));
}

// The same without another connection: it is queued there, and goes on the next one once that is cut off.
TEST_F(CallerReleases, OnAConnectionThatIsCutOffUnreadGoesOnTheNextOne) {
  const net::Fd stuck = connect(4096);
  let_stand(stuck);
  stop_reading(stuck);
  endpoint_releases();
  while (front_->connections().unread + front_->connections().cut == 0) net::pause_until(net::now() + 10ms);
  const net::Fd next = connect();
  EXPECT_TRUE(comes(next, "BYE "));
}

}  // namespace
}  // namespace reeltack::test
