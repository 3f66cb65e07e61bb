// The age of a stage stored by an earlier run of the process: measured by the boot clock, independent of the
// wall clock.
#include <gtest/gtest.h>

#include "base/boot_clock.h"
#include "base/wall_clock.h"
#include "controller_disk.h"
#include "fleet/service/fleet_storage.h"

namespace reeltack::fleet {
namespace {

using namespace std::chrono_literals;

TEST(FleetStorage, AStageStoredByOneRunHasAKnownAgeInTheNext) {
  ControllerDisk disk;
  const clocks::BootTime before = base::boot_now();
  {
    const auto keeping = disk.start();
    const recovery::StageValue full{.stage = recovery::Stage::full};
    keeping->put(Store{recovery::kStageRecord, write(full), std::nullopt});
    keeping->flush(30s);
  }
  const auto keeping = disk.start();
  ASSERT_TRUE(keeping->persisted_state());
  ASSERT_TRUE(keeping->persisted_state()->age);
  EXPECT_LE(*keeping->persisted_state()->age, clocks::elapsed(before, base::boot_now()));
}

// The age of the stored stage, with the wall clock correct or stepped by up to an hour while the controller
// was off.
class StoredStage : public ::testing::TestWithParam<std::chrono::seconds> {
 protected:
  [[nodiscard]] std::optional<Duration> age(const clocks::BootTime& written) const {
    ControllerDisk disk;
    disk.write_stage(write(recovery::StageValue{.stage = recovery::Stage::full}),
                     base::wall_now() - kAge - GetParam(), written);
    const auto keeping = disk.start();
    EXPECT_TRUE(keeping->persisted_state());
    return keeping->persisted_state() ? keeping->persisted_state()->age : std::nullopt;
  }
  static constexpr Duration kAge = 10min;
};

TEST_P(StoredStage, OfThisBootHasItsTrueAge) {
  clocks::BootTime written = base::boot_now();
  ASSERT_NE(written.boot, clocks::BootId{});
  written.since_boot -= kAge;
  const std::optional<Duration> found = age(written);
  ASSERT_TRUE(found);
  EXPECT_GE(*found, kAge);
  EXPECT_LE(*found, base::boot_now().since_boot - written.since_boot);
}

TEST_P(StoredStage, OfAnotherBootOrNoneHasUnknownAge) {
  clocks::BootTime written = base::boot_now();
  EXPECT_FALSE(age({{}, written.since_boot - kAge})) << "a record of an older version";
  written.boot[0] ^= 1U;
  EXPECT_FALSE(age(written)) << "the machine has rebooted since, or the disk was moved";
}

TEST_P(StoredStage, FromTheFutureOfThisBootHasUnknownAge) {
  clocks::BootTime written = base::boot_now();
  written.since_boot += 1h;
  EXPECT_FALSE(age(written));
}

INSTANTIATE_TEST_SUITE_P(WallClock, StoredStage, ::testing::Values(-3600s, -600s, -595s, 0s, 3600s),
                         [](const auto& stepped) {
                           return (stepped.param < 0s ? "back_" : "ahead_") +
                                  std::to_string(std::abs(stepped.param.count())) + "_s";
                         });

}  // namespace
}  // namespace reeltack::fleet
