// Power loss of an entire fleet while the bulletin is silent: how soon all agree again.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "sim_runs.h"

namespace reeltack::test {
namespace {

TEST(FleetSim, AllAgreeAfterAPowerLoss) {
  for (const double loss : {0.0, 0.05, 0.2}) {
    std::vector<double> agreed;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const Outcome o = lose_power(kScale == 1 ? 40 : 12, 8, seed, loss);
      EXPECT_TRUE(o.full_before);
      agreed.push_back(o.agreed);
      std::printf(
          "loss %.2f seed %d: agreed %.2f s, full %.2f s, urgent open after at most %.2f s, cold %.2f of "
          "allowance\n",
          loss, static_cast<int>(seed), o.agreed, o.full, o.urgent, o.max_allowance_used);
      EXPECT_LE(o.agreed, 5.0);
      EXPECT_LE(o.full, 45.0);
      EXPECT_LE(o.urgent, 1.0);
      EXPECT_EQ(o.falls, 0U);
      EXPECT_EQ(o.to_gone, 0U);
    }
    std::sort(agreed.begin(), agreed.end());
    std::printf("loss %.2f: agreed median %.2f s, at most %.2f s\n", loss, agreed[agreed.size() / 2],
                agreed.back());
  }
}

TEST(FleetSim, ThreeHundredAgreeAfterAPowerLoss) {
  if (kScale > 1) GTEST_SKIP() << "too many for sanitizers";
  const Outcome o = lose_power(300, 24, 1, 0.05);
  std::printf("300 controllers, 24 offices: agreed %.2f s, full %.2f s\n", o.agreed, o.full);
  EXPECT_TRUE(o.full_before);
  EXPECT_LE(o.agreed, 5.0);
  EXPECT_LE(o.full, 45.0);
  EXPECT_EQ(o.falls, 0U);
  EXPECT_EQ(o.to_gone, 0U);
}

TEST(FleetSim, EqualSeedsGiveEqualRuns) {
  EXPECT_EQ(lose_power(12, 8, 5, 0.05).digest, lose_power(12, 8, 5, 0.05).digest);
  EXPECT_NE(lose_power(12, 8, 5, 0.05).digest, lose_power(12, 8, 6, 0.05).digest);
}

}  // namespace
}  // namespace reeltack::test
