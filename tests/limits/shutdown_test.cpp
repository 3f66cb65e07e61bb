// The instants of an orderly end, for any deadline.
#include "limits/shutdown.h"

#include <gtest/gtest.h>

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

constexpr Time kAsked{100s};
constexpr Duration kLastRequest =
    600ms;  // after SIGTERM: connections for 0.4 s, requests on them for 0.2 s more
constexpr Duration kKillAfterDeadline = 700ms;

TEST(Shutdown, TakesAllThatMayComeAndEndsBeforeItIsKilledWhateverTheDeadlines) {
  for (const Duration longest : {Duration{0}, Duration{1ms}, Duration{100ms}, Duration{400ms},
                                 Duration{1500ms}, Duration{3s}, Duration{20s}, Duration::max()}) {
    SCOPED_TRACE(longest.count());
    const limits::ShutdownTimes times = limits::shutdown_times(kAsked, longest);
    const Time killed = kAsked + std::min(longest, Duration{3s}) + kKillAfterDeadline;
    EXPECT_GT(times.close_idle, kAsked + kLastRequest);
    EXPECT_GE(times.refuse_rest, times.close_idle);
    EXPECT_LT(times.refuse_rest, killed);
    EXPECT_GE(times.connections_over, times.refuse_rest);
    EXPECT_LT(times.connections_over, killed);
  }
}

TEST(Shutdown, UsualDeadlinesAreWaitedForAndIdleConnectionsKeptForLateReaders) {
  const limits::ShutdownTimes times = limits::shutdown_times(kAsked, 9s);
  EXPECT_EQ(times.close_idle, kAsked + 1500ms);
  EXPECT_EQ(times.refuse_rest, kAsked + 3350ms);
  EXPECT_EQ(times.connections_over, kAsked + 3500ms);
}

}  // namespace
}  // namespace reeltack::test
