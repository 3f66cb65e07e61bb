#include "base/wall_clock.h"

#include "base/base.h"

namespace reeltack::base {
namespace {

constexpr int kTries = 4;  // this thread may be held up between the readings
constexpr Duration kClose = std::chrono::microseconds(20);

}  // namespace

WallTime wall_now() {
  return WallTime{std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())};
}

clocks::ClockReading read_clocks() {
  clocks::ClockReading best;
  Duration least = Duration::max();
  for (int i = 0; i < kTries && least > kClose; ++i) {
    const Time before = now();
    const WallTime wall = wall_now();
    const Duration took = now() - before;
    if (took >= least) continue;
    least = took;
    best = {before + took / 2, wall};
  }
  return best;
}

}  // namespace reeltack::base
