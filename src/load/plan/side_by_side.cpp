#include "load/plan/side_by_side.h"

#include <algorithm>

namespace reeltack::load {
namespace {

// Of nothing to nothing: the same.
double ratio(double now, double before) { return before > 0.0 ? now / before : now > 0.0 ? 1e9 : 1.0; }

template <typename Figure>
Scatter scatter(const std::vector<Round>& rounds, Figure figure) {
  std::vector<double> out;
  out.reserve(rounds.size());
  for (const Round& r : rounds) out.push_back(figure(r));
  return scatter_of(std::move(out));
}

}  // namespace

Scatter scatter_of(std::vector<double> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  const std::size_t half = values.size() / 2;
  const double median = values.size() % 2 == 1 ? values[half] : (values[half - 1] + values[half]) / 2.0;
  return {values.front(), median, values.back()};
}

SideBySide side_by_side(const std::vector<Round>& rounds, const Bounds& bounds) {
  SideBySide out;
  out.rounds = rounds.size();
  const auto medians = [&rounds](Measured Round::*side) {
    const auto median = [&](double Measured::*figure) {
      return scatter(rounds, [&](const Round& r) { return r.*side.*figure; }).median;
    };
    return Measured{median(&Measured::cpu_us), median(&Measured::p50_ms), median(&Measured::p99_ms),
                    median(&Measured::stood)};
  };
  out.before = medians(&Round::before);
  out.now = medians(&Round::now);
  const auto ratios = [&rounds](double Measured::*figure) {
    return scatter(rounds, [figure](const Round& r) { return ratio(r.now.*figure, r.before.*figure); });
  };
  out.cpu = ratios(&Measured::cpu_us);
  out.p50 = ratios(&Measured::p50_ms);
  out.p99 = ratios(&Measured::p99_ms);
  const auto judge = [&out](const char* what, double found, double bound) {
    if (found > bound)
      out.faults.push_back(std::string(what) + ": " + std::to_string(found) + ", at most " +
                           std::to_string(bound));
  };
  if (rounds.empty()) out.faults.emplace_back("no round was measured");
  judge("CPU a call, new to old", out.cpu.median, bounds.cpu);
  judge("99% of answers, new to old", out.p99.median, bounds.p99);
  judge("part that stands, old less new", out.before.stood - out.now.stood, bounds.stood);
  return out;
}

}  // namespace reeltack::load
