// How long the call to the disk that is under way has lasted, and whether that is to be reported.
//
// Owns: the call's beginning, and whether it has been reported. Must never: read a clock (times are passed
//   in). Threads: one at a time.
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
  // True once a call, when it has lasted longer than allowed.
  bool hangs(Time now) {
    if (!since_ || reported_ || now - *since_ < hanging_after_) return false;
    return reported_ = true;
  }
  // The call has returned: its duration where it had been reported.
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
  std::optional<Time> since_;  // none while no call is under way
  bool reported_ = false;
};

}  // namespace reeltack::store
