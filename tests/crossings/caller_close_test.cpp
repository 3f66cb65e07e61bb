// A caller closes, half-closes, resets or cancels at each stage of its call.
#include "sip_rig.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{1};
constexpr CallId kQueued{2};

class CallerClose : public SipRig {};

enum class How { close, half_close, reset, cancel };
class CallerLeaves : public SipRig, public ::testing::WithParamInterface<How> {
 protected:
  static void leave(SipCaller& caller, int id) {
    switch (GetParam()) {
      case How::close:
        return caller.far.close();
      case How::half_close:
        return caller.half_close();
      case How::reset: {
        const linger hard{1, 0};
        ::setsockopt(caller.far.fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        return caller.far.close();
      }
      case How::cancel:
        return caller.far.send("CANCEL " + id_text(id));
    }
  }
  // What has left is in the kernel, and not yet noticed.
  static bool await_left(const SipCaller& caller) {
    return GetParam() == How::cancel ? caller.await_message_in_kernel() : caller.await_close_in_kernel();
  }
  void expect_final(SipCaller& caller, int id) {
    if (GetParam() == How::cancel) expect_message(caller, {"200", "CANCEL"});
    if (GetParam() == How::cancel || GetParam() == How::half_close)
      expect_message(caller, {"SIP/2.0 487", id_text(id), "INVITE"});
  }
};

// A CANCEL that is unread can't be known of, a close can.
class CallerCloses : public CallerLeaves {};

TEST_P(CallerLeaves, InTheQueueItIsNeverSent) {
  run_sip(usual_settings());
  SipCaller& holder = connect();
  occupy_endpoint(holder, 1);
  SipCaller& caller = connect();
  caller.send(invite(2));
  settle(*core_);
  leave(caller, 2);
  ASSERT_TRUE(await_left(caller));
  caller.step();
  caller.step();
  settle(*core_);
  core_->office_answered(kFirst, kCall, "d");
  settle(*core_);
  EXPECT_EQ(endpoints_.starts_of(kQueued), 0U);
  EXPECT_EQ(core_->open_calls(), 0U);
  expect_final(caller, 2);
  if (GetParam() != How::cancel) {
    EXPECT_TRUE(await_over(caller));
  }
}

// The loop is behind: the core has the queued call's turn before the leaving is read.
TEST_P(CallerCloses, InTheQueueUnnoticedItIsNotSentEither) {
  run_sip(usual_settings());
  SipCaller& holder = connect();
  occupy_endpoint(holder, 1);
  SipCaller& caller = connect();
  caller.send(invite(2));
  settle(*core_);
  settle_at(*core_, base::now() + 30ms);
  leave(caller, 2);
  ASSERT_TRUE(await_left(caller));
  core_->office_answered(kFirst, kCall, "d");
  settle(*core_);
  EXPECT_EQ(endpoints_.starts_of(kQueued), 0U);
  EXPECT_EQ(core_->open_calls(), 0U);
  caller.step();
  settle(*core_);
  expect_final(caller, 2);
  EXPECT_TRUE(await_over(caller));
}

TEST_P(CallerLeaves, WithItsAttemptOutTheEndpointIsGivenUpOnce) {
  run_sip(usual_settings());
  SipCaller& caller = connect();
  occupy_endpoint(caller, 1);
  leave(caller, 1);
  ASSERT_TRUE(await_left(caller));
  caller.step();
  caller.step();
  settle(*core_);
  EXPECT_EQ(endpoints_.given_up(kCall), 1U);
  EXPECT_EQ(endpoints_.released(kCall), 0U);
  EXPECT_EQ(core_->in_flight(), 0U);
  expect_final(caller, 1);
}

TEST_P(CallerLeaves, BetweenChoiceAndWriteTheAttemptIsGivenUpAsItBegins) {
  run_sip(usual_settings());
  SipCaller& caller = connect();
  endpoints_.hold(true);
  occupy_endpoint(caller, 1);  // the core is held as it hands the attempt over
  leave(caller, 1);
  ASSERT_TRUE(await_left(caller));
  caller.step();
  caller.step();
  endpoints_.hold(false);
  settle(*core_);
  EXPECT_EQ(endpoints_.given_up(kCall), 1U);
  EXPECT_EQ(endpoints_.starts(), 1U);
  expect_final(caller, 1);
}

TEST_P(CallerLeaves, DuringTheReleaseWaitThereIsNoRetry) {
  run_sip(usual_settings(), {kFirst, kSecond});
  SipCaller& caller = connect();
  occupy_endpoint(caller, 1);
  core_->attempt_failed(kCall, 0, AttemptOutcome::reset);
  settle(*core_);
  leave(caller, 1);
  ASSERT_TRUE(await_left(caller));
  caller.step();
  caller.step();
  settle_at(*core_, base::now() + 2 * kGuard);
  EXPECT_EQ(endpoints_.starts(), 1U);
  EXPECT_EQ(endpoints_.given_up(kCall), 1U);
  EXPECT_EQ(core_->open_calls(), 0U);
  expect_final(caller, 1);
}

// The endpoint's answer meets a close that the kernel holds and the loop has not read: nobody would end what
// stands.
TEST_P(CallerCloses, UnnoticedWhenTheAnswerComesTheEndpointIsReleasedOnce) {
  run_sip(usual_settings());
  SipCaller& caller = connect();
  occupy_endpoint(caller, 1);
  leave(caller, 1);
  ASSERT_TRUE(await_left(caller));
  core_->office_answered(kFirst, kCall, "d");
  settle(*core_);
  EXPECT_EQ(endpoints_.released(kCall), 1U);
  EXPECT_EQ(core_->in_flight(), 0U);
  expect_final(caller, 1);
  EXPECT_TRUE(await_over(caller));
  settle(*core_);
  EXPECT_EQ(endpoints_.released(kCall) + endpoints_.given_up(kCall), 1U);
}

std::string name_of(const ::testing::TestParamInfo<How>& info) {
  constexpr const char* kNames[] = {"Close", "HalfClose", "Reset", "Cancel"};
  return kNames[static_cast<int>(info.param)];
}
INSTANTIATE_TEST_SUITE_P(Each, CallerLeaves,
                         ::testing::Values(How::close, How::half_close, How::reset, How::cancel), name_of);
INSTANTIATE_TEST_SUITE_P(Each, CallerCloses, ::testing::Values(How::close, How::half_close, How::reset),
                         name_of);

// The answer is on its way as the caller cancels: it is the one answer.
TEST_F(CallerClose, CancelThatCrossesTheAnswerChangesNothing) {
  run_sip(usual_settings());
  SipCaller& caller = connect();
  occupy_endpoint(caller, 1);
  caller.far.send("CANCEL " + id_text(1));
  ASSERT_TRUE(caller.await_message_in_kernel());
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  caller.step();
  settle(*core_);
  expect_message(caller, {"200", "1 INVITE", "by a"});
  expect_message(caller, {"200", "CANCEL"});
  expect_nothing(caller);
  EXPECT_EQ(endpoints_.given_up(kCall) + endpoints_.released(kCall), 0U);
  EXPECT_EQ(core_->in_flight(), 1U);
}

// A release and the reset behind it: the release lies in the kernel as writing to the caller fails.
TEST_F(CallerClose, ReleaseBeforeAResetIsTaken) {
  run_sip(usual_settings());
  SipCaller& caller = connect();
  occupy_endpoint(caller, 1);
  core_->office_answered(kFirst, kCall, "d");
  settle(*core_);
  expect_message(caller, {"200", "INVITE"});
  caller.far.send("BYE " + id_text(1));
  ASSERT_TRUE(caller.await_message_in_kernel());
  caller.far.close();
  ASSERT_TRUE(caller.await_close_in_kernel());
  // The first write has the far end reset, the second fails.
  EXPECT_TRUE(
      await_kernel([&] { return !caller.near->push("SIP/2.0 100 Trying\r\nContent-Length: 0\r\n\r\n"); }));
  EXPECT_TRUE(await_over(caller));
  settle(*core_);
  EXPECT_EQ(endpoints_.released(kCall), 1U);
  EXPECT_EQ(core_->in_flight(), 0U);
}

}  // namespace
}  // namespace reeltack::test
