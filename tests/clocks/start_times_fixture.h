// A machine whose wall clock may be wrong, and the lists that it is told, for the tests of StartTimes.
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

// A machine whose steady clock is right, and whose wall clock is wrong by a step.
class Clocks : public ::testing::Test {
 protected:
  [[nodiscard]] ClockReading reading(Duration wrong_by = 0s) const {
    return {now_, WallTime{now_.time_since_epoch() + kTrueOffset + wrong_by}};
  }
  // The Unix time at which a process started that is so old by now.
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
  // The age that is taken for it.
  Duration age(StartTimes& times, ServerEntry entry, Duration wrong_by = 0s,
               Origin from = Origin::discovery) const {
    const std::array<ServerEntry*, 1> one{&entry};
    times.fill(from, reading(wrong_by), one);
    return now_ - entry.started_at;
  }
  // One list of discovery's.
  void fill(StartTimes& times, std::vector<ServerEntry>& list) const {
    std::vector<ServerEntry*> entries;
    for (ServerEntry& e : list) entries.push_back(&e);
    times.fill(Origin::discovery, reading(), entries);
  }
  Time now_{100h};
};

}  // namespace reeltack::clocks
