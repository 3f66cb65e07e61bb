// Two programs measured in turns under the same load: the ratio of one to the other, and a verdict.
//
// Owns: what is compared, its medians and spread over the rounds, and the bounds.
// Must never: do I/O, start anything, or read a clock.
//
// Threads: none. Microseconds of CPU, milliseconds of latency. Equal inputs give equal outputs. The median of
// the rounds' own ratios is judged, not the ratio of two means: both programs of a round have met the same
// disturbances of the machine, and a round that was disturbed alone weighs as much as any other.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace reeltack::load {

struct Measured {
  double cpu_us = 0.0;  // of the program, a call
  double p50_ms = 0.0;  // from a set-up's planned instant to its answer
  double p99_ms = 0.0;
  double stood = 0.0;  // part of all set-ups
};
struct Round {
  Measured before;
  Measured now;
};
struct Bounds {
  double cpu = 1.0;      // new to old, at most
  double p99 = 1.25;     // the same
  double stood = 0.001;  // that fewer stand than before, as a part of all
};
struct Scatter {
  double least = 0.0;
  double median = 0.0;
  double most = 0.0;
};
Scatter scatter_of(std::vector<double> values);  // of nothing: zeros

struct SideBySide {
  std::size_t rounds = 0;
  Measured before;  // medians
  Measured now;
  Scatter cpu;  // now to before, by rounds
  Scatter p50;
  Scatter p99;
  std::vector<std::string> faults;  // what is beyond its bound, with both figures; empty: good
};
SideBySide side_by_side(const std::vector<Round>& rounds, const Bounds& bounds);

}  // namespace reeltack::load
