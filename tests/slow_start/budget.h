// The budget of a server in slow start, and an exact sliding-window account of what is sent to it.
//
// The rule: within `fall_span` a cold server gets at most N + 2 * sqrt(N) + 2 requests of mean work (N under
// 30: N + 3 * sqrt(N) + 3), N being fall_multiple x its present capacity x fall_span.
#pragma once

#include <deque>

#include "reeltack/settings.h"

namespace reeltack::test {

/// The part of its capacity that a server has at this age: from `cold_from` straight up to 1 over the ramp.
double warmth(const Settings& settings, Duration age);

/// What the rule allows for this N.
double slow_start_budget(double n);

/// A window that came closest to its budget, or went past it.
struct WorstWindow {
  double sent = 0.0;    // requests of mean work
  double budget = 0.0;  // allowed in that window
  Duration age{};       // of the server, at the last request of the window

  [[nodiscard]] double part() const { return budget > 0.0 ? sent / budget : 0.0; }
};

/// Counts the requests that one start of a server gets; at each request, the window that ends with it.
class WindowAccount {
 public:
  WindowAccount(const Settings& settings, double capacity_a_second, Time started)
      : settings_(settings), capacity_(capacity_a_second), started_(started) {}

  /// A request sent at this time, its work in units of the mean. Times never go backwards.
  void sent(Time at, double work);

  [[nodiscard]] const WorstWindow& worst() const { return worst_; }
  [[nodiscard]] double total() const { return total_; }

 private:
  struct Request {
    Time at{};
    double work = 0.0;
  };

  Settings settings_;
  double capacity_;
  Time started_;
  std::deque<Request> window_;
  double in_window_ = 0.0;
  double total_ = 0.0;
  WorstWindow worst_;
};

}  // namespace reeltack::test
