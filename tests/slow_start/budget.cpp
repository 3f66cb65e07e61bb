#include "budget.h"

#include <algorithm>
#include <cmath>

namespace reeltack::test {

namespace {

constexpr double kFewRequests = 30.0;  // under so many the rule leaves more to chance

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

double warmth(const Settings& settings, Duration age) {
  const double ramp = seconds(settings.ramp);
  const double part = ramp > 0.0 ? std::clamp(seconds(age) / ramp, 0.0, 1.0) : 1.0;
  return settings.cold_from + (1.0 - settings.cold_from) * part;
}

double slow_start_budget(double n) {
  if (n < kFewRequests) return n + 3.0 * std::sqrt(n) + 3.0;
  return n + 2.0 * std::sqrt(n) + 2.0;
}

void WindowAccount::sent(Time at, double work) {
  window_.push_back({at, work});
  in_window_ += work;
  total_ += work;
  while (window_.front().at <= at - settings_.fall_span) {
    in_window_ -= window_.front().work;
    window_.pop_front();
  }
  if (at >= started_ + settings_.ramp) return;
  // The capacity that counts is the least within the window: that at its beginning.
  const Duration age = std::max(at - settings_.fall_span - started_, Duration{});
  const double capacity = capacity_ * warmth(settings_, age);
  const double n = settings_.fall_multiple * capacity * seconds(settings_.fall_span);
  const WorstWindow window{in_window_, slow_start_budget(n), at - started_};
  if (window.part() > worst_.part()) worst_ = window;
}

}  // namespace reeltack::test
