// Traffic of a quiet fleet per controller, at 12, 24 and 40 controllers.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>

#include "sim_runs.h"

namespace reeltack::test {
namespace {

Quiet cost(std::size_t size) {
  const Quiet q = quiet(size, 24, 1, 0.0, 60s);
  std::printf(
      "controllers %3zu: %6.0f bytes per second and controller, both directions (datagrams %5.0f), cpu "
      "%.3f%%\n",
      size, q.bytes, q.datagrams, 100.0 * q.cpu);
  return q;
}

TEST(FleetSim, QuietTrafficIsAtMostTwoKilobytesPerSecond) {
  const Quiet small = cost(12);
  const Quiet medium = cost(24);
  const Quiet large = cost(kScale == 1 ? 40 : 12);
  EXPECT_LE(small.bytes, 2048.0);
  EXPECT_LE(medium.bytes, 2048.0);
  EXPECT_LE(large.bytes, 2048.0);
  if (kScale == 1) EXPECT_LE(large.bytes / small.bytes, std::log(40.0) / std::log(12.0) * 1.05);
}

}  // namespace
}  // namespace reeltack::test
