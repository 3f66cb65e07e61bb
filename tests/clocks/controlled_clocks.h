// Replaces the clocks of a test's own process by a wall clock that is stepped and a steady clock that the
// test can move.
//
// Linked into a test program, it replaces clock_gettime(), gettimeofday(), time() and timespec_get() for the
// whole process, including the C++ library.
#pragma once

#include <chrono>
#include <cstdint>

namespace reeltack::test {

/// How often this process has read the wall clock. Each reading is stepped relative to the one before it.
std::uint64_t wall_clock_readings();

/// Steps the wall clock by `by`, in addition to the step of each reading.
void step_wall_clock(std::chrono::nanoseconds by);

/// Freezes the steady clock far ahead of the true one, so that waits for it end only by a wake-up.
void freeze_steady_clock();
/// Moves the frozen steady clock.
void advance_steady_clock(std::chrono::nanoseconds by);
/// Makes the steady clock the true one again.
void unfreeze_steady_clock();

/// Excludes `count` intended readings of the present test, so that they do not fail it.
void exclude_wall_clock_readings(std::uint64_t count);

/// How often the wall clock was read since the present test began, including the kReadingsByFramework
/// readings of the test framework itself.
std::uint64_t wall_clock_readings_of_test();
inline constexpr std::uint64_t kReadingsByFramework = 1;

}  // namespace reeltack::test
