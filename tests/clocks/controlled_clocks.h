// The clocks of a test's own process: a wall clock that is stepped, and a steady clock that the test moves.
//
// Linked into a test program, it takes the place of clock_gettime(), gettimeofday(), time() and
// timespec_get() for the whole process, the C++ library included.
#pragma once

#include <chrono>
#include <cstdint>

namespace reeltack::test {

/// How often this process has read the wall clock so far. Each reading is stepped against the one before it.
std::uint64_t wall_clock_readings();

/// Steps the wall clock by so much, besides what each reading is stepped by.
void step_wall_clock(std::chrono::nanoseconds by);

/// The steady clock stands still from now on, far ahead of the true one: waits for it end by a wake alone.
void hold_steady_clock();
/// Moves the steady clock that is held.
void advance_steady_clock(std::chrono::nanoseconds by);
/// The steady clock is the true one again.
void free_steady_clock();

/// So many readings of the present test are meant: they do not fail it.
void forget_wall_clock_readings(std::uint64_t count);

/// How often the wall clock was read since the present test began. The test framework itself reads it
/// kReadingsByFramework times in this span.
std::uint64_t wall_clock_readings_of_test();
inline constexpr std::uint64_t kReadingsByFramework = 1;

}  // namespace reeltack::test
