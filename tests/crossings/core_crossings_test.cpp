// What crosses inside the core: a caller's leaving, answers, deadlines and the end of endpoints, each held at
// the point where it meets another.
#include "core_rig.h"

namespace reeltack::test {
namespace {

using core::FailureReason;

constexpr CallId kCall{1};
constexpr CallId kNext{2};

class CoreCrossings : public CoreRig {};

// The endpoint has one unanswered INVITE, the next call waits for its turn there.
TEST_F(CoreCrossings, CallGivenUpInTheQueueIsNeverSent) {
  run(usual_settings());
  request(kCall, 8s);
  ASSERT_TRUE(endpoints_.await_starts(1));
  request(kNext, 8s);
  core_->cancel(kNext, callers_);
  EXPECT_EQ(callers_.await_answer(kNext).why, FailureReason::cancelled);
  core_->office_answered(kFirst, kCall, "d");
  EXPECT_TRUE(callers_.await_answer(kCall).stands);
  settle(*core_);
  EXPECT_EQ(endpoints_.starts_of(kNext), 0U);
  EXPECT_EQ(endpoints_.given_up(kNext), 0U);
  EXPECT_EQ(core_->open_calls(), 0U);
}

// Both lie in the inbox when the core comes to it: the request is never decided on.
TEST_F(CoreCrossings, RequestAndGiveUpInOneBatchSendNothing) {
  run(usual_settings(), {kFirst, kSecond});
  endpoints_.hold(true);
  request(kCall, 8s);
  ASSERT_TRUE(endpoints_.await_starts(1));  // the core is held
  request(kNext, 8s);
  core_->cancel(kNext, callers_);
  endpoints_.hold(false);
  EXPECT_EQ(callers_.await_answer(kNext).why, FailureReason::cancelled);
  settle(*core_);
  EXPECT_EQ(endpoints_.starts_of(kNext), 0U);
  EXPECT_EQ(callers_.answers_to(kNext).size(), 1U);
  request(CallId{3}, 8s);  // the other endpoint's turn is free
  EXPECT_TRUE(endpoints_.await_starts(2));
}

// The front has not said yet that the caller of a queued call has gone; the core asks before it sends.
TEST_F(CoreCrossings, QueuedCallWhoseCallerIsGoneIsNotSent) {
  run(usual_settings());
  request(kCall, 8s);
  ASSERT_TRUE(endpoints_.await_starts(1));
  request(kNext, 8s);
  settle(*core_);
  settle_at(*core_, base::now() + 30ms);  // it has waited for longer than what is sent without asking
  callers_.waiting_ = false;
  core_->office_answered(kFirst, kCall, "d");
  EXPECT_EQ(callers_.await_answer(kNext).why, FailureReason::cancelled);
  core_->cancel(kNext, callers_);  // noticed now
  settle(*core_);
  EXPECT_EQ(endpoints_.starts_of(kNext), 0U);
  EXPECT_EQ(callers_.answers_to(kNext).size(), 1U);
  EXPECT_EQ(core_->open_calls(), 0U);
  callers_.waiting_ = true;
  request(CallId{3}, 8s);  // its turn at the endpoint is free again
  EXPECT_TRUE(endpoints_.await_starts(2));
}

TEST_F(CoreCrossings, GiveUpBetweenChoiceAndWriteEndsTheAttemptOnce) {
  run(usual_settings());
  endpoints_.hold(true);
  request(kCall, 8s);
  ASSERT_TRUE(endpoints_.await_starts(1));  // chosen, and not yet written
  core_->cancel(kCall, callers_);
  endpoints_.hold(false);
  EXPECT_EQ(callers_.await_answer(kCall).why, FailureReason::cancelled);
  settle(*core_);
  EXPECT_EQ(endpoints_.given_up(kCall), 1U);
  EXPECT_EQ(endpoints_.starts(), 1U);
}

// In the inbox in either order: the first is the one answer, and a call that stands is released if the caller
// had left.
TEST_F(CoreCrossings, AnswerAndGiveUpInOneBatchGiveOneAnswer) {
  for (const bool answer_first : {true, false}) {
    run(usual_settings(), {kFirst});
    endpoints_.hold(true);
    const CallId call{answer_first ? 1U : 2U};
    request(call, 8s);
    ASSERT_TRUE(endpoints_.await_starts(answer_first ? 1 : 2));
    if (answer_first) core_->office_answered(kFirst, call, "d");
    core_->cancel(call, callers_);
    if (!answer_first) core_->office_answered(kFirst, call, "d");
    endpoints_.hold(false);
    EXPECT_EQ(callers_.await_answer(call).stands, answer_first);
    settle(*core_);
    EXPECT_EQ(callers_.answers_to(call).size(), 1U);
    EXPECT_EQ(endpoints_.given_up(call), answer_first ? 0U : 1U);
    EXPECT_EQ(endpoints_.released(call), answer_first ? 0U : 1U);
    EXPECT_EQ(core_->in_flight(), answer_first ? 1U : 0U);
    core_->stop();
  }
}

// The caller's connection has ended without the core having heard of it: the answer reaches nobody.
TEST_F(CoreCrossings, AnswerThatReachesNobodyReleasesTheEndpointOnce) {
  run(usual_settings());
  request(kCall, 8s);
  ASSERT_TRUE(endpoints_.await_starts(1));
  callers_.in_reach_ = false;
  core_->office_answered(kFirst, kCall, "d");
  core_->cancel(kCall, callers_);
  settle(*core_);
  EXPECT_EQ(endpoints_.released(kCall), 1U);
  EXPECT_EQ(endpoints_.given_up(kCall), 0U);
  EXPECT_EQ(core_->in_flight(), 0U);
}

// A release by the caller and one by the endpoint, in one batch and either order: each side hears of it once
// at the most.
TEST_F(CoreCrossings, ReleasesFromBothSidesCross) {
  for (const bool caller_first : {true, false}) {
    run(usual_settings(), {kFirst});
    const CallId call{caller_first ? 1U : 2U};
    const std::size_t before = endpoints_.starts();
    request(call, 8s);
    ASSERT_TRUE(endpoints_.await_starts(before + 1));
    core_->office_answered(kFirst, call, "d");
    ASSERT_TRUE(callers_.await_answer(call).stands);
    endpoints_.hold(true);
    request(CallId{99}, 8s);
    ASSERT_TRUE(endpoints_.await_starts(before + 2));
    if (caller_first) core_->release(call, callers_);
    core_->office_released({kFirst, call, core::kNormalClearing, "", {}});
    if (!caller_first) core_->release(call, callers_);
    endpoints_.hold(false);
    settle(*core_);
    EXPECT_EQ(endpoints_.released(call), caller_first ? 1U : 0U);
    EXPECT_EQ(callers_.releases(call), caller_first ? 0U : 1U);
    core_->stop();
  }
}

// Answered and released by the endpoint in one read: the answer first, then its end.
TEST_F(CoreCrossings, AnswerAndReleaseInOneBatchArriveInOrder) {
  run(usual_settings());
  endpoints_.hold(true);
  request(kCall, 8s);
  ASSERT_TRUE(endpoints_.await_starts(1));
  core_->office_answered(kFirst, kCall, "d");
  core_->office_released({kFirst, kCall, core::kNormalClearing, "", {}});
  endpoints_.hold(false);
  EXPECT_TRUE(callers_.await_answer(kCall).stands);
  settle(*core_);
  EXPECT_EQ(callers_.releases(kCall), 1U);
  EXPECT_EQ(core_->in_flight(), 0U);
}

// The program's time is up with one call sent, one queued and one waiting for the release of its attempt.
TEST_F(CoreCrossings, RefusingTheRestAnswersEachCallOnceWhateverItWaitsFor) {
  run(usual_settings(), {kFirst, kSecond});
  request(kCall, 8s);
  ASSERT_TRUE(endpoints_.await_starts(1));
  const ServerId broke = endpoints_.start_of(0).office;
  core_->attempt_failed(kCall, 0, AttemptOutcome::reset);
  settle(*core_);
  request(kNext, 8s);
  ASSERT_TRUE(endpoints_.await_starts(2));
  request(CallId{3}, 8s);
  settle(*core_);
  const std::size_t sent = endpoints_.starts();
  core_->refuse_all();
  core_->refuse_all();
  EXPECT_FALSE(callers_.await_answer(kCall).stands);
  EXPECT_FALSE(callers_.await_answer(kNext).stands);
  EXPECT_FALSE(callers_.await_answer(CallId{3}).stands);
  core_->office_answered(broke, kCall,
                         "late");  // the attempt was given up before: whoever answers it is released
  settle_at(*core_, base::now() + kGuard + 100ms);
  for (const CallId call : {kCall, kNext, CallId{3}}) EXPECT_EQ(callers_.answers_to(call).size(), 1U);
  EXPECT_EQ(endpoints_.starts(), sent);
  EXPECT_EQ(endpoints_.given_up(kNext), 1U);  // the attempt that was out
  EXPECT_EQ(endpoints_.released(kCall), 1U);
  EXPECT_EQ(core_->in_flight(), 0U);
}

// Guards against an id that runs twice: its caller left and comes again, after more calls have ended than
// whose records are kept.
TEST_F(CoreCrossings, IdOfAnAttemptedCallIsNotRunAgainBehindManyEndedCalls) {
  run(usual_settings());
  request(kCall, 8s);
  ASSERT_TRUE(endpoints_.await_starts(1));
  core_->office_answered(kFirst, kCall, "d");
  ASSERT_TRUE(callers_.await_answer(kCall).stands);
  core_->release(kCall, callers_);
  constexpr std::uint64_t kOthers = 5000;
  for (std::uint64_t other = 1000; other < 1000 + kOthers; ++other) request(CallId{other}, 0s);
  settle(*core_);
  request(kCall, 8s);
  settle(*core_);
  EXPECT_EQ(endpoints_.starts_of(kCall), 1U);
  ASSERT_EQ(callers_.answers_to(kCall).size(), 2U);
  EXPECT_EQ(callers_.answers_to(kCall).back().why, FailureReason::duplicate);
  request(CallId{1000}, 8s);  // never attempted: its id can be used again
  EXPECT_TRUE(endpoints_.await_starts(2));
}

// Guards against a call of a trunk group that gets no answer: its front takes no refusal for want of memory.
TEST(RequestMemory, RequestOfNoConnectionIsAlwaysTaken) {
  core::RequestMemory memory;
  memory.limit(1);
  core::Request request;
  EXPECT_TRUE(memory.take(request));
  request.source = limits::MemoryShares::Owner{1};
  EXPECT_FALSE(memory.take(request));
}

}  // namespace
}  // namespace reeltack::test
