// Worth earned during a fleet's return in virtual time, compared with each controller returning alone and
// with a list that was never lost.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

#include "return_world.h"

namespace reeltack::test {
namespace {

class FleetReturn : public testing::TestWithParam<std::size_t> {};

// If controllers lose nothing alone there is nothing to gain: the fleet may lose no more than this. After a
// long outage no stored state is trusted, and an office that each would try at once alone is tried by one
// member first, which costs more. With cold offices, limiting the load costs some worth in seeds whose
// offices would not have fallen.
constexpr double kMaxLoss = 0.002, kMaxLossLongOutage = 0.015, kMaxLossCold = 0.03;

TEST_P(FleetReturn, EarnsNearlyAsMuchAsWithAListNeverLostAndNoOfficeFalls) {
  const ReturnCase of = return_cases()[GetParam()];
  const char* requested_seeds = std::getenv("FLEET_RETURN_SEEDS");  // for longer runs by hand
  const std::uint64_t seeds = requested_seeds != nullptr ? std::stoull(requested_seeds) : 20 / kScale;
  const double lost = of.outage > 1min              ? kMaxLossLongOutage
                      : of.restarted_listed.empty() ? kMaxLoss
                                                    : kMaxLossCold;
  std::array<double, 3> worth{};
  std::array<std::uint64_t, 3> offices_fallen{};
  Duration urgent{};
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::array<ReturnResult, 3> results{};
    for (const Variant variant : {Variant::fleet, Variant::alone, Variant::known}) {
      const auto i = static_cast<std::size_t>(variant);
      results[i] = ReturnWorld(of, variant, seed).run();
      worth[i] += results[i].part / static_cast<double>(seeds);
      offices_fallen[i] += results[i].offices_fallen;
      EXPECT_EQ(results[i].violations, 0U) << of.name << " seed " << seed;
    }
    urgent = std::max(urgent, results[0].urgent);
    EXPECT_EQ(results[0].offices_fallen, 0U) << of.name << " seed " << seed;
    EXPECT_EQ(results[0].unlisted, 0U) << of.name << " seed " << seed;
    EXPECT_LE(results[0].urgent, 1s) << of.name << " seed " << seed;
    EXPECT_GE(results[0].part, std::min(results[1].part, results[2].part) - lost)
        << of.name << " seed " << seed;
    if (requested_seeds != nullptr)
      std::printf("%s seed %d: fleet %.4f, alone %.4f, never lost %.4f\n", of.name, static_cast<int>(seed),
                  results[0].part, results[1].part, results[2].part);
  }
  std::printf(
      "%-6s worth with the fleet %.4f, each alone %.4f, list never lost %.4f; offices fallen %d, %d, %d; "
      "urgent class open after %.3f s at most\n",
      of.name, worth[0], worth[1], worth[2], static_cast<int>(offices_fallen[0]),
      static_cast<int>(offices_fallen[1]), static_cast<int>(offices_fallen[2]),
      std::chrono::duration<double>(urgent).count());
  EXPECT_GE(worth[0], 0.95 * worth[2]);
  const bool alone_loses =
      worth[1] < worth[2] - kMaxLoss;  // what a controller does not know alone costs it worth
  if (alone_loses) EXPECT_GT(worth[0], worth[1]);
  if (!of.restarted_listed.empty())
    EXPECT_GT(offices_fallen[1], 0U) << "the case does not exercise the allowance";
}
INSTANTIATE_TEST_SUITE_P(Cases, FleetReturn, testing::Range<std::size_t>(0, return_cases().size()),
                         [](const auto& info) { return std::string(return_cases()[info.param].name); });

// What the store and the survivors say adds no office to the list of the start. The controllers that returned
// earn with it what each would alone.
TEST(FleetReturnList, SendsNothingToAnOfficeThatTheListOfTheStartLacks) {
  const ReturnCase of = short_list_case();
  double with_fleet = 0.0;
  double alone = 0.0;
  constexpr std::uint64_t kSeeds = 10 / kScale;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const ReturnResult result = ReturnWorld(of, Variant::fleet, seed).run();
    EXPECT_EQ(result.unlisted, 0U) << "seed " << seed;
    EXPECT_EQ(result.violations, 0U) << "seed " << seed;
    EXPECT_EQ(result.offices_fallen, 0U) << "seed " << seed;
    EXPECT_LE(result.urgent, 1s) << "seed " << seed;
    with_fleet += result.part / kSeeds;
    alone += ReturnWorld(of, Variant::alone, seed).run().part / kSeeds;
  }
  std::printf("%s worth with the fleet %.4f, each alone %.4f\n", of.name, with_fleet, alone);
  EXPECT_GE(with_fleet, alone - kMaxLoss);
}

}  // namespace
}  // namespace reeltack::test
