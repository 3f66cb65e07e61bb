// Ages between times since boot; none where they cannot be known.
#include "clocks/boot_time.h"

#include <gtest/gtest.h>

#include "base/boot_clock.h"
#include "controlled_clocks.h"

namespace reeltack::clocks {
namespace {

using namespace std::chrono_literals;

constexpr BootId kBoot{1, 2, 3};
constexpr BootId kOtherBoot{1, 2, 4};

TEST(BootTime, AgeIsTheTimeBetweenTwoTimesOfOneBoot) {
  EXPECT_EQ(elapsed({kBoot, 5s}, {kBoot, 7s}), 2s);
  EXPECT_EQ(elapsed({kBoot, 5s}, {kBoot, 5s}), 0s);
}

TEST(BootTime, AgeIsUnknownAcrossBootsWithoutOneOrFromTheFuture) {
  EXPECT_FALSE(elapsed({kBoot, 5s}, {kOtherBoot, 7s}));
  EXPECT_FALSE(elapsed({BootId{}, 5s}, {kBoot, 7s}));
  EXPECT_FALSE(elapsed({kBoot, 5s}, {BootId{}, 7s}));
  EXPECT_FALSE(elapsed({BootId{}, 5s}, {BootId{}, 7s})) << "two unknown boots need not be the same";
  EXPECT_FALSE(elapsed({kBoot, 7s}, {kBoot, 5s}));
}

TEST(BootTime, BootIsKnownAndUnaffectedByAStepOfTheWallClock) {
  const BootTime before = base::boot_now();
  EXPECT_NE(before.boot, BootId{});
  test::step_wall_clock(-1h);
  const BootTime after = base::boot_now();
  test::step_wall_clock(1h);
  ASSERT_TRUE(elapsed(before, after));
  EXPECT_EQ(after.boot, before.boot);
}

}  // namespace
}  // namespace reeltack::clocks
