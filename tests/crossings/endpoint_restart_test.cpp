// An endpoint whose machine vanishes and comes back with a new process under its id and address: the calls of
// the earlier process have ended, though new connections come up. Discovery may tell of it too late.
#include "crossings/established_calls.h"

namespace reeltack::test {
namespace {

using Events = std::vector<std::string>;
constexpr CallId kBefore{0x71};
constexpr CallId kAfter{0x72};

class EndpointRestart : public EstablishedCalls {
 protected:
  void SetUp() override {
    EndpointWorld::SetUp();
    endpoint_ = &add(1);
    first_ = connected(*endpoint_);
    establish(kBefore, first_);
  }
  // A machine that has started anew resets what it does not know.
  static void reset(net::Fd& connection) {
    const linger at_once{1, 0};
    ::setsockopt(connection.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    connection.reset();
  }
  // From now on no connection comes up: a listener whose queue is full drops what asks for one.
  void vanish() {
    ASSERT_EQ(::listen(endpoint_->listening.get(), 0), 0);
    net::Dial how{};
    for (int i = 0; i < 4; ++i) queued_.push_back(net::begin_dial(endpoint_->address, how));
  }
  // Until a second connection has been tried in vain.
  void outlast_a_probe() {
    vanish();
    turn_for(3200ms);
  }
  // The link's next connection.
  net::Fd come_back() {
    EXPECT_EQ(::listen(endpoint_->listening.get(), 128), 0);
    queued_.clear();
    net::Fd out = accept(*endpoint_);
    while (out && out.far_end_closed()) out = accept(*endpoint_);  // one of the queue, or dialled in vain
    return out;
  }
  void expect_dropped(CallId call) {
    ASSERT_TRUE(callers_.await(call, 2));
    EXPECT_EQ(callers_.events(call).back(), "released 41");
  }

  // The call of before has not been cut, and ends by the endpoint's word.
  void expect_stands_until_its_end(const net::Fd& connection) {
    say(connection, end_line(kBefore, 16));
    turns();
    ASSERT_TRUE(callers_.await(kBefore, 2));
    EXPECT_EQ(callers_.events(kBefore), (Events{"stands sdp", "released 16"}));
  }

  FakeEndpoint* endpoint_ = nullptr;
  net::Fd first_;
  std::vector<net::Fd> queued_;
};

// Guards against callers who hear of the end of their calls only by discovery: the silent connection is
// replaced, and is then reset. The new process's calls go on.
TEST_F(EndpointRestart, ResetOfAReplacedSilentConnectionEndsTheCallsOfBefore) {
  outlast_a_probe();
  const net::Fd second = come_back();
  turns();
  establish(kAfter, second);
  reset(first_);
  turns();
  expect_dropped(kBefore);
  EXPECT_EQ(callers_.events(kAfter), Events{"stands sdp"});
  EXPECT_TRUE(is(line(second), "FINISH", kBefore)) << "in case that the endpoint holds it";
  EXPECT_EQ(lines_until_now(*endpoint_, second), Events{});
}

// The same where the connection in use is reset before a second one comes up.
TEST_F(EndpointRestart, ResetOfASilentConnectionInUseEndsItsCalls) {
  outlast_a_probe();
  reset(first_);
  turns();
  const net::Fd second = come_back();
  expect_dropped(kBefore);
  EXPECT_TRUE(is(line(second), "FINISH", kBefore));
}

// Seen first by a write: that error is the only sign of the reset.
TEST_F(EndpointRestart, ResetSeenByAWriteEndsTheCallsToo) {
  outlast_a_probe();
  reset(first_);
  EXPECT_TRUE(start(*endpoint_, kAfter, 0));
  endpoint_->link->release(CallId{0x5});
  turns();
  const net::Fd second = come_back();
  expect_dropped(kBefore);
}

// A connection that was not silent: its reset says nothing about the calls, which no connection owns.
TEST_F(EndpointRestart, ResetOfABusyConnectionEndsNoCall) {
  reset(first_);
  const net::Fd second = accept(*endpoint_);
  turns();
  expect_stands_until_its_end(second);
}

// Guards against calls that are cut while their office holds them: the connection alone was silent, and a
// second one came up at once.
TEST_F(EndpointRestart, ResetOfAConnectionThatAloneWasSilentEndsNoCall) {
  const net::Fd second = accept(*endpoint_);
  turns();
  reset(first_);
  turns();
  expect_stands_until_its_end(second);
}

// A word on the replaced connection: its process has outlived the silence, whatever ends the connection then.
TEST_F(EndpointRestart, ResetOfAReplacedConnectionThatSpokeAgainEndsNoCall) {
  outlast_a_probe();
  const net::Fd second = come_back();
  turns();
  say(first_, "{\"verb\":\"PENDING\",\"tag\":\"0000000000000005\",\"opts\":{}}\n");
  turns();
  reset(first_);
  turns();
  expect_stands_until_its_end(second);
}

// A silent connection that was replaced and is then closed in order: its calls go on.
TEST_F(EndpointRestart, CloseOfAReplacedSilentConnectionEndsNoCall) {
  outlast_a_probe();
  const net::Fd second = come_back();
  turns();
  first_.reset();
  turns();
  expect_stands_until_its_end(second);
}

}  // namespace
}  // namespace reeltack::test
