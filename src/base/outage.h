// How long something has been failing, and when that is to be reported: once at its beginning, again while it
// lasts, and once at its end.
//
// Owns: the beginning and the time of the next reminder. Must never: read a clock (times are passed in).
// Threads: one at a time.
#pragma once

#include <algorithm>
#include <chrono>

namespace reeltack::base {

class Outage {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Span = std::chrono::steady_clock::duration;
  enum class Report { nothing, begun, lasting };

  // Reminders come after `first`, then after twice as long each time, at most `most` apart.
  Outage(Span first, Span most) : first_(first), most_(most) {}

  Report failed(Time now) {
    ++failures_;
    if (failures_ == 1) {
      since_ = now;
      wait_ = first_;
      remind_at_ = now + wait_;
      return Report::begun;
    }
    if (now < remind_at_) return Report::nothing;
    wait_ = std::min(wait_ * 2, most_);
    remind_at_ = now + wait_;
    return Report::lasting;
  }
  void ended() { failures_ = 0; }

  [[nodiscard]] bool on() const { return failures_ > 0; }
  [[nodiscard]] unsigned failures() const { return failures_; }  // since the beginning of this one
  [[nodiscard]] Span lasted(Time now) const { return on() ? now - since_ : Span{}; }

 private:
  Span first_, most_, wait_{};
  Time since_{}, remind_at_{};
  unsigned failures_ = 0;
};

}  // namespace reeltack::base
