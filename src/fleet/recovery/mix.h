// The hash by which recovery spreads, tries and compares: splitmix64 (Steele, Lea, Flood 2014).
//
// Owns: nothing. Must never: differ between builds; members of one fleet compute it alike.
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
// From 0 to below 1.
constexpr double unit_fraction(std::uint64_t hash) { return static_cast<double>(hash >> 11U) * 0x1.0p-53; }

class Hash {  // of a sequence of numbers, in their order
 public:
  Hash& add(std::uint64_t value) {
    sum_ = mix(sum_, value);
    return *this;
  }
  Hash& add(double value) { return add(std::bit_cast<std::uint64_t>(value)); }
  Hash& since(Time at, Time now) {
    const bool never = at == Time::min() || at == Time::max();
    return add(never ? ~std::uint64_t{0} : static_cast<std::uint64_t>((at - now).count()));
  }
  [[nodiscard]] std::uint64_t value() const { return sum_; }

 private:
  std::uint64_t sum_ = 0x7265656c7461636bULL;
};

}  // namespace reeltack::fleet::recovery
