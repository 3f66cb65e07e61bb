// The budget where servers and controllers restart, and after a long quiet time.
#include "run.h"

namespace reeltack::test {
namespace {

class SlowStartFaults : public ::testing::TestWithParam<Size> {};

TEST_P(SlowStartFaults, TheServerRestartsWithinItsOwnSlowStart) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    Recovery run(GetParam(), seed);
    run.set_load(1.0);
    run.advance(10s);
    run.set_load(3.0);
    run.start();
    for (const Duration after : {Duration{1500ms}, Duration{300ms}, Duration{4s}}) {
      run.advance(after);
      run.world.crash(kRecovering);
      run.advance(200ms);
      run.start(300ms);
    }
    run.set_load(1.0);
    run.advance_past_ramp();
    run.expect_within_budget("restarts in slow start");
  }
}

TEST_P(SlowStartFaults, AServerRestartsUnderTheSameIdAndControllersAreNotifiedLate) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    Recovery run(GetParam(), seed);
    run.world.add_warm(kRecovering, run.capacity());
    run.set_load(1.0);
    run.advance(10s);
    run.world.crash(kRecovering);
    run.advance(500ms);
    run.start(3s);
    run.advance_past_ramp();
    run.expect_within_budget("same id, notified over 3 s");
  }
}

TEST_P(SlowStartFaults, TheControllersHaveJustStarted) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    for (const double load : {1.0, 3.0}) {
      Recovery run(GetParam(), seed);
      run.start();
      run.set_load(load);
      run.advance(4s);
      run.set_load(1.0);
      run.advance_past_ramp();
      run.expect_within_budget("controllers new, load x" + std::to_string(static_cast<int>(load)));
    }
  }
}

void controllers_restart(const Size& size, double fraction, int times, const std::string& title) {
  for (const std::uint64_t seed : seeds_for(size)) {
    Recovery run(size, seed);
    run.set_load(1.0);
    run.advance(10s);
    run.set_load(3.0);
    run.start();
    for (int i = 0; i < times; ++i) {
      run.advance(times > 1 ? 400ms : 1s);
      run.world.restart_controllers(fraction);
    }
    run.advance(2s);
    run.set_load(1.0);
    run.advance_past_ramp();
    run.expect_within_budget(title);
  }
}
TEST_P(SlowStartFaults, ATenthOfTheControllersRestartsAtATime) {
  controllers_restart(GetParam(), 0.1, 10, "controllers restart, 10%");
}
TEST_P(SlowStartFaults, SevenTenthsOfTheControllersRestartAtOnce) {
  controllers_restart(GetParam(), 0.7, 1, "controllers restart, 70%");
}

TEST_P(SlowStartFaults, ABurstAfterALongQuietTime) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    Recovery run(GetParam(), seed);
    run.set_load(1.0);
    run.advance(5s);
    run.set_load(0.0);
    run.advance(120s);
    run.start();
    run.set_load(5.0);
    run.advance(4s);
    run.set_load(1.0);
    run.advance_past_ramp();
    run.expect_within_budget("burst x5 after 120 s of quiet");
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, SlowStartFaults, ::testing::ValuesIn(small_sizes()), name_of);

}  // namespace
}  // namespace reeltack::test
