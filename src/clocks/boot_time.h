// A moment of the machine's life since one of its boots, and the time between two of them.
//
// Owns: the types alone. No step of the wall clock moves what they give; unlike Time, they keep their meaning
//   on disk: a later process of the same boot finds the true age of what an earlier one wrote.
// Must never: read a clock (base/boot_clock.h does), or give an age across a boot.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "reeltack/settings.h"

namespace reeltack::clocks {

/// Names a boot of a machine; all zero where that is not known.
using BootId = std::array<std::uint8_t, 16>;

struct BootTime {
  BootId boot{};
  Duration since_boot{};  // the machine's time of suspension included
};

/// Nothing where the two are not known to be of the same boot, or `to` is before `from`.
inline std::optional<Duration> elapsed(const BootTime& from, const BootTime& to) {
  if (from.boot == BootId{} || from.boot != to.boot || to.since_boot < from.since_boot) return std::nullopt;
  return to.since_boot - from.since_boot;
}

}  // namespace reeltack::clocks
