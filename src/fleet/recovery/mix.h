// The hash by which recovery spreads load, orders trials and compares states: splitmix64 (Steele, Lea, Flood
// 2014). All members of a fleet have to compute it alike, so it must not differ between builds.
#pragma once

#include <bit>
#include <cstdint>

#include "fleet/members/ids.h"

namespace reeltack::fleet::recovery {

constexpr std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}
constexpr std::uint64_t mix(std::uint64_t a, std::uint64_t b) { return mix(mix(a) ^ b); }
// Maps a hash to [0, 1).
constexpr double unit_fraction(std::uint64_t hash) { return static_cast<double>(hash >> 11U) * 0x1.0p-53; }

// Hash of a sequence of numbers; their order counts.
class Hash {
 public:
  Hash& add(std::uint64_t value) {
    sum_ = mix(sum_, value);
    return *this;
  }
  Hash& add(double value) { return add(std::bit_cast<std::uint64_t>(value)); }
  // Adds the time from `at` to `now`, so that states that differ by a shift in time hash alike.
  Hash& add_elapsed(Time at, Time now) {
    const bool never = at == Time::min() || at == Time::max();
    return add(never ? ~std::uint64_t{0} : static_cast<std::uint64_t>((at - now).count()));
  }
  [[nodiscard]] std::uint64_t value() const { return sum_; }

 private:
  std::uint64_t sum_ = 0x7265656c7461636bULL;
};

}  // namespace reeltack::fleet::recovery
