#include "clocks/start_times.h"

#include <algorithm>

namespace reeltack::clocks {
namespace {

Duration offset_of(const ClockReading& at) {
  return at.wall.time_since_epoch() - at.steady.time_since_epoch();
}
Duration unix_time_of(StartId start) { return std::chrono::milliseconds(static_cast<std::int64_t>(start)); }

}  // namespace

void StartTimes::fill(Origin origin, const ClockReading& now, std::span<ServerEntry* const> entries) {
  // All bounds before any age is derived: the newest start bounds the ages of the others.
  if (origin == Origin::discovery)
    for (const ServerEntry* entry : entries) bound_offset(now, entry->start);
  for (ServerEntry* entry : entries)
    entry->started_at = entry->start == StartId{} ? Time{} : record_start(origin, now, *entry);
  // The first list describes the time of the program's start: what discovery names later has started since.
  if (origin == Origin::discovery && !followed_at_) followed_at_ = program_start_.steady;
}

void StartTimes::bound_offset(const ClockReading& now, StartId start) {
  const Duration bound = unix_time_of(start) - now.steady.time_since_epoch();
  min_offset_ = std::max(min_offset_.value_or(bound), bound);
}

Duration StartTimes::age_by_wall(const ClockReading& now, StartId start) const {
  Duration offset = std::min(offset_of(program_start_), offset_of(now));
  if (min_offset_) offset = std::max(offset, *min_offset_);
  return std::max(now.steady.time_since_epoch() + offset - unix_time_of(start), Duration{});
}

std::optional<Duration> StartTimes::max_age(Origin origin, Time now, const KnownEndpoint& known) const {
  const std::optional<Time>& since = origin == Origin::endpoint ? known.registered_at : followed_at_;
  return since ? std::optional(now - *since + kMaxDiscoveryDelay) : std::nullopt;
}

Time StartTimes::record_start(Origin origin, const ClockReading& now, const ServerEntry& entry) {
  KnownEndpoint& known = known_[entry.server];
  const bool newer = known.starts.empty() || known.starts.rbegin()->first < entry.start;
  const auto [at, fresh] = known.starts.try_emplace(entry.start);
  if (fresh) {
    Duration age = age_by_wall(now, entry.start);
    if (newer) age = std::min(age, max_age(origin, now.steady, known).value_or(age));
    at->second = std::max(now.steady - age, Time{});  // a start before the clock's epoch counts as long ago
  }
  const Time started = at->second;
  if (origin == Origin::endpoint) known.registered_at = now.steady;
  if (known.starts.size() > kMaxStartsPerEndpoint) known.starts.erase(known.starts.begin());
  if (known_.size() > kMaxEndpoints) forget_oldest();
  return started;
}

// Forgets the endpoint whose latest start is the oldest: if it is reported again, it is found to be old
// again.
void StartTimes::forget_oldest() {
  const auto oldest = std::min_element(known_.begin(), known_.end(), [](const auto& a, const auto& b) {
    return a.second.starts.rbegin()->second < b.second.starts.rbegin()->second;
  });
  known_.erase(oldest);
}

}  // namespace reeltack::clocks
