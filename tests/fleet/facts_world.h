// Shared by the tests of facts: seeded random numbers, exchanges without a network, and what a holder shows.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "fleet/facts/facts.h"
#include "fleet/facts/sizes.h"

namespace reeltack::fleet::facts::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline Time at(Duration since) { return Time{} + seconds(1000) + since; }
inline MemberId id(std::uint64_t number) { return MemberId{number * 0x9e3779b97f4a7c15U}; }
inline Key office(std::uint64_t number) { return {Kind::office, number}; }

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t below(std::uint64_t bound) {
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return (z ^ (z >> 31U)) % bound;
  }

 private:
  std::uint64_t state_;
};

// (owner, kind, subject) -> value: what a holder shows, including an unknown kind.
using Shown = std::map<std::tuple<MemberId, Kind, std::uint64_t>, std::string>;
inline constexpr Kind kUnknown{77};
inline Shown shown(const Facts& facts, Time now) {
  Shown all;
  for (const Kind kind : {Kind::stage, Kind::list, Kind::office, kUnknown}) {
    facts.each(now, kind, [&](const Fact& fact) {
      all[{fact.owner, fact.key.kind, fact.key.subject}] = fact.value;
    });
  }
  return all;
}

struct Bytes {
  std::size_t summary = 0, digest = 0, delta = 0;
  [[nodiscard]] std::size_t all() const { return summary + digest + delta; }
};
// A complete exchange begun by A, without loss.
inline Bytes exchange(Time now, Facts& a, MemberId a_id, Facts& b, MemberId b_id) {
  Bytes bytes;
  const Summary first = a.summary();
  const Digest entries = b.digest(first);
  bytes.summary = encoded(first);
  bytes.digest = encoded(entries);
  if (entries.buckets == 0) return bytes;
  const Delta to_b = a.delta(now, entries);
  const Digest requested = a.request(entries);
  const Delta to_a = b.delta(now, requested);
  bytes.digest += encoded(requested);
  bytes.delta = encoded(to_b) + encoded(to_a);
  (void)b.apply(now, a_id, to_b);
  (void)a.apply(now, b_id, to_a);
  return bytes;
}

}  // namespace reeltack::fleet::facts::test
