// Random draws that are the same everywhere: one generator, its streams, and the laws that scenarios name.
//
// Owns: the derivation of a stream from seed, purpose and index, and sampling.
// Must never: use the standard library's distributions (they differ between implementations) or any state
//   that was not given.
//
// Generator: pcg32 (O'Neill, PCG, 2014), a stream a purpose. Distributions: Boost.Random.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

namespace reeltack::load {

using Random = pcg32;

std::uint64_t mix(std::uint64_t value);     // splitmix64's finalizer (Steele et al., 2014): a bijection
std::uint64_t unmix(std::uint64_t value);   // its inverse
std::uint64_t hash(std::string_view text);  // FNV-1a, 64 bits, mixed
// The stream of one purpose: draws of one never shift those of another.
Random stream(std::uint64_t seed, std::string_view purpose, std::uint64_t index = 0);

double uniform(Random& random);                   // [0, 1)
double exponential(Random& random, double mean);  // above 0

// Ranks 1..n in proportion to rank^-exponent, by rejection-inversion (Hoermann and Derflinger, 1996): no
// table, whatever n is.
class Zipf {
 public:
  Zipf(std::uint64_t n, double exponent);
  std::uint64_t operator()(Random& random) const;

 private:
  [[nodiscard]] double h(double x) const;  // integral of x^-s
  [[nodiscard]] double h_inverse(double x) const;
  double n_;
  double s_;
  double h_first_;
  double h_last_;
  double threshold_;
};

}  // namespace reeltack::load
