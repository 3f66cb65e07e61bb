#include "membership/watch_pacing.h"

#include <algorithm>

namespace reeltack::membership {
namespace {

constexpr unsigned kMostDoublings = 8;

Duration doubled(Duration first, unsigned times, Duration most) {
  return std::min(first * (1U << std::min(times, kMostDoublings)), most);
}

}  // namespace

void WatchBackoff::heard() { failures_ = 0; }
void WatchBackoff::failed() { ++failures_; }
void WatchBackoff::connect_timed_out() { ++late_; }
void WatchBackoff::connect_succeeded() { late_ = 0; }

Duration WatchBackoff::connect_timeout() const {
  return doubled(settings_.connect, late_, settings_.max_connect_timeout);
}

Duration WatchBackoff::pause(double uniform) const {
  const Duration most = doubled(settings_.pause, failures_ == 0 ? 0 : failures_ - 1, settings_.max_pause);
  const double part = 0.5 + 0.5 * std::clamp(uniform, 0.0, 1.0);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(most) * part);
}

}  // namespace reeltack::membership
