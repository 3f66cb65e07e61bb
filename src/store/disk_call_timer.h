// Measures the duration of the disk call in progress and decides whether to report it as hanging. Reads
// no clock: times are passed in. Not thread-safe; the caller synchronizes.
#pragma once

#include <chrono>
#include <optional>

namespace reeltack::store {

class DiskCallTimer {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Span = std::chrono::steady_clock::duration;
  explicit DiskCallTimer(Span hang_threshold) : hanging_after_(hang_threshold) {}

  void begin(Time now) {
    since_ = now;
    reported_ = false;
  }
  // True once per call, when it has taken at least `hang_threshold`.
  bool hangs(Time now) {
    if (!since_ || reported_ || now - *since_ < hanging_after_) return false;
    return reported_ = true;
  }
  // Ends the call. Returns its duration if it had been reported as hanging.
  std::optional<Span> end(Time now) {
    const Span span = lasted(now);
    since_.reset();
    if (!reported_) return std::nullopt;
    reported_ = false;
    return span;
  }
  [[nodiscard]] bool under_way() const { return since_.has_value(); }
  [[nodiscard]] bool reported() const { return reported_; }
  [[nodiscard]] Span lasted(Time now) const { return since_ ? now - *since_ : Span{}; }

 private:
  const Span hanging_after_;
  std::optional<Time> since_;  // empty while no call is in progress
  bool reported_ = false;
};

}  // namespace reeltack::store
