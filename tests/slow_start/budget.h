// The budget of a server in slow start, and an exact sliding-window account of the requests sent to it.
//
// The rule: within fall_span a cold server gets at most N + 2 * sqrt(N) + 2 requests of mean work, or, for N
// under 30, N + 3 * sqrt(N) + 3, where N is fall_multiple x its present capacity x fall_span.
#pragma once

#include <deque>

#include "reeltack/settings.h"

namespace reeltack::test {

/// The fraction of its capacity that a server has at this age; rises linearly from cold_from to 1 over the
/// ramp.
double warmth(const Settings& settings, Duration age);

/// The number of requests that the rule allows for this N.
double slow_start_budget(double n);

/// The window that came closest to its budget or exceeded it most.
struct WorstWindow {
  double sent = 0.0;    // requests of mean work
  double budget = 0.0;  // allowed in this window
  Duration age{};       // of the server, at the last request of the window

  [[nodiscard]] double fraction() const { return budget > 0.0 ? sent / budget : 0.0; }
};

/// Counts the requests that a server gets after one start, and evaluates the window that ends with each of
/// them.
class WindowAccount {
 public:
  WindowAccount(const Settings& settings, double capacity_per_second, Time started_at)
      : settings_(settings), capacity_(capacity_per_second), started_at_(started_at) {}

  /// Adds a request sent at this time; its work is in units of the mean. Times must not go backwards.
  void add(Time sent_at, double work);

  [[nodiscard]] const WorstWindow& worst() const { return worst_; }
  [[nodiscard]] double total() const { return total_; }

 private:
  struct Request {
    Time sent_at{};
    double work = 0.0;
  };

  Settings settings_;
  double capacity_;
  Time started_at_;
  std::deque<Request> window_;
  double in_window_ = 0.0;
  double total_ = 0.0;
  WorstWindow worst_;
};

}  // namespace reeltack::test
