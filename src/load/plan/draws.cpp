#include "load/plan/draws.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace reeltack::load {

std::uint64_t mix(std::uint64_t x) {
  x ^= x >> 30U;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27U;
  x *= 0x94d049bb133111ebULL;
  return x ^ x >> 31U;
}
std::uint64_t unmix(std::uint64_t x) {
  x = x ^ x >> 31U ^ x >> 62U;
  x *= 0x319642b2d24d8ec3ULL;  // the inverses of the factors above, modulo 2^64
  x = x ^ x >> 27U ^ x >> 54U;
  x *= 0x96de1b173f119089ULL;
  return x ^ x >> 30U ^ x >> 60U;
}
std::uint64_t hash(std::string_view text) {
  std::uint64_t out = 0xcbf29ce484222325ULL;
  for (const char c : text) out = (out ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix(out);
}
Random stream(std::uint64_t seed, std::string_view purpose, std::uint64_t index) {
  const std::uint64_t purpose_hash = hash(purpose);
  return Random(mix(seed ^ purpose_hash), mix(purpose_hash + index));
}

double uniform(Random& random) { return boost::random::uniform_01<double>()(random); }
double exponential(Random& random, double mean) {
  return boost::random::exponential_distribution<double>(1.0 / mean)(random);
}

Zipf::Zipf(std::uint64_t n, double exponent) : n_(static_cast<double>(n)), s_(exponent) {
  h_first_ = h(1.5) - 1.0;
  h_last_ = h(n_ + 0.5);
  threshold_ = 2.0 - h_inverse(h(2.5) - std::pow(2.0, -s_));
}
double Zipf::h(double x) const {
  return std::abs(s_ - 1.0) < 1e-9 ? std::log(x) : (std::pow(x, 1.0 - s_) - 1.0) / (1.0 - s_);
}
double Zipf::h_inverse(double x) const {
  return std::abs(s_ - 1.0) < 1e-9 ? std::exp(x)
                                   : std::pow(std::max(1.0 + x * (1.0 - s_), 1e-300), 1.0 / (1.0 - s_));
}
std::uint64_t Zipf::operator()(Random& random) const {
  for (;;) {
    const double u = h_last_ + uniform(random) * (h_first_ - h_last_);
    const double x = h_inverse(u);
    const double k = std::clamp(std::floor(x + 0.5), 1.0, n_);
    if (k - x <= threshold_ || u >= h(k + 0.5) - std::pow(k, -s_)) return static_cast<std::uint64_t>(k);
  }
}

}  // namespace reeltack::load
