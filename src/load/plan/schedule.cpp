#include "load/plan/schedule.h"

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <cmath>
#include <set>

namespace reeltack::load {
namespace {

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration from_seconds(double s) { return std::chrono::round<Duration>(std::chrono::duration<double>(s)); }

double shape_at(const std::vector<Shape>& shapes, double t) {
  for (const Shape& s : shapes) {
    const double rise = seconds(s.rise);
    const double fall = seconds(s.fall);
    const double up = seconds(s.at);
    const double flat = up + rise;
    const double down = flat + seconds(s.hold);
    if (t < up || t >= down + fall) continue;
    if (t < flat) return 1.0 + (s.factor - 1.0) * (t - up) / rise;
    if (t < down) return s.factor;
    return s.factor + (1.0 - s.factor) * (t - down) / fall;
  }
  return 1.0;
}

}  // namespace

Intensity::Intensity(const Scenario& scenario, std::uint64_t seed) {
  const double end = seconds(scenario.duration);
  std::vector<std::pair<double, double>> states;  // from when, which factor
  if (scenario.process == Process::mmpp) {
    Random random = stream(seed, "mmpp");
    std::size_t state = 0;
    for (double t = 0.0; t < end;) {
      states.emplace_back(t, scenario.states[state].factor);
      t += exponential(random, seconds(scenario.states[state].mean));
      // To any of the others, each as likely.
      const auto others = static_cast<double>(scenario.states.size() - 1);
      const auto step = 1 + static_cast<std::size_t>(uniform(random) * others);
      state = (state + step) % scenario.states.size();
    }
  } else {
    states.emplace_back(0.0, 1.0);
  }
  std::set<double> breaks{0.0, end};
  for (const auto& [t, factor] : states) breaks.insert(t);
  for (const Shape& s : scenario.shapes) {
    for (const Duration t : {s.at, s.at + s.rise, s.at + s.rise + s.hold, s.end()}) breaks.insert(seconds(t));
  }
  double before = 0.0;
  std::size_t state = 0;
  for (auto at = breaks.begin(); std::next(at) != breaks.end(); ++at) {
    const double start = *at;
    const double stop = *std::next(at);
    if (start >= end) break;
    while (state + 1 < states.size() && states[state + 1].first <= start) ++state;
    // A shape may jump at a break; its value there is the one to the right, and the one to the left is the
    // limit, which a line through two inner points gives.
    const double third = (stop - start) / 3.0;
    const double a = shape_at(scenario.shapes, start + third);
    const double b = shape_at(scenario.shapes, stop - third);
    const double factor = states[state].second;
    const Segment s{start, std::min(stop, end), std::max(0.0, (2.0 * a - b) * factor),
                    std::max(0.0, (2.0 * b - a) * factor), before};
    segments_.push_back(s);
    before += (s.f0 + s.f1) / 2.0 * (s.end - s.start);
  }
}

double Intensity::factor(Duration at) const {
  const double t = seconds(at);
  for (const Segment& s : segments_) {
    if (t >= s.start && t < s.end) return s.f0 + (s.f1 - s.f0) * (t - s.start) / (s.end - s.start);
  }
  return 0.0;
}

double Intensity::integral(Duration to) const {
  const double t = seconds(to);
  double out = 0.0;
  for (const Segment& s : segments_) {
    if (t <= s.start) break;
    const double x = std::min(t, s.end) - s.start;
    out = s.before + s.f0 * x + (s.f1 - s.f0) / (s.end - s.start) * x * x / 2.0;
  }
  return out;
}

Duration Intensity::inverse(double wanted, std::size_t& hint) const {
  for (; hint < segments_.size(); ++hint) {
    const Segment& s = segments_[hint];
    const double need = wanted - s.before;
    const double length = s.end - s.start;
    if (need > (s.f0 + s.f1) / 2.0 * length) continue;
    const double slope = (s.f1 - s.f0) / length;
    // The root of f0 x + slope x^2 / 2 = need, in the form that loses no digits where the slope is small.
    const double root = std::sqrt(std::max(0.0, s.f0 * s.f0 + 2.0 * slope * need));
    const double x = s.f0 + root > 0.0 ? 2.0 * need / (s.f0 + root) : 0.0;
    return from_seconds(s.start + std::clamp(x, 0.0, length));
  }
  return Duration::max();
}

Schedule::Schedule(const Scenario& scenario, TraceSource trace)
    : scenario_(scenario),
      seed_(scenario.seed),
      intensity_(scenario, scenario.seed),
      zipf_(scenario.numbers, scenario.zipf),
      trace_(std::move(trace)),
      drift_(stream(scenario.seed, "drift")) {
  double sum = 0.0;
  for (const LoadClass& c : scenario_.classes) sum += c.share;
  for (const LoadClass& c : scenario_.classes) {
    Lane lane;
    lane.purpose = hash(c.name);  // by name: the order of the classes moves nothing
    lane.gaps = stream(seed_, "gaps:" + c.name);
    lane.rate = scenario_.rate * c.share / sum;
    lane.phase = uniform(lane.gaps);
    if (scenario_.process != Process::trace) step(lane);
    lanes_.push_back(lane);
  }
}

void Schedule::step(Lane& lane) {
  if (scenario_.process == Process::constant) {
    lane.reached = lane.reached == 0.0 ? std::max(lane.phase, 1e-12) : lane.reached + 1.0;
  } else {
    lane.reached += exponential(lane.gaps, 1.0);
  }
  lane.at = intensity_.inverse(lane.reached / lane.rate, lane.hint);
}

std::uint32_t Schedule::place(Duration at, double u) {
  while (epoch_.cumulative.empty() || at >= epoch_.until) {
    // The weights are drawn evenly from the simplex, so that places differ as exponential draws do.
    const double least = seconds(scenario_.drift_least);
    const double most = seconds(scenario_.drift_most);
    const bool drifts = most > 0.0;
    epoch_.until =
        drifts ? epoch_.until + from_seconds(least + (most - least) * uniform(drift_)) : Duration::max();
    epoch_.cumulative.assign(scenario_.places, 0.0);
    double sum = 0.0;
    for (double& w : epoch_.cumulative) w = sum += drifts ? exponential(drift_, 1.0) : 1.0;
    for (double& w : epoch_.cumulative) w /= sum;
  }
  const auto found = std::upper_bound(epoch_.cumulative.begin(), epoch_.cumulative.end(), u);
  return static_cast<std::uint32_t>(std::min<std::ptrdiff_t>(
      found - epoch_.cumulative.begin(), static_cast<std::ptrdiff_t>(scenario_.places) - 1));
}

// Each call has a generator of its own, so that no draw of one moves those of the next.
void Schedule::draw(Arrival& out, const std::string& name) {
  const LoadClass& c = scenario_.classes[out.call_class];
  Random random = stream(seed_, name, out.index);
  out.first_choice = place(out.planned, uniform(random));
  const double early = uniform(random);
  const double when = uniform(random);
  out.patience = from_seconds(seconds(c.deadline) * c.patience);
  out.leaves_after =
      early < c.leaves_early ? std::max(Duration{1}, from_seconds(when * seconds(out.patience))) : Duration{};
  const double mean = seconds(c.hold_mean);
  double hold = mean;
  if (c.hold_law == HoldLaw::exponential) hold = exponential(random, mean);
  if (c.hold_law == HoldLaw::lognormal && c.hold_sigma > 0.0) {
    const double mu = std::log(mean) - c.hold_sigma * c.hold_sigma / 2.0;  // so that the mean is the mean
    hold = boost::random::lognormal_distribution<double>(mu, c.hold_sigma)(random);
  }
  out.hold = from_seconds(std::min(hold, 86400.0));
  out.number = std::max<std::uint64_t>(mix(zipf_(random)), 1);
}

std::optional<Arrival> Schedule::next() {
  Arrival out;
  if (scenario_.process == Process::trace) {
    std::optional<TraceCall> told;
    for (;;) {
      told = trace_ ? trace_() : std::nullopt;
      if (!told) return std::nullopt;
      out.planned = from_seconds(seconds(told->at) / scenario_.speed);
      if (out.planned < scenario_.duration) break;
      ++beyond_;
    }
    out.call_class = told->call_class;
    out.index = lanes_[out.call_class].index++;
    draw(out, scenario_.classes[out.call_class].name);
    if (told->number) out.number = *told->number;
    if (told->first_choice) out.first_choice = *told->first_choice;
    if (told->hold) out.hold = *told->hold;
    return out;
  }
  std::size_t first = 0;
  for (std::size_t i = 1; i < lanes_.size(); ++i) {
    if (lanes_[i].at < lanes_[first].at) first = i;
  }
  Lane& lane = lanes_[first];
  if (lane.at >= scenario_.duration) return std::nullopt;
  out.planned = lane.at;
  out.call_class = static_cast<std::uint32_t>(first);
  out.index = lane.index++;
  draw(out, scenario_.classes[first].name);
  step(lane);
  return out;
}

}  // namespace reeltack::load
