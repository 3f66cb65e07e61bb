#include "clocks/start_times.h"

#include <algorithm>

namespace reeltack::clocks {
namespace {

Duration offset_of(const Reading& at) { return at.wall.time_since_epoch() - at.steady.time_since_epoch(); }
Duration unix_of(StartId start) { return std::chrono::milliseconds(static_cast<std::int64_t>(start)); }

}  // namespace

void StartTimes::fill(From from, const Reading& now, std::span<ServerEntry* const> entries) {
  // All of them before any age is derived: the newest start bounds the ages of the others.
  if (from == From::discovery)
    for (const ServerEntry* entry : entries) bound_offset(now, entry->start);
  for (ServerEntry* entry : entries)
    entry->started_at = entry->start == StartId{} ? Time{} : keep(from, now, *entry);
  // The first list is that of the program's start: what discovery names later has started since.
  if (from == From::discovery && !followed_) followed_ = begun_.steady;
}

void StartTimes::bound_offset(const Reading& now, StartId start) {
  const Duration bound = unix_of(start) - now.steady.time_since_epoch();
  least_offset_ = std::max(least_offset_.value_or(bound), bound);
}

Duration StartTimes::age_by_wall(const Reading& now, StartId start) const {
  Duration offset = std::min(offset_of(begun_), offset_of(now));
  if (least_offset_) offset = std::max(offset, *least_offset_);
  return std::max(now.steady.time_since_epoch() + offset - unix_of(start), Duration{});
}

std::optional<Duration> StartTimes::most_age(From from, Time now, const Known& known) const {
  const std::optional<Time>& since = from == From::endpoint ? known.registered : followed_;
  return since ? std::optional(now - *since + kMaxDiscoveryDelay) : std::nullopt;
}

Time StartTimes::keep(From from, const Reading& now, const ServerEntry& entry) {
  Known& known = known_[entry.server];
  const bool newer = known.starts.empty() || known.starts.rbegin()->first < entry.start;
  const auto [at, fresh] = known.starts.try_emplace(entry.start);
  if (fresh) {
    Duration age = age_by_wall(now, entry.start);
    if (newer) age = std::min(age, most_age(from, now.steady, known).value_or(age));
    at->second = std::max(now.steady - age, Time{});  // older than the clock reaches back: from long ago
  }
  const Time started = at->second;
  if (from == From::endpoint) known.registered = now.steady;
  if (known.starts.size() > kMaxStartsPerEndpoint) known.starts.erase(known.starts.begin());
  if (known_.size() > kMaxEndpoints) forget_oldest();
  return started;
}

// The endpoint whose last start is the longest ago: heard again, it is found to be old again.
void StartTimes::forget_oldest() {
  const auto oldest = std::min_element(known_.begin(), known_.end(), [](const auto& a, const auto& b) {
    return a.second.starts.rbegin()->second < b.second.starts.rbegin()->second;
  });
  known_.erase(oldest);
}

}  // namespace reeltack::clocks
