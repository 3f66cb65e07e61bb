// A time since one of the machine's boots, and the time between two of them.
//
// Unaffected by steps of the wall clock. Unlike Time, these remain meaningful on disk: a later process of the
// same boot can compute the true age of what an earlier one has written. No age is given across a boot. Types
// only: base/boot_clock.h reads the clock.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "reeltack/settings.h"

namespace reeltack::clocks {

/// Identifies a boot of a machine; all zero: unknown.
using BootId = std::array<std::uint8_t, 16>;

struct BootTime {
  BootId boot{};
  Duration since_boot{};  // including time in suspension
};

/// Nothing unless both are known to be of the same boot and `to` is not before `from`.
inline std::optional<Duration> elapsed(const BootTime& from, const BootTime& to) {
  if (from.boot == BootId{} || from.boot != to.boot || to.since_boot < from.since_boot) return std::nullopt;
  return to.since_boot - from.since_boot;
}

}  // namespace reeltack::clocks
