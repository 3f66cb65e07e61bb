// All 12 controllers are killed at once under load; discovery is silent while offices change.
#include "power.h"

namespace reeltack::rig {
namespace {

TEST(PowerLoss, AllTwelveReturnWhileDiscoveryIsSilentAndOfficesHaveChanged) {
  Power power;
  power.warm();
  ASSERT_FALSE(::testing::Test::HasFatalFailure());
  power.restart_listed_office();
  power.lose_power(1s);
  power.power_returns();
  // The one start received before the loss is known after it, and no other office's start.
  EXPECT_TRUE(power.rig.until(5s, [&] { return power.rig.all("offices_cold", 1); })) << power.figures();
  EXPECT_TRUE(power.rig.until(20s, [&] { return power.rig.all("alive", 12); })) << power.figures();
  std::printf("all alive after %.2f s\n", seconds(base::now() - power.returned));
  EXPECT_TRUE(power.settled(45s)) << power.figures() << power.logs();
  EXPECT_TRUE(power.all_logged(" to=probation", 10s)) << power.logs();
  std::printf("full after %.2f s\n%s", seconds(base::now() - power.returned), power.figures().c_str());
  // No controller follows a list now: an office that refuses is trusted by none, though the configuration
  // names it.
  EXPECT_TRUE(power.rig.until(15s, [&] {
    for (std::size_t i = 0; i < 12; ++i)
      if (power.rig.figure(i, "offices_trusted") > 7) return false;
    return true;
  })) << power.figures();
  std::this_thread::sleep_until(base::to_steady(power.returned) + 20s);
  EXPECT_TRUE(power.restore_discovery(15s)) << power.figures();
  // 9 offices are known. Trusted: four that run on, one restarted cold, and the new one at an old address.
  // Barred: the one that is gone, the replaced one and the drained one.
  EXPECT_TRUE(power.agree(6, 3, 15s)) << power.figures() << power.logs();
  power.judge(0.5);
}

}  // namespace
}  // namespace reeltack::rig
