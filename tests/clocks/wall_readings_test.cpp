// Readings of the wall clock are counted, and each is stepped relative to the one before.
#include <gtest/gtest.h>
#include <sys/time.h>

#include "base/wall_clock.h"
#include "controlled_clocks.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

// The framework's own readings are known exactly, so that no other reading is mistaken for one of them.
TEST(WallReadings, OnlyTheFrameworkHasReadTheClockWhenATestBegins) {
  EXPECT_EQ(wall_clock_readings_of_test(), kReadingsByFramework);
}

TEST(WallReadings, EachReadingIsCountedAndStepped) {
  const std::uint64_t before = wall_clock_readings();
  const base::WallTime first = base::wall_now();
  const base::WallTime second = base::wall_now();
  EXPECT_EQ(wall_clock_readings(), before + 2);
  EXPECT_GT(std::chrono::abs(second - first), 4s);
  exclude_wall_clock_readings(2);  // these are intended
}

}  // namespace
}  // namespace reeltack::test
