// Connections that pipeline set-ups faster than all offices can answer must not displace other callers.
#include <gtest/gtest.h>

#include "flood_world.h"

namespace reeltack::load::test {
namespace {

using namespace std::chrono_literals;

struct FloodCase {
  const char* name;
  Target::Kind front;
  std::size_t flooding;
};

class FloodingCaller : public ::testing::TestWithParam<FloodCase> {};

// Guards against: the module admitted by arrival alone, so that one flooding connection won the offices.
TEST_P(FloodingCaller, LeavesUsualCallersTheirWorth) {
  const FloodResult result =
      play_flood({.front = GetParam().front,
                  .usual_connections = 24 - GetParam().flooding,
                  .flooding_connections = GetParam().flooding,
                  .flood_rate = 1000.0,
                  .duration = 12s,
                  .binary = REELTACK_BINARY,
                  .dir = ::testing::TempDir() + "flood-" + std::to_string(::getpid())});
  const Tally& usual = result.usual->recorder.all();
  std::printf("usual: worth %.3f, %llu of %llu calls; flood: %llu of %llu calls; %.2f s of CPU, %.1f MB\n",
              result.usual_worth(), static_cast<unsigned long long>(usual.results[0]),
              static_cast<unsigned long long>(usual.planned),
              static_cast<unsigned long long>(result.flood->recorder.all().results[0]),
              static_cast<unsigned long long>(result.flood->recorder.all().planned),
              result.controller_cpu_seconds, result.controller_resident_mb);
  EXPECT_GE(result.usual_worth(), 0.9);
  EXPECT_EQ(result.usual->recorder.violations().total(), 0U);
  EXPECT_EQ(result.flood->recorder.violations().total(), 0U);
  EXPECT_TRUE(result.ended_well);
}

INSTANTIATE_TEST_SUITE_P(Fronts, FloodingCaller,
                         ::testing::Values(FloodCase{"OneOverSip", Target::Kind::sip, 1},
                                           FloodCase{"SixteenOverSip", Target::Kind::sip, 16},
                                           FloodCase{"FourOverWebSocket", Target::Kind::ws, 4}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace reeltack::load::test
