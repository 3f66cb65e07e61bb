// Releases that come as the program ends: an endpoint's, and a caller's behind our close.
#include "crossings/endpoint_world.h"
#include "platform/sip.h"
#include "shutdown/shutdown.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{0x71};

class LastReleases : public EndpointWorld {};

// Our side is closed first; what the endpoint writes until it closes its own is taken.
TEST_F(LastReleases, EndpointsReleaseBehindOurCloseIsTaken) {
  FakeEndpoint& endpoint = add(1);
  net::Fd connection = connected(endpoint);
  request(kCall);
  ASSERT_TRUE(is(line(connection), "START", kCall));
  say(connection, started_line(kCall));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 1));
  endpoint.link->finish();
  EXPECT_EQ(line(connection), "") << "the end";
  say(connection, end_line(kCall, 16));
  turns();
  EXPECT_FALSE(endpoint.link->finished()) << "it may have more to say";
  ASSERT_TRUE(callers_.await(kCall, 2));
  EXPECT_EQ(callers_.events(kCall).back(), "released 16");
  connection.reset();
  for (const Time by = net::now() + 10s; !endpoint.link->finished() && net::now() < by;) turn();
  EXPECT_TRUE(endpoint.link->finished());
}

// A set-up that is open there is answered before, and no other is sent.
TEST_F(LastReleases, ConnectionWithAnOpenSetUpIsNotClosedBeforeItsAnswer) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd connection = connected(endpoint);
  request(kCall);
  ASSERT_TRUE(is(line(connection), "START", kCall));
  endpoint.link->finish();
  turns();
  EXPECT_FALSE(start(endpoint, CallId{0x72}));
  EXPECT_FALSE(connection.far_end_closed());
  say(connection, started_line(kCall));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 1));
  EXPECT_EQ(callers_.events(kCall), std::vector<std::string>{"stands sdp"});
  EXPECT_EQ(line(connection), "");
}

// A release of ours that comes up after all was closed has a connection of its own.
TEST_F(LastReleases, ReleaseToAnEndpointBehindOurCloseGoesByAnotherConnection) {
  FakeEndpoint& endpoint = add(1);
  net::Fd connection = connected(endpoint);
  endpoint.link->finish();
  EXPECT_EQ(line(connection), "");
  connection.reset();
  turns();
  EXPECT_TRUE(endpoint.link->finished());
  endpoint.link->release(kCall);
  EXPECT_FALSE(endpoint.link->finished());
  net::Fd next = accept(endpoint);
  EXPECT_TRUE(is(line(next), "FINISH", kCall));
  EXPECT_EQ(line(next), "");
  next.reset();
  for (const Time by = net::now() + 10s; !endpoint.link->finished() && net::now() < by;) turn();
  EXPECT_TRUE(endpoint.link->finished());
}

// The whole end of the program, without its bounds of time: the endpoint has a release to say once it hears
// of our close, and the caller hears of it before its own connection is closed.
class WholeEnd : public ::testing::Test {
 protected:
  void SetUp() override {
    Settings settings;
    settings.classes.push_back({.aim = 2s, .deadline = 9s});
    core_ = std::make_unique<core::Core>(settings, 1);
    offices_ = std::make_unique<platform::Offices>(*core_, std::vector<std::string>{"voice"}, 500ms);
    front_ = std::make_unique<platform::SipFrontend>(*core_, std::vector<std::string>{"voice"}, 16);
    const auto port = static_cast<std::uint16_t>(20000 + ::getpid() % 20000);
    const std::string host = "127.100.11." + std::to_string(1 + ::getpid() % 250);
    listening_ = net::listen_on({host, port});
    core_->start(*offices_, front_.get());
    const net::Address front_at{host, static_cast<std::uint16_t>(port + 1)};
    front_->open(front_at);
    core::OfficeEntry entry{{.server = ServerId{1}, .place = 0, .state = ServerState::ready},
                            net::to_text({host, port})};
    entry.entry.capacity = 1.0;
    core_->update_offices(true, {entry});
    endpoint_ = net::accept_one(listening_, net::now() + 10s);
    caller_ = net::dial(front_at, net::now() + 10s).fd;
    ASSERT_TRUE(endpoint_ && caller_);
  }
  void TearDown() override {
    front_->close_all();
    core_->stop();
  }
  static std::string request(const std::string& method, const std::string& more) {
    return method +
           " sip:0000000000000001@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + hex_of(kCall) +
           "\r\nCSeq: 1 " + method + "\r\n" + more + "Content-Length: 0\r\n\r\n";
  }
  // All that comes until `what` has come or the connection has ended, within 10 s.
  static std::string read_until(const net::Fd& from, const std::string& what) {
    std::string out;
    char chunk[4096];
    while (out.find(what) == std::string::npos && net::readable(from, net::now() + 10s)) {
      const ssize_t n = ::recv(from.get(), chunk, sizeof chunk, 0);
      if (n <= 0) return out + "|end";
      out.append(chunk, static_cast<std::size_t>(n));
    }
    return out;
  }
  static constexpr const char* kToTheEnd = "|never";
  std::unique_ptr<core::Core> core_;
  std::unique_ptr<platform::Offices> offices_;
  std::unique_ptr<platform::SipFrontend> front_;
  net::Fd listening_, endpoint_, caller_;
};

TEST_F(WholeEnd, EndpointsLastReleaseReachesTheCaller) {
  ASSERT_TRUE(net::write_all(caller_, request("INVITE", "Subject: voice\r\nX-Patience: 9000\r\n")));
  ASSERT_NE(read_until(endpoint_, "START").find(hex_of(kCall)), std::string::npos);
  ASSERT_TRUE(net::write_all(endpoint_, started_line(kCall)));
  ASSERT_NE(read_until(caller_, "200 OK").find("200 OK"), std::string::npos);
  const Time at = net::now();
  base::Thread ending([this, at] {
    shut_down(*core_, *offices_, *front_, nullptr,
              {.close_idle_at = at,
               .refuse_remaining_at = at + 60s,
               .offices_deadline = at + 60s,
               .offices_close_timeout = 60s,
               .connections_deadline = at + 60s});
  });
  EXPECT_NE(read_until(endpoint_, kToTheEnd).find("|end"), std::string::npos);
  net::pause_until(net::now() + 300ms);  // in the wrong order the caller would be closed by now
  EXPECT_FALSE(caller_.far_end_closed());
  ASSERT_TRUE(net::write_all(endpoint_, end_line(kCall, 16)));
  endpoint_.reset();
  const std::string said = read_until(caller_, kToTheEnd);
  EXPECT_NE(said.find("BYE "), std::string::npos) << said;
  EXPECT_NE(said.find("|end"), std::string::npos) << said;
  caller_.reset();
  ending.join();
}

}  // namespace
}  // namespace reeltack::test
