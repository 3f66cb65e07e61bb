#include "membership/watch_backoff.h"

#include <algorithm>

namespace reeltack::membership {
namespace {

constexpr unsigned kMaxDoublings = 8;

Duration doubled(Duration first, unsigned times, Duration maximum) {
  return std::min(first * (1U << std::min(times, kMaxDoublings)), maximum);
}

}  // namespace

void WatchBackoff::frame_received() { failures_ = 0; }
void WatchBackoff::failed() { ++failures_; }
void WatchBackoff::connect_timed_out() { ++connect_timeouts_; }
void WatchBackoff::connect_succeeded() { connect_timeouts_ = 0; }

Duration WatchBackoff::connect_timeout() const {
  return doubled(settings_.connect_timeout, connect_timeouts_, settings_.max_connect_timeout);
}

Duration WatchBackoff::pause(double uniform) const {
  const Duration maximum = doubled(settings_.pause, failures_ == 0 ? 0 : failures_ - 1, settings_.max_pause);
  const double fraction = 0.5 + 0.5 * std::clamp(uniform, 0.0, 1.0);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(maximum) *
                                              fraction);
}

}  // namespace reeltack::membership
