// Unix time as a type of its own, and one reading of both clocks.
//
// Owns: the types alone. A wall clock may be stepped either way at any moment, so that a span is never
// measured
//   with it: Time (the monotonic clock) is for deadlines, waits and ages, WallTime for what the wire, the
//   store or a log line gives in Unix time. Neither converts to the other.
// Must never: read a clock; base/wall_clock.h does.
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
struct Reading {
  Time steady{};
  WallTime wall{};
};

}  // namespace reeltack::clocks
