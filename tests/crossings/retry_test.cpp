// What crosses a retry: the wait for the release of the attempt before it, and the ends that fall into it.
#include "core_rig.h"

namespace reeltack::test {
namespace {

using core::FailureReason;

constexpr CallId kCall{1};

class RetryCrossings : public CoreRig {
 protected:
  // The call's first attempt has ended as `ending`; returns when the core knew of it.
  Time first_attempt_ended(Duration left, AttemptOutcome ending) {
    run(usual_settings(), {kFirst, kSecond});
    request(kCall, left);
    EXPECT_TRUE(endpoints_.await_starts(1));
    const Time at = base::now();
    core_->attempt_failed(kCall, 0, ending);
    settle(*core_);
    EXPECT_EQ(endpoints_.starts(), 1U);
    return at;
  }
  // Nothing is sent any more, long after the wait.
  void expect_no_retry() {
    settle_at(*core_, base::now() + 2 * kGuard);
    EXPECT_EQ(endpoints_.starts(), 1U);
    EXPECT_EQ(callers_.answers_to(kCall).size(), 1U);
    EXPECT_EQ(core_->open_calls(), 0U);
  }
};

// What the others of this file leave out: without an event in between the call goes again, after the wait.
TEST_F(RetryCrossings, UndisturbedCallIsSentAgainAfterTheWait) {
  const Time ended = first_attempt_ended(8s, AttemptOutcome::reset);
  ASSERT_TRUE(endpoints_.await_starts(2));
  EXPECT_GE(base::now(), ended + kGuard);
  EXPECT_EQ(endpoints_.start_of(1).attempt, 1U);
  EXPECT_EQ(endpoints_.given_up(kCall), 1U);
}

class RetryAfter : public RetryCrossings, public ::testing::WithParamInterface<AttemptOutcome> {};
TEST_P(RetryAfter, CallerThatLeavesDuringTheWaitIsNotRetried) {
  first_attempt_ended(8s, GetParam());
  core_->cancel(kCall, callers_);
  EXPECT_EQ(callers_.await_answer(kCall).why, FailureReason::cancelled);
  expect_no_retry();
  EXPECT_EQ(endpoints_.given_up(kCall), 1U);  // the attempt, once, when it ended
}
INSTANTIATE_TEST_SUITE_P(Each, RetryAfter,
                         ::testing::Values(AttemptOutcome::reset, AttemptOutcome::timeout,
                                           AttemptOutcome::cancelled));

TEST_F(RetryCrossings, CallerGoneUnnoticedAtTheRetryIsNotRetried) {
  first_attempt_ended(8s, AttemptOutcome::reset);
  callers_.waiting_ = false;
  EXPECT_EQ(callers_.await_answer(kCall).why, FailureReason::cancelled);
  expect_no_retry();
}

TEST_F(RetryCrossings, DeadlineDuringTheWaitIsTheOneAnswer) {
  first_attempt_ended(200ms, AttemptOutcome::reset);  // no retry can be in time
  EXPECT_FALSE(callers_.await_answer(kCall).stands);
  expect_no_retry();
}

TEST_F(RetryCrossings, AllEndpointsGoDuringTheWait) {
  first_attempt_ended(1200ms, AttemptOutcome::reset);
  list({kFirst, kSecond}, ServerState::gone);
  EXPECT_FALSE(callers_.await_answer(kCall).stands);
  expect_no_retry();
}

TEST_F(RetryCrossings, EndpointThatDrainsBetweenChoiceAndWriteGetsNoRetry) {
  first_attempt_ended(1200ms, AttemptOutcome::reset);
  list({kFirst, kSecond}, ServerState::draining);
  EXPECT_FALSE(callers_.await_answer(kCall).stands);
  expect_no_retry();
}

// A late answer to the attempt before is released where it stands, and does not answer for the retry.
TEST_F(RetryCrossings, LateAnswerOfTheAttemptBeforeDuringTheRetryIsReleased) {
  first_attempt_ended(8s, AttemptOutcome::reset);
  const ServerId before = endpoints_.start_of(0).office;
  list({before}, ServerState::draining);  // the retry goes elsewhere: one endpoint's two attempts look alike
  ASSERT_TRUE(endpoints_.await_starts(2));
  const ServerId now = endpoints_.start_of(1).office;
  ASSERT_NE(before, now);
  core_->office_answered(before, kCall, "late");
  settle(*core_);
  EXPECT_EQ(endpoints_.released(kCall), 1U);
  EXPECT_TRUE(callers_.answers_to(kCall).empty());
  core_->office_answered(now, kCall, "d");
  EXPECT_TRUE(callers_.await_answer(kCall).stands);
  EXPECT_EQ(endpoints_.released(kCall), 1U);
}

// Refused as full and the connection closed, in one read: the first counts, and the call goes once to the
// other.
TEST_F(RetryCrossings, RefusalAndResetInOneBatchCountOnce) {
  run(usual_settings(), {kFirst, kSecond});
  endpoints_.hold(true);
  request(kCall, 8s);
  ASSERT_TRUE(endpoints_.await_starts(1));
  const ServerId full = endpoints_.start_of(0).office;
  constexpr int kFull = 34;
  core_->office_released({full, kCall, kFull, "blocked", {}});
  core_->attempt_failed(kCall, 0, AttemptOutcome::reset);
  endpoints_.hold(false);
  ASSERT_TRUE(endpoints_.await_starts(2));
  EXPECT_NE(endpoints_.start_of(1).office, full);
  core_->attempt_failed(kCall, 0, AttemptOutcome::reset);  // late: it is not of the attempt that is out now
  core_->office_answered(endpoints_.start_of(1).office, kCall, "d");
  EXPECT_TRUE(callers_.await_answer(kCall).stands);
  settle(*core_);
  EXPECT_EQ(endpoints_.starts(), 2U);
  EXPECT_EQ(endpoints_.given_up(kCall), 0U);
}

// Less left than an answer needs to be on its way: answered at once, and never sent.
TEST_F(RetryCrossings, CallWithNextToNoTimeIsAnsweredAndNotSent) {
  run(usual_settings(), {kFirst, kSecond});
  std::uint64_t id = 100;
  for (const Duration left : {Duration{-5ms}, Duration{0ms}, Duration{1ms}, Duration{7ms}}) {
    const CallId call{id++};
    request(call, left);
    EXPECT_EQ(callers_.await_answer(call).why, FailureReason::deadline_passed);
    settle(*core_);
    EXPECT_EQ(callers_.answers_to(call).size(), 1U);
  }
  EXPECT_EQ(endpoints_.starts(), 0U);
}

// With a little more an attempt may go, and its endpoint may stay silent: it is answered all the same.
TEST_F(RetryCrossings, CallWithLittleTimeAndASilentEndpointIsAnsweredAtItsDeadline) {
  run(usual_settings(), {kFirst, kSecond});
  std::uint64_t id = 200;
  for (const Duration left : {Duration{9ms}, Duration{15ms}, Duration{40ms}, Duration{400ms}}) {
    const CallId call{id++};
    request(call, left);
    EXPECT_FALSE(callers_.await_answer(call).stands);
    settle(*core_);
    EXPECT_EQ(callers_.answers_to(call).size(), 1U);
    EXPECT_EQ(endpoints_.given_up(call), endpoints_.starts_of(call));  // what was sent is given up
  }
  EXPECT_GT(endpoints_.starts(), 0U);
}

// The same id once more while its call is open, and after its end: the first goes on undisturbed.
TEST_F(RetryCrossings, RequestUnderAnIdInUseDoesNotDisturbItsCall) {
  run(usual_settings(), {kFirst, kSecond});
  request(kCall, 8s);
  ASSERT_TRUE(endpoints_.await_starts(1));
  request(kCall, 8s);
  EXPECT_EQ(callers_.await_answer(kCall).why, FailureReason::duplicate);
  core_->office_answered(endpoints_.start_of(0).office, kCall, "d");
  settle(*core_);
  EXPECT_EQ(callers_.answers_to(kCall).size(), 2U);
  EXPECT_TRUE(callers_.answers_to(kCall).back().stands);
  EXPECT_EQ(endpoints_.starts(), 1U);
}

}  // namespace
}  // namespace reeltack::test
