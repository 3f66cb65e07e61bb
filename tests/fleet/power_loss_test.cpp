// All of 12 controllers killed at once under load; discovery is silent while offices change behind it.
#include "power.h"

namespace reeltack::rig {
namespace {

TEST(PowerLoss, AllOfTwelveComeBackWhileDiscoveryIsSilentAndOfficesHaveChanged) {
  Power power;
  power.warm();
  ASSERT_FALSE(::testing::Test::HasFatalFailure());
  power.told_anew();
  power.lose_power(1s);
  power.power_returns();
  // What was told of a start before the loss is known after it, of all offices' starts alone.
  EXPECT_TRUE(power.rig.until(5s, [&] { return power.rig.all("offices_cold", 1); })) << power.figures();
  EXPECT_TRUE(power.rig.until(20s, [&] { return power.rig.all("alive", 12); })) << power.figures();
  std::printf("all alive after %.2f s\n", seconds(base::now() - power.returned));
  EXPECT_TRUE(power.settled(45s)) << power.figures() << power.logs();
  EXPECT_TRUE(power.all_say(" to=probation", 10s)) << power.logs();
  std::printf("full after %.2f s\n%s", seconds(base::now() - power.returned), power.figures().c_str());
  // Nobody follows a list now: what refuses is trusted by none, whatever the configuration says of it.
  EXPECT_TRUE(power.rig.until(15s, [&] {
    for (std::size_t i = 0; i < 12; ++i)
      if (power.rig.figure(i, "offices_trusted") > 7) return false;
    return true;
  })) << power.figures();
  std::this_thread::sleep_until(base::to_steady(power.returned) + 20s);
  EXPECT_TRUE(power.hear(15s)) << power.figures();
  // Five stay, one came back cold, one is new at an old address: 6 + 1 of 9 known; gone, its id and the
  // drained one are barred.
  EXPECT_TRUE(power.agree(6, 3, 15s)) << power.figures() << power.logs();
  power.judge(0.5);
}

}  // namespace
}  // namespace reeltack::rig
