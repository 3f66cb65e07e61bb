// The budget of cold and silent servers, held by many gateways together. Each test fails without its code.
#include <cmath>

#include "gateway_fleet.h"

namespace reeltack::test {
namespace {

// Most that any span holds, as a part of what the rule allows, if the server gains at half of a straight
// ramp.
double of_cold_budget(const std::vector<Time>& sends, Time started, const Settings& s, double capacity) {
  double most = 0.0;
  const double span = std::chrono::duration<double>(s.fall_span).count();
  for (const Time& from : sends) {
    const auto in_span = std::count_if(sends.begin(), sends.end(),
                                       [&](const Time& t) { return t >= from && t < from + s.fall_span; });
    const double age = std::chrono::duration<double>(from - started).count();
    const double ramp = std::chrono::duration<double>(s.ramp).count();
    const double warm = s.cold_from + (1.0 - s.cold_from) * 0.5 * std::min(age / ramp, 1.0);
    most = std::max(most, static_cast<double>(in_span) / (s.fall_multiple * warm * capacity * span));
  }
  return most;
}

struct Size {
  std::uint32_t gateways;
  bool skewed;
};

class ColdBudget : public ::testing::TestWithParam<Size> {};

// Found on the first full scores: the pace did not know how many gateways there are, and several start at
// once.
TEST_P(ColdBudget, HoldsForAllGatewaysTogether) {
  const Settings s = plain_settings();
  constexpr std::uint32_t kServers = 6;
  constexpr double kCalls = 150.0;  // as many as the servers can take when warm
  Fleet fleet(s, GetParam().gateways, kCalls, GetParam().skewed);
  std::vector<ServerEntry> servers;
  for (std::uint32_t i = 0; i < kServers; ++i) servers.push_back(ready(10 + i, i));
  fleet.list(servers);
  fleet.run(6s);
  const Time started = fleet.now();
  servers[0].started_at = servers[1].started_at = started;
  fleet.list(servers);
  fleet.run(8s);
  for (const std::uint32_t cold : {10U, 11U}) {
    std::vector<Time> sends = fleet.sends_to(cold);
    std::erase_if(sends, [&](const Time& t) { return t <= started; });
    EXPECT_GT(sends.size(), 5U);
    EXPECT_LT(of_cold_budget(sends, started, s, kCalls / kServers), 1.0);
  }
}

TEST_P(ColdBudget, HoldsBeforeAnyGatewayHasSeenAnAnswer) {
  const Settings s = plain_settings();
  constexpr double kCalls = 150.0;
  Fleet fleet(s, GetParam().gateways, kCalls, GetParam().skewed);
  const Time started = fleet.now();
  std::vector<ServerEntry> servers;
  for (std::uint32_t i = 0; i < 6; ++i) {
    servers.push_back(ready(10 + i, i));
    servers.back().started_at = started;
  }
  fleet.list(servers);
  fleet.run(6s);
  for (std::uint32_t cold = 10; cold < 16; ++cold)
    EXPECT_LT(of_cold_budget(fleet.sends_to(cold), started, s, kCalls / 6), 1.0);
}

INSTANTIATE_TEST_SUITE_P(Sizes, ColdBudget,
                         ::testing::Values(Size{5, false}, Size{5, true}, Size{70, false}, Size{70, true},
                                           Size{250, false}),
                         [](const auto& info) {
                           return std::to_string(info.param.gateways) +
                                  (info.param.skewed ? "skewed" : "even");
                         });

TEST(SilentServer, GetsAThinTrickleFromAllGatewaysTogether) {
  Fleet fleet(plain_settings(), 80, 160.0, false);
  fleet.list({ready(10, 0), ready(11, 1), ready(12, 2), ready(13, 3)});
  fleet.run(5s);
  fleet.run(20s, 11);
  const std::vector<Time> sends = fleet.sends_to(11);
  const auto late =
      std::count_if(sends.begin(), sends.end(), [&](const Time& t) { return t > fleet.now() - 5s; });
  EXPECT_LT(late, 60);  // of 200 that it would get in these 5 s
  EXPECT_GT(late, 0);   // still tried
}

}  // namespace
}  // namespace reeltack::test
