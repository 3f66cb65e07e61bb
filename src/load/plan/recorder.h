// What a run measured: latencies, results and worth, whole, by class and by interval.
//
// Owns: the histograms, the counts and the violations of one run.
// Must never: leave out what was never answered, or take a latency from anything but what it is told.
//
// Histograms: Boost.Histogram, a logarithmic axis from 1 us to 1 h with bins 0.4% wide, so that a percentile
// is within 0.2% of the value in the sorted list. Threads: one at a time.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "load/plan/scenario.h"

namespace reeltack::load {

// A distribution of durations. Percentiles are of all that was recorded; min, max, mean and count are exact.
class Spread {
 public:
  Spread();
  void record(Duration value);  // below 1 us counts as 1 us
  void add(const Spread& other);
  [[nodiscard]] std::uint64_t count() const { return count_; }
  [[nodiscard]] Duration percentile(double part) const;  // 0.99; of nothing: 0
  [[nodiscard]] Duration max() const { return max_; }
  [[nodiscard]] Duration mean() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::unlimited_storage<>>;
  Histogram bins_;
  std::uint64_t count_ = 0;
  Duration max_{};
  double sum_ = 0.0;  // seconds
};

// Of a call, by its last try.
enum class Result { stands, refused, failed, given_up, unanswered };
inline constexpr std::array<const char*, 5> kResultNames{"stands", "refused", "failed", "given_up",
                                                         "unanswered"};
struct Violations {
  std::uint64_t second_answers = 0;
  std::uint64_t unknown_calls = 0;
  std::uint64_t unreadable = 0;
  std::uint64_t foreign_descriptions = 0;
  std::vector<std::string> samples;  // the first few, in words
  [[nodiscard]] std::uint64_t total() const {
    return second_answers + unknown_calls + unreadable + foreign_descriptions;
  }
};

// Of all calls, or of those of a class.
struct Tally {
  std::uint64_t planned = 0;
  std::uint64_t started = 0;
  std::uint64_t tries = 0;
  std::uint64_t cut = 0;
  std::array<std::uint64_t, kResultNames.size()> results{};
  double worth_offered = 0.0;
  double worth_earned = 0.0;
  Spread latency;  // of each try, from its planned instant to the final answer or as long as it waited
  Spread service;  // the same from the first byte sent
  [[nodiscard]] std::uint64_t ended() const;
};

struct Interval {
  std::uint64_t planned = 0;
  std::uint64_t started = 0;
  std::array<std::uint64_t, kResultNames.size()> results{};
  Spread latency;  // of the answers that came in it
};

class Recorder {
 public:
  Recorder(const Scenario& scenario, Duration interval = std::chrono::seconds(1));

  void planned(Duration at, std::uint32_t call_class);
  void started(Duration at, std::uint32_t call_class, Duration late);
  // A try came to an end. `waited` from its planned instant; `service` from its first byte, negative: it
  // never left. `alone`: a closed-loop caller would have measured it.
  void tried(Duration at, std::uint32_t call_class, Duration waited, Duration service, bool alone);
  void ended(Duration at, std::uint32_t call_class, Result result);
  void earned(std::uint32_t call_class, double worth);  // negative: taken back, the call was cut
  void cut(std::uint32_t call_class);

  [[nodiscard]] const Tally& all() const { return all_; }
  [[nodiscard]] const std::vector<Tally>& classes() const { return classes_; }
  [[nodiscard]] const Spread& lateness() const { return lateness_; }
  // What a closed-loop generator on as many connections would have reported: it makes no call while one
  // waits.
  [[nodiscard]] const Spread& closed_loop() const { return closed_loop_; }
  [[nodiscard]] const std::vector<Interval>& intervals() const { return intervals_; }
  [[nodiscard]] Duration interval() const { return interval_; }
  [[nodiscard]] Violations& violations() { return violations_; }
  [[nodiscard]] const Violations& violations() const { return violations_; }
  void violation(std::uint64_t Violations::*which, const std::string& words);

 private:
  Interval& at(Duration when);
  const Scenario& scenario_;
  const Duration interval_;
  Tally all_;
  std::vector<Tally> classes_;
  Spread lateness_;
  Spread closed_loop_;
  std::vector<Interval> intervals_;
  Violations violations_;
};

}  // namespace reeltack::load
