// Fixture for the tests of StartTimes: a machine whose wall clock may be wrong, and the lists it receives.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <vector>

#include "clocks/start_times.h"

namespace reeltack::clocks {

using namespace std::chrono_literals;
using Origin = StartTimes::Origin;

inline constexpr Duration kTrueOffset = std::chrono::hours(400'000);  // Unix time at the steady clock's epoch
inline constexpr Duration kSteps[] = {-1h, -5s, 0s, 5s, 1h};

// The steady clock is right; the wall clock is wrong by a step.
class Clocks : public ::testing::Test {
 protected:
  [[nodiscard]] ClockReading reading(Duration wrong_by = 0s) const {
    return {now_, WallTime{now_.time_since_epoch() + kTrueOffset + wrong_by}};
  }
  // The start, in Unix time, of a process that now has this age.
  [[nodiscard]] StartId start_of_age(Duration age) const {
    const Duration unix_time = now_.time_since_epoch() + kTrueOffset - age;
    return StartId{static_cast<std::uint64_t>(unix_time / 1ms)};
  }
  static ServerEntry entry(std::uint32_t id, StartId start) {
    ServerEntry out;
    out.server = ServerId{id};
    out.start = start;
    return out;
  }
  // The age that StartTimes derives for the entry.
  Duration age(StartTimes& times, ServerEntry entry, Duration wrong_by = 0s,
               Origin from = Origin::discovery) const {
    const std::array<ServerEntry*, 1> one{&entry};
    times.fill(from, reading(wrong_by), one);
    return now_ - entry.started_at;
  }
  // Applies one list of discovery.
  void fill(StartTimes& times, std::vector<ServerEntry>& list) const {
    std::vector<ServerEntry*> entries;
    for (ServerEntry& e : list) entries.push_back(&e);
    times.fill(Origin::discovery, reading(), entries);
  }
  Time now_{100h};
};

}  // namespace reeltack::clocks
