#include "budget.h"

#include <algorithm>
#include <cmath>

namespace reeltack::test {

namespace {

constexpr double kFewRequests = 30.0;  // below this N the rule allows a wider random deviation

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

double warmth(const Settings& settings, Duration age) {
  const double ramp = seconds(settings.ramp);
  const double progress = ramp > 0.0 ? std::clamp(seconds(age) / ramp, 0.0, 1.0) : 1.0;
  return settings.cold_from + (1.0 - settings.cold_from) * progress;
}

double slow_start_budget(double n) {
  if (n < kFewRequests) return n + 3.0 * std::sqrt(n) + 3.0;
  return n + 2.0 * std::sqrt(n) + 2.0;
}

void WindowAccount::add(Time sent_at, double work) {
  window_.push_back({sent_at, work});
  in_window_ += work;
  total_ += work;
  while (window_.front().sent_at <= sent_at - settings_.fall_span) {
    in_window_ -= window_.front().work;
    window_.pop_front();
  }
  if (sent_at >= started_at_ + settings_.ramp) return;
  // The relevant capacity is the minimum within the window, which is that at its beginning.
  const Duration age = std::max(sent_at - settings_.fall_span - started_at_, Duration{});
  const double capacity = capacity_ * warmth(settings_, age);
  const double n = settings_.fall_multiple * capacity * seconds(settings_.fall_span);
  const WorstWindow window{in_window_, slow_start_budget(n), sent_at - started_at_};
  if (window.fraction() > worst_.fraction()) worst_ = window;
}

}  // namespace reeltack::test
