// An endpoint's process dies and another one comes up under its id and address; calls are set up there before
// discovery tells of the new start. Only the calls of the earlier process have ended.
#include "crossings/established_calls.h"

namespace reeltack::test {
namespace {

using Events = std::vector<std::string>;
constexpr CallId kBefore{0x81};
constexpr CallId kAfter{0x82};
constexpr StartId kNewStart{5000};

class EndpointNewProcess : public EstablishedCalls {
 protected:
  void SetUp() override {
    EndpointWorld::SetUp();
    endpoint_ = &add(1);
    first_ = connected(*endpoint_);
    establish(kBefore, first_);
  }
  // The earlier process dies, and the next one is there before a connection can be refused.
  net::Fd replace_process() {
    const linger at_once{1, 0};
    ::setsockopt(first_.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    first_.reset();
    started_at_ = net::now();
    net::Fd out = accept(*endpoint_);
    turns();
    return out;
  }
  // What discovery says of the new process. `started_at`: when it started, by our own clock.
  void tell_of_new_process(Time started_at) {
    core::OfficeEntry told = entry(*endpoint_, ServerState::ready, kNewStart);
    told.entry.started_at = started_at;
    core_->update_offices(false, {told});
    turns();
  }
  void expect_dropped(CallId call) {
    ASSERT_TRUE(callers_.await(call, 2));
    EXPECT_EQ(callers_.events(call), (Events{"stands sdp", "released 41"}));
  }
  void expect_stands_until_its_end(CallId call, const net::Fd& connection) {
    say(connection, end_line(call, 16));
    turns();
    ASSERT_TRUE(callers_.await(call, 2));
    EXPECT_EQ(callers_.events(call), (Events{"stands sdp", "released 16"}));
  }

  FakeEndpoint* endpoint_ = nullptr;
  net::Fd first_;
  Time started_at_{};
};

// Guards against callers who are cut while their office holds their calls.
TEST_F(EndpointNewProcess, CallsAtItStandWhenDiscoveryTellsOfItsStart) {
  const net::Fd second = replace_process();
  establish(kAfter, second);
  tell_of_new_process(started_at_);
  expect_dropped(kBefore);
  EXPECT_EQ(lines_until_now(*endpoint_, second), Events{}) << "the connection in use is kept";
  expect_stands_until_its_end(kAfter, second);
}

// A set-up that is unanswered there when discovery tells of the start.
TEST_F(EndpointNewProcess, SetUpOpenAtItIsAnswered) {
  const net::Fd second = replace_process();
  request(kAfter);
  ASSERT_TRUE(is(line(second), "START", kAfter));
  tell_of_new_process(started_at_);
  expect_dropped(kBefore);
  say(second, started_line(kAfter));
  turns();
  ASSERT_TRUE(callers_.await(kAfter, 1));
  expect_stands_until_its_end(kAfter, second);
}

// A connection that has ended by then may have ended with the earlier process, whatever our clock says.
TEST_F(EndpointNewProcess, CallsAnsweredOnAnEndedConnectionEnd) {
  net::Fd second = replace_process();
  establish(kAfter, second);
  second.reset();
  const net::Fd third = accept(*endpoint_);
  turns();
  tell_of_new_process(started_at_);
  expect_dropped(kBefore);
  expect_dropped(kAfter);
}

// The same before the end of the connection has been noticed.
TEST_F(EndpointNewProcess, CallsAnsweredOnAConnectionWhoseEndIsUnreadEnd) {
  net::Fd second = replace_process();
  establish(kAfter, second);
  second.reset();
  core::OfficeEntry told = entry(*endpoint_, ServerState::ready, kNewStart);
  told.entry.started_at = started_at_;
  core_->update_offices(false, {told});
  expect_dropped(kBefore);
  expect_dropped(kAfter);
}

// The connection is older than the start that is told: it leads to a process that has died since.
TEST_F(EndpointNewProcess, ConnectionDialledBeforeItsStartIsNotKept) {
  const net::Fd second = replace_process();
  establish(kAfter, second);
  tell_of_new_process(net::now());
  expect_dropped(kBefore);
  expect_dropped(kAfter);
  EXPECT_EQ(line(second), "");
}

// It is not known when the new process started.
TEST_F(EndpointNewProcess, StartAtAnUnknownTimeEndsAllCalls) {
  const net::Fd second = replace_process();
  establish(kAfter, second);
  tell_of_new_process(Time{});
  expect_dropped(kBefore);
  expect_dropped(kAfter);
  EXPECT_EQ(line(second), "");
}

// A second restart ends the calls of the first new process too.
TEST_F(EndpointNewProcess, NextStartEndsItsCalls) {
  const net::Fd second = replace_process();
  establish(kAfter, second);
  tell_of_new_process(started_at_);
  expect_dropped(kBefore);
  core::OfficeEntry told = entry(*endpoint_, ServerState::ready, StartId{9000});
  told.entry.started_at = net::now();
  core_->update_offices(false, {told});
  turns();
  expect_dropped(kAfter);
}

}  // namespace
}  // namespace reeltack::test
