// The budget of cold servers and the load on silent ones, kept by many gateways together. Each test fails
// without the code that it covers.
#include <cmath>

#include "gateway_fleet.h"

namespace reeltack::test {
namespace {

// The maximum number of sends in any window of fall_span, relative to what the rule allows if the server
// warms up at half the slope of a linear ramp.
double max_budget_fraction(const std::vector<Time>& sends, Time started, const Settings& s, double capacity) {
  double worst = 0.0;
  const double span = std::chrono::duration<double>(s.fall_span).count();
  for (const Time& from : sends) {
    const auto in_span = std::count_if(sends.begin(), sends.end(),
                                       [&](const Time& t) { return t >= from && t < from + s.fall_span; });
    const double age = std::chrono::duration<double>(from - started).count();
    const double ramp = std::chrono::duration<double>(s.ramp).count();
    const double warmth = s.cold_from + (1.0 - s.cold_from) * 0.5 * std::min(age / ramp, 1.0);
    worst = std::max(worst, static_cast<double>(in_span) / (s.fall_multiple * warmth * capacity * span));
  }
  return worst;
}

struct Size {
  std::uint32_t gateways;
  bool skewed;
};

class ColdBudget : public ::testing::TestWithParam<Size> {};

// Guards against send intervals that ignore the number of gateways, and against several gateways that start
// sending at once.
TEST_P(ColdBudget, HoldsForAllGatewaysTogether) {
  const Settings s = plain_settings();
  constexpr std::uint32_t kServers = 6;
  constexpr double kCallsPerSecond = 150.0;  // as many as the servers can take when warm
  Fleet fleet(s, GetParam().gateways, kCallsPerSecond, GetParam().skewed);
  std::vector<ServerEntry> servers;
  for (std::uint32_t i = 0; i < kServers; ++i) servers.push_back(ready(10 + i, i));
  fleet.receive_list(servers);
  fleet.run(6s);
  const Time started = fleet.now();
  servers[0].started_at = servers[1].started_at = started;
  fleet.receive_list(servers);
  fleet.run(8s);
  for (const std::uint32_t cold : {10U, 11U}) {
    std::vector<Time> sends = fleet.sends_to(cold);
    std::erase_if(sends, [&](const Time& t) { return t <= started; });
    EXPECT_GT(sends.size(), 5U);
    EXPECT_LT(max_budget_fraction(sends, started, s, kCallsPerSecond / kServers), 1.0);
  }
}

TEST_P(ColdBudget, HoldsBeforeAnyGatewayHasReceivedAnAnswer) {
  const Settings s = plain_settings();
  constexpr double kCallsPerSecond = 150.0;
  Fleet fleet(s, GetParam().gateways, kCallsPerSecond, GetParam().skewed);
  const Time started = fleet.now();
  std::vector<ServerEntry> servers;
  for (std::uint32_t i = 0; i < 6; ++i) {
    servers.push_back(ready(10 + i, i));
    servers.back().started_at = started;
  }
  fleet.receive_list(servers);
  fleet.run(6s);
  for (std::uint32_t cold = 10; cold < 16; ++cold)
    EXPECT_LT(max_budget_fraction(fleet.sends_to(cold), started, s, kCallsPerSecond / 6), 1.0);
}

INSTANTIATE_TEST_SUITE_P(Sizes, ColdBudget,
                         ::testing::Values(Size{5, false}, Size{5, true}, Size{70, false}, Size{70, true},
                                           Size{250, false}),
                         [](const auto& info) {
                           return std::to_string(info.param.gateways) +
                                  (info.param.skewed ? "skewed" : "even");
                         });

TEST(SilentServer, GetsFewAttemptsFromAllGatewaysTogether) {
  Fleet fleet(plain_settings(), 80, 160.0, false);
  fleet.receive_list({ready(10, 0), ready(11, 1), ready(12, 2), ready(13, 3)});
  fleet.run(5s);
  fleet.run(20s, 11);
  const std::vector<Time> sends = fleet.sends_to(11);
  const auto late =
      std::count_if(sends.begin(), sends.end(), [&](const Time& t) { return t > fleet.now() - 5s; });
  EXPECT_LT(late, 60);  // of the 200 that it would get in these 5 s
  EXPECT_GT(late, 0);   // still tried
}

}  // namespace
}  // namespace reeltack::test
