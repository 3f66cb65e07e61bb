// The deadlines of an orderly shutdown for any deadline in the settings, and the order of its steps.
#include "limits/shutdown.h"

#include <gtest/gtest.h>

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

constexpr Time kAsked{100s};
// After SIGTERM callers connect for 0.4 s and send requests on these connections for 0.2 s more.
constexpr Duration kLastRequest = 600ms;
constexpr Duration kKillAfterDeadline = 700ms;

TEST(Shutdown, AcceptsAllRequestsAndEndsBeforeItIsKilledWhateverTheDeadlines) {
  for (const Duration longest : {Duration{0}, Duration{1ms}, Duration{100ms}, Duration{400ms},
                                 Duration{1500ms}, Duration{3s}, Duration{20s}, Duration::max()}) {
    SCOPED_TRACE(longest.count());
    const limits::ShutdownTimes times = limits::shutdown_times(kAsked, longest);
    const Time killed = kAsked + std::min(longest, Duration{3s}) + kKillAfterDeadline;
    EXPECT_GT(times.close_idle_at, kAsked + kLastRequest);
    EXPECT_GE(times.refuse_remaining_at, times.close_idle_at);
    EXPECT_LT(times.refuse_remaining_at, killed);
    EXPECT_GE(times.offices_deadline, times.refuse_remaining_at);
    EXPECT_GE(times.connections_deadline, times.offices_deadline);
    EXPECT_LT(times.connections_deadline, killed);
  }
}

TEST(Shutdown, WaitsForUsualDeadlinesAndKeepsIdleConnectionsForLateReads) {
  const limits::ShutdownTimes times = limits::shutdown_times(kAsked, 9s);
  EXPECT_EQ(times.close_idle_at, kAsked + 1500ms);
  EXPECT_EQ(times.refuse_remaining_at, kAsked + 3350ms);
  EXPECT_EQ(times.offices_deadline, kAsked + 3430ms);
  EXPECT_EQ(times.connections_deadline, kAsked + 3530ms);
}

constexpr limits::ShutdownTimes kTimes{.close_idle_at = kAsked + 1s,
                                       .refuse_remaining_at = kAsked + 3s,
                                       .offices_deadline = kAsked + 4s,
                                       .offices_close_timeout = 500ms,
                                       .connections_deadline = kAsked + 5s};
using Progress = limits::ShutdownSequence::Progress;

TEST(ShutdownSequence, OfficesAreReadToTheirEndsBeforeTheLastCallerIsClosed) {
  limits::ShutdownSequence sequence(kTimes);
  EXPECT_FALSE(sequence.next(kAsked + 1s - 1ns, {}).close_callers_but_one);
  auto steps = sequence.next(kAsked + 1s, {.calls_open = true});
  EXPECT_TRUE(steps.close_callers_but_one);
  EXPECT_FALSE(steps.finish_offices) << "a set-up is open";
  steps = sequence.next(kAsked + 1100ms, {.callers_closed = true});
  EXPECT_FALSE(steps.close_callers_but_one) << "once";
  EXPECT_TRUE(steps.finish_offices);
  EXPECT_FALSE(steps.done);
  steps = sequence.next(kAsked + 1200ms, {});
  EXPECT_FALSE(steps.finish_offices) << "once";
  EXPECT_FALSE(steps.close_last_caller);
  steps = sequence.next(kAsked + 1300ms, {.offices_finished = true});
  EXPECT_TRUE(steps.close_last_caller);
  EXPECT_FALSE(steps.close_callers_by_deadline || steps.refuse_calls || steps.done);
  EXPECT_FALSE(sequence.next(kAsked + 1400ms, {.offices_finished = true}).close_last_caller) << "once";
  EXPECT_TRUE(sequence.next(kAsked + 1400ms, {.offices_finished = true, .callers_closed = true}).done);
}

TEST(ShutdownSequence, WaitsForOfficesWithinABound) {
  limits::ShutdownSequence sequence(kTimes);
  EXPECT_TRUE(sequence.next(kAsked + 2s, {}).finish_offices);
  EXPECT_FALSE(sequence.next(kAsked + 2500ms - 1ns, {}).close_last_caller);
  EXPECT_TRUE(sequence.next(kAsked + 2500ms, {}).close_last_caller);
}

TEST(ShutdownSequence, RefusesOpenCallsAtTheDeadlineAndWaitsNoLonger) {
  limits::ShutdownSequence sequence(kTimes);
  const Progress busy{.calls_open = true};
  EXPECT_FALSE(sequence.next(kAsked + 3s - 1ns, busy).refuse_calls);
  auto steps = sequence.next(kAsked + 3s, busy);
  EXPECT_TRUE(steps.refuse_calls);
  EXPECT_TRUE(steps.finish_offices);
  EXPECT_FALSE(steps.close_callers_by_deadline);
  steps = sequence.next(kAsked + 3500ms, busy);
  EXPECT_TRUE(steps.refuse_calls) << "more calls may have arrived";
  EXPECT_TRUE(steps.close_last_caller);
  EXPECT_TRUE(steps.close_callers_by_deadline);
  EXPECT_FALSE(sequence.next(kAsked + 4s, {.calls_open = true, .callers_closed = true}).done);
  EXPECT_TRUE(sequence.next(kAsked + 4s, {.callers_closed = true}).done);
}

}  // namespace
}  // namespace reeltack::test
