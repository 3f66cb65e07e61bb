// Deterministic pseudo-random numbers: the only source of randomness of the membership state.
#pragma once

#include <cstddef>
#include <cstdint>

namespace reeltack::fleet::members {

// SplitMix64 (Steele, Lea, Flood 2014): the same seed gives the same numbers on every machine.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
  }
  // A number in [0, bound); bound must not be 0. The bias is below bound / 2^64.
  std::size_t below(std::size_t bound) { return static_cast<std::size_t>(next() % bound); }

 private:
  std::uint64_t state_;
};

}  // namespace reeltack::fleet::members
