// When calls arrive and what each is, ahead of time and from the seed alone.
//
// Owns: the rate over time, the arrivals of each class, and every draw that belongs to a call.
// Must never: look at a clock, at what became of a call, or at another class's draws.
//
// Each class is a process of its own with unit rate, mapped to time through the inverse of the rate's
// integral (Cinlar, Introduction to Stochastic Processes, 1975, ch. 4). So a shape moves instants and nothing
// else: the n-th call of a class has the same number, first choice, hold and patience under every shape and
// beside any other class. Equal scenarios and seeds give equal schedules, byte for byte.
//
// Memory does not grow with the duration. Threads: one at a time.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "load/plan/draws.h"
#include "load/plan/scenario.h"

namespace reeltack::load {

struct Arrival {
  Duration planned{};       // from the run's start
  std::uint64_t index = 0;  // in the class
  std::uint32_t call_class = 0;
  std::uint32_t first_choice = 0;
  std::uint64_t number = 0;  // called; never 0
  Duration hold{};
  Duration patience{};      // of one try
  Duration leaves_after{};  // the caller hangs up so long after a try began; 0: it does not
  bool operator==(const Arrival&) const = default;
};

// The rate's factor over time and its integral.
class Intensity {
 public:
  Intensity(const Scenario& scenario, std::uint64_t seed);
  [[nodiscard]] double factor(Duration at) const;
  [[nodiscard]] double integral(Duration to) const;  // of the factor, in seconds
  // The instant by which the integral has reached `wanted`; past the duration: Duration::max(). `hint` is the
  // caller's place in the list of segments; wanted must not fall from call to call with one hint.
  [[nodiscard]] Duration inverse(double wanted, std::size_t& hint) const;

 private:
  struct Segment {  // linear from f0 to f1
    double start;
    double end;
    double f0;
    double f1;
    double before;  // integral up to the start
  };
  std::vector<Segment> segments_;
};

// What a trace tells of a call; the rest is drawn.
struct TraceCall {
  Duration at{};
  std::uint32_t call_class = 0;
  std::optional<std::uint64_t> number;
  std::optional<std::uint32_t> first_choice;
  std::optional<Duration> hold;
};
using TraceSource = std::function<std::optional<TraceCall>()>;  // in order of time; may throw

class Schedule {
 public:
  explicit Schedule(const Scenario& scenario, TraceSource trace = {});
  std::optional<Arrival> next();  // in order of time; nothing: the end
  // Calls of a trace that lie beyond the scenario's duration: read and counted, not played.
  [[nodiscard]] std::uint64_t beyond() const { return beyond_; }

 private:
  struct Lane {  // of a class
    Random gaps;
    double rate = 0.0;
    double reached = 0.0;  // of the unit-rate process
    double phase = 0.0;
    std::size_t hint = 0;
    std::uint64_t index = 0;
    Duration at{};
    std::uint64_t purpose = 0;
  };
  struct Epoch {  // between two drifts of the first choice
    Duration until{};
    std::vector<double> cumulative;
  };
  void step(Lane& lane);
  void draw(Arrival& out, const std::string& name);
  std::uint32_t place(Duration at, double u);
  const Scenario scenario_;
  const std::uint64_t seed_;
  const Intensity intensity_;
  const Zipf zipf_;
  TraceSource trace_;
  std::vector<Lane> lanes_;
  Random drift_;
  Epoch epoch_;
  std::uint64_t beyond_ = 0;
};

}  // namespace reeltack::load
