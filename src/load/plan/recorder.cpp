#include "load/plan/recorder.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace reeltack::load {
namespace {

constexpr double kLeast = 1.0;    // us
constexpr double kMost = 3.6e9;   // us
constexpr double kWidth = 1.004;  // of a bin
constexpr std::size_t kMostIntervals = 100'000;
constexpr std::size_t kSamples = 10;

unsigned bins() { return static_cast<unsigned>(std::ceil(std::log(kMost / kLeast) / std::log(kWidth))); }
double micros(Duration d) { return std::chrono::duration<double, std::micro>(d).count(); }

}  // namespace

Spread::Spread()
    : bins_(boost::histogram::make_histogram_with(boost::histogram::unlimited_storage<>(),
                                                  Axis(bins(), kLeast, kMost))) {}

void Spread::record(Duration value) {
  bins_(std::clamp(micros(value), kLeast, kMost * 0.999));
  ++count_;
  max_ = std::max(max_, value);
  sum_ += std::chrono::duration<double>(value).count();
}
void Spread::add(const Spread& other) {
  bins_ += other.bins_;
  count_ += other.count_;
  max_ = std::max(max_, other.max_);
  sum_ += other.sum_;
}

Duration Spread::mean() const {
  if (count_ == 0) return {};
  return std::chrono::round<Duration>(std::chrono::duration<double>(sum_ / static_cast<double>(count_)));
}
Duration Spread::percentile(double part) const {
  if (count_ == 0) return {};
  // The smallest value that at least this part of all is not above ("nearest rank").
  const double rank = std::max(1.0, std::ceil(part * static_cast<double>(count_) - 1e-9));
  double below = 0.0;
  for (int i = 0; i < bins_.axis().size(); ++i) {
    const auto here = static_cast<double>(bins_.at(i));
    if (here == 0.0 || below + here < rank) {
      below += here;
      continue;
    }
    const auto bin = bins_.axis().bin(i);
    const double us = std::sqrt(bin.lower() * bin.upper());
    return std::min(max_, std::chrono::round<Duration>(std::chrono::duration<double, std::micro>(us)));
  }
  return max_;
}

std::uint64_t Tally::ended() const {
  return std::accumulate(results.begin(), results.end(), std::uint64_t{0});
}

Recorder::Recorder(const Scenario& scenario, Duration interval)
    : scenario_(scenario), interval_(interval), classes_(scenario.classes.size()) {}

Interval& Recorder::at(Duration when) {
  const auto index = static_cast<std::size_t>(std::max<Duration::rep>(when / interval_, 0));
  const std::size_t kept = std::min(index, kMostIntervals - 1);
  if (intervals_.size() <= kept) intervals_.resize(kept + 1);
  return intervals_[kept];
}
void Recorder::planned(Duration when, std::uint32_t c) {
  ++all_.planned;
  ++classes_[c].planned;
  ++at(when).planned;
  all_.worth_offered += scenario_.classes[c].worth;
  classes_[c].worth_offered += scenario_.classes[c].worth;
}
void Recorder::started(Duration when, std::uint32_t c, Duration late) {
  ++all_.started;
  ++classes_[c].started;
  ++at(when).started;
  lateness_.record(std::max(late, Duration{}));
}
void Recorder::tried(Duration when, std::uint32_t c, Duration waited, Duration service, bool alone) {
  for (Tally* t : {&all_, &classes_[c]}) {
    ++t->tries;
    t->latency.record(waited);
    if (service >= Duration{}) t->service.record(service);
  }
  if (alone) closed_loop_.record(waited);
  at(when).latency.record(waited);
}
void Recorder::ended(Duration when, std::uint32_t c, Result result) {
  const auto r = static_cast<std::size_t>(result);
  ++all_.results[r];
  ++classes_[c].results[r];
  ++at(when).results[r];
}
void Recorder::earned(std::uint32_t c, double worth) {
  all_.worth_earned += worth;
  classes_[c].worth_earned += worth;
}
void Recorder::cut(std::uint32_t c) {
  ++all_.cut;
  ++classes_[c].cut;
}
void Recorder::violation(std::uint64_t Violations::*which, const std::string& words) {
  ++(violations_.*which);
  if (violations_.samples.size() < kSamples) violations_.samples.push_back(words);
}

}  // namespace reeltack::load
