// Unix time as a type of its own, and one reading of both clocks.
//
// A wall clock may be stepped either way at any moment, so a span is never measured with it: Time (the
// monotonic clock) is for deadlines, waits and ages; WallTime is for Unix times on the wire, in the store and
// in log lines. Neither converts to the other. Types only: base/wall_clock.h reads the clocks.
#pragma once

#include <chrono>
#include <cstdint>

#include "reeltack/settings.h"

namespace reeltack::clocks {

// The machine's wall clock: nanoseconds since 1970 in UTC.
struct WallClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<WallClock>;
  static constexpr bool is_steady = false;
};
using WallTime = WallClock::time_point;

inline std::int64_t unix_ms(WallTime at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

// Both clocks read at the same moment.
struct ClockReading {
  Time steady{};
  WallTime wall{};
};

}  // namespace reeltack::clocks
