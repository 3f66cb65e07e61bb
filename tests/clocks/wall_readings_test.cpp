// That the readings of the wall clock are counted, and stepped against each other.
#include <gtest/gtest.h>
#include <sys/time.h>

#include "base/wall_clock.h"
#include "controlled_clocks.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

// The framework's own reading is known exactly, so that not one of another's passes for it.
TEST(WallReadings, OnlyTheFrameworksStampIsTakenByTheTimeATestBegins) {
  EXPECT_EQ(wall_clock_readings_of_test(), kReadingsByFramework);
}

TEST(WallReadings, EachReadingIsCountedAndStepped) {
  const std::uint64_t before = wall_clock_readings();
  const base::WallTime first = base::wall_now();
  const base::WallTime second = base::wall_now();
  EXPECT_EQ(wall_clock_readings(), before + 2);
  EXPECT_GT(std::chrono::abs(second - first), 4s);
  forget_wall_clock_readings(2);  // these are meant
}

}  // namespace
}  // namespace reeltack::test
