// The budget where no other server is warm beside the recovering one.
#include "run.h"

namespace reeltack::test {
namespace {

class SlowStartOutage : public ::testing::TestWithParam<Size> {};

TEST_P(SlowStartOutage, EveryServerRestartsAtOnce) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    Recovery run(GetParam(), seed);
    run.world.add_warm(kRecovering, run.capacity());
    run.set_load(1.0);
    run.advance(10s);
    for (std::uint32_t i = 0; i <= kWarmServers; ++i) run.world.crash(kRecovering + i);
    run.advance(2s);
    for (std::uint32_t i = 0; i <= kWarmServers; ++i) run.world.start(kRecovering + i, run.capacity(), 0s);
    run.advance_past_ramp();
    run.expect_within_budget("every server restarts");
  }
}

TEST_P(SlowStartOutage, AllWarmServersVanishDuringTheRamp) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    Recovery run(GetParam(), seed);
    run.set_load(1.0);
    run.advance(10s);
    run.start();
    run.advance(500ms);
    run.remove_warm_servers();
    run.advance(5s);
    run.set_load(0.2);
    run.advance_past_ramp();
    run.expect_within_budget("all warm servers vanish");
  }
}

TEST_P(SlowStartOutage, AllWarmServersVanishBeforeTheStart) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    Recovery run(GetParam(), seed);
    run.set_load(3.0);
    run.advance(12s);
    run.remove_warm_servers();
    run.advance(1s);
    run.start();
    run.set_load(1.0);
    run.advance_past_ramp();
    run.expect_within_budget("all vanish, then the start");
  }
}

TEST_P(SlowStartOutage, AllWarmServersVanishAndMostControllersRestart) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    Recovery run(GetParam(), seed);
    run.set_load(1.0);
    run.advance(10s);
    run.start();
    run.advance(500ms);
    run.remove_warm_servers();
    run.advance(500ms);
    run.world.restart_controllers(0.7);
    run.advance_past_ramp();
    run.expect_within_budget("all vanish, 70% restart");
  }
}

TEST_P(SlowStartOutage, NewControllersKnowOnlyAColdServer) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    Recovery run(GetParam(), seed);
    run.remove_warm_servers();
    run.start();
    run.set_load(1.0);
    run.advance_past_ramp();
    run.expect_within_budget("controllers new, one cold server");
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, SlowStartOutage, ::testing::ValuesIn(some_sizes()), name_of);

}  // namespace
}  // namespace reeltack::test
