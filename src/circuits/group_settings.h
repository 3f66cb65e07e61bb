// The settings of a trunk group and the bound that follows from them.
#pragma once

#include <chrono>
#include <cstdint>

#include "reeltack/controller.h"

namespace reeltack::circuits {

// The signalling point code of an end (ITU-T Q.704): decides which circuits that end controls.
using PointCode = std::uint32_t;

// The order in which an end selects among its idle circuits.
enum class Hunting {
  opposite,  // the end with the higher point code hunts from the high end, the other from the low one
  priority,  // own circuits first, the longest idle; then the other end's, the last released (Q.764, method
             // 2)
  same,      // both from the low end: for comparison only
};

// Both ends of a group are given the same, but for `own` and `far`, which are exchanged.
struct GroupSettings {
  std::uint32_t size = 30;  // circuits
  PointCode own = 1;
  PointCode far = 2;
  Hunting hunting = Hunting::opposite;
  Duration release_again =
      std::chrono::seconds(2);  // a release or reset without its completion is said again (T1, T16)
  int max_releases = 3;         // ... so often; then the circuit is reset (T5)
  Duration audit_period = std::chrono::seconds(3);      // in which the whole group is compared
  Duration confirm_after = std::chrono::seconds(1);     // what disagrees is asked about once more
  std::uint32_t audit_range = 256;                      // circuits a query
  std::uint32_t settle_batch = 64;                      // circuits freed or reset at once ...
  Duration settle_gap = std::chrono::milliseconds(50);  // ... and how long until the next so many
  Duration max_silence =
      std::chrono::milliseconds(5500);  // without a connection for so long, what stands is over
};
// The longest that a stuck circuit stays so, from the moment it got stuck or from the reconnection.
Duration max_settle_time(const GroupSettings& settings);

}  // namespace reeltack::circuits
