// The budget where servers and controllers restart, and where few or none are warm.
#include "run.h"

namespace reeltack::test {
namespace {

class SlowStartFaults : public ::testing::TestWithParam<Size> {};

TEST_P(SlowStartFaults, TheServerRestartsWithinItsOwnSlowStart) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    Recovery run(GetParam(), seed);
    run.load(1.0);
    run.pass(10s);
    run.load(3.0);
    run.start();
    for (const Duration after : {Duration{1500ms}, Duration{300ms}, Duration{4s}}) {
      run.pass(after);
      run.world.crash(kRecovering);
      run.pass(200ms);
      run.start(300ms);
    }
    run.load(1.0);
    run.pass_ramp();
    run.expect_within_budget("restarts in slow start");
  }
}

TEST_P(SlowStartFaults, AServerRestartsUnderTheSameIdNotifiedLate) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    Recovery run(GetParam(), seed);
    run.world.add_warm(kRecovering, run.capacity());
    run.load(1.0);
    run.pass(10s);
    run.world.crash(kRecovering);
    run.pass(500ms);
    run.start(3s);
    run.pass_ramp();
    run.expect_within_budget("same id, notified over 3 s");
  }
}

TEST_P(SlowStartFaults, TheControllersHaveJustStarted) {
  for (const std::uint64_t seed : seeds_for(GetParam())) {
    for (const double load : {1.0, 3.0}) {
      Recovery run(GetParam(), seed);
      run.start();
      run.load(load);
      run.pass(4s);
      run.load(1.0);
      run.pass_ramp();
      run.expect_within_budget("controllers new, load x" + std::to_string(static_cast<int>(load)));
    }
  }
}

void controllers_restart(const Size& size, double part, int times, const std::string& title) {
  for (const std::uint64_t seed : seeds_for(size)) {
    Recovery run(size, seed);
    run.load(1.0);
    run.pass(10s);
    run.load(3.0);
    run.start();
    for (int i = 0; i < times; ++i) {
      run.pass(times > 1 ? 400ms : 1s);
      run.world.restart_controllers(part);
    }
    run.pass(2s);
    run.load(1.0);
    run.pass_ramp();
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
    run.load(1.0);
    run.pass(5s);
    run.load(0.0);
    run.pass(120s);
    run.start();
    run.load(5.0);
    run.pass(4s);
    run.load(1.0);
    run.pass_ramp();
    run.expect_within_budget("burst x5 after 120 s of quiet");
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, SlowStartFaults, ::testing::ValuesIn(small_sizes()), name_of);

}  // namespace
}  // namespace reeltack::test
