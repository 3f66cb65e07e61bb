// Estimated encoded sizes in bytes, by which deltas and the facts of an owner are bounded. The encoding
// itself is done by fleet/link, and never exceeds these.
//
// An id or a subject counts 8 bytes, a number as many as groups of 7 bits (LEB128), an age the same in whole
// milliseconds, a kind 2 bytes, flags 1 byte, a count 2 bytes.
#pragma once

#include "fleet/facts/facts.h"

namespace reeltack::fleet::facts {

constexpr std::size_t encoded(std::uint64_t number) {
  std::size_t bytes = 1;
  while (number >= 0x80) {
    number >>= 7;
    ++bytes;
  }
  return bytes;
}
inline std::size_t encoded(const Fact& fact) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(fact.age).count();
  return encoded(fact.version) + 2 + 8 + 1 + encoded(static_cast<std::uint64_t>(age > 0 ? age : 0)) +
         encoded(fact.value.size()) + fact.value.size();
}
// The size of a fact within its owner's bounds, independent of its version and age.
inline std::size_t held_bytes(std::size_t value_bytes) { return 24 + value_bytes; }
// A part without its facts.
inline std::size_t encoded_head(const OwnerDelta& part) {
  return 8 + encoded(part.incarnation) + 1 + encoded(part.after) + encoded(part.floor) + 2;
}
inline std::size_t encoded(const OwnerDelta& part) {
  std::size_t bytes = encoded_head(part);
  for (const Fact& fact : part.facts) bytes += encoded(fact);
  return bytes;
}
inline std::size_t encoded(const Delta& delta) {
  std::size_t bytes = 2;
  for (const OwnerDelta& part : delta.owners) bytes += encoded(part);
  return bytes;
}
inline std::size_t encoded(const DigestEntry& entry) {
  return 8 + encoded(entry.incarnation) + encoded(entry.highest) + encoded(entry.floor);
}
inline std::size_t encoded(const Digest& digest) {
  std::size_t bytes = 4 + 1 + 2;
  for (const DigestEntry& entry : digest.entries) bytes += encoded(entry);
  return bytes;
}
inline std::size_t encoded(const Summary& summary) { return 8 * summary.buckets.size(); }

}  // namespace reeltack::fleet::facts
