// Two connected and audited ends of a trunk group, the starting point of most tests.
#pragma once

#include <gtest/gtest.h>

#include "two_ends.h"

namespace reeltack::circuits::test {

using State = Group::State;

using Ends = TwoEnds<Group>;

// Both ends are connected and have completed the first audit.
inline Ends connected_ends(std::uint32_t size, Hunting hunting = Hunting::opposite) {
  Ends w(settings_of(size, true, hunting), settings_of(size, false, hunting));
  w.connect();
  w.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(w.ends[0].selectable(), size);
  EXPECT_EQ(w.ends[1].selectable(), size);
  return w;
}

// Indices of the ends: the one with the higher point code, and the other.
inline constexpr std::size_t kHigh = 0;
inline constexpr std::size_t kLow = 1;

// A call of the high end, answered by the low end.
inline void establish(Ends& w, std::uint64_t call) {
  w.originate(kHigh, call);
  w.run_for(std::chrono::milliseconds(1));
  w.answer(kLow, call);
  w.run_for(std::chrono::milliseconds(1));
}

// Time after which a stuck circuit must be free again, with a margin for messages in flight.
inline Duration settle_time(const Ends& w) {
  return max_settle_time(w.settings[0]) + std::chrono::seconds(1);
}

}  // namespace reeltack::circuits::test
