// Settings of a trunk group, and the limit on the duration of a mismatch that follows from them.
#pragma once

#include <chrono>
#include <cstdint>

#include "reeltack/controller.h"

namespace reeltack::circuits {

// Signalling point code of an end (ITU-T Q.704); determines which circuits that end controls.
using PointCode = std::uint32_t;

// The order in which an end selects among its idle circuits.
enum class Hunting {
  opposite,  // the end with the higher point code hunts from the high end, the other from the low one
  priority,  // own circuits first, the longest idle; then the other's, last released (Q.764, method 2)
  same,      // both from the low end: for comparison only
};

// Both ends of a group have the same settings, except that `own` and `far` are exchanged.
struct GroupSettings {
  std::uint32_t size = 30;  // circuits
  PointCode own = 1;
  PointCode far = 2;
  Hunting hunting = Hunting::opposite;
  Duration release_again = std::chrono::seconds(2);  // an uncompleted release or reset is repeated (T1, T16)
  int max_releases = 3;  // transmissions of a release, then the circuit is reset (T5)
  Duration audit_period = std::chrono::seconds(3);      // in which all circuits are compared once
  Duration confirm_after = std::chrono::seconds(1);     // a mismatch is queried again
  std::uint32_t audit_range = 256;                      // circuits per query
  std::uint32_t settle_batch = 64;                      // circuits freed or reset at once
  Duration settle_gap = std::chrono::milliseconds(50);  // pause between two batches
  Duration max_silence =
      std::chrono::milliseconds(5500);  // established calls end after this time without a connection
};
// The longest time that a circuit stays stuck, from when it got stuck or from the reconnection.
Duration max_settle_time(const GroupSettings& settings);

}  // namespace reeltack::circuits
