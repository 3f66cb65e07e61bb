// The budget with uneven traffic, unusual settings, or another number of controllers than configured.
#include "run.h"

namespace reeltack::test {
namespace {

class SlowStartUneven : public ::testing::TestWithParam<Size> {};

void start_in_a_burst(Recovery& run, const std::string& title) {
  run.set_load(1.0);
  run.advance(10s);
  run.set_load(3.0);
  run.start();
  run.advance(4s);
  run.set_load(1.0);
  run.advance_past_ramp();
  run.expect_within_budget(title);
}

TEST_P(SlowStartUneven, OneControllerHasHalfOfAllTraffic) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    WorldPlan uneven = usual_plan(GetParam(), seed);
    uneven.traffic.assign(GetParam().controllers, 1.0);
    uneven.traffic[0] = std::max(1.0, static_cast<double>(GetParam().controllers) - 1.0);
    Recovery run(GetParam(), uneven);
    start_in_a_burst(run, "one controller has half");
  }
}

TEST_P(SlowStartUneven, AFewControllersHaveSeveralTimesTheTrafficOfOthers) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    WorldPlan uneven = usual_plan(GetParam(), seed);
    uneven.traffic.assign(GetParam().controllers, 1.0);
    for (std::size_t i = 0; i < uneven.traffic.size(); i += 10) uneven.traffic[i] = 6.0;
    Recovery run(GetParam(), uneven);
    start_in_a_burst(run, "a tenth has 6 times the rest");
  }
}

TEST_P(SlowStartUneven, OtherCustomersSettings) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    WorldPlan other = usual_plan(GetParam(), seed);
    other.settings.cold_from = 0.2;
    other.settings.ramp = 8s;
    other.settings.fall_multiple = 3.0;
    other.settings.fall_span = 2s;
    other.settings.classes[0] = {.aim = 100ms, .deadline = 1s, .worth = 1.0};
    Recovery run(GetParam(), other);
    start_in_a_burst(run, "aim 100 ms, from 0.2 in 8 s, x3 in 2 s");
  }
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    WorldPlan other = usual_plan(GetParam(), seed);
    other.settings.cold_from = 0.8;
    other.settings.ramp = 5s;
    other.settings.fall_multiple = 1.2;
    other.settings.fall_span = 500ms;
    Recovery run(GetParam(), other);
    start_in_a_burst(run, "from 0.8 in 5 s, x1.2 in 0.5 s");
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, SlowStartUneven, ::testing::ValuesIn(small_sizes()), name_of);

class SlowStartCount : public ::testing::TestWithParam<Size> {};

TEST_P(SlowStartCount, MoreControllersAreExpectedThanRun) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    WorldPlan few = usual_plan(GetParam(), seed);
    few.controllers = 3;
    few.settings.gateways = 300;
    Recovery run(GetParam(), few);
    start_in_a_burst(run, "3 run, 300 expected");
  }
}
TEST_P(SlowStartCount, FewerControllersAreExpectedThanRun) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    WorldPlan many = usual_plan(GetParam(), seed);
    many.controllers = 300;
    many.settings.gateways = 3;
    Recovery run(GetParam(), many);
    start_in_a_burst(run, "300 run, 3 expected");
  }
}
TEST_P(SlowStartCount, FewerNewControllersAreExpectedThanRun) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    WorldPlan many = usual_plan(GetParam(), seed);
    many.controllers = 300;
    many.settings.gateways = 3;
    Recovery run(GetParam(), many);
    run.start();
    run.set_load(3.0);
    run.advance(4s);
    run.set_load(1.0);
    run.advance_past_ramp();
    run.expect_within_budget("300 new run, 3 expected");
  }
}
INSTANTIATE_TEST_SUITE_P(Budgets, SlowStartCount,
                         ::testing::Values(Size{3, 5.0}, Size{3, 29.0}, Size{3, 30.0}), name_of);

}  // namespace
}  // namespace reeltack::test
