// When the endpoints' processes started, on our own monotonic clock.
//
// Discovery names a start by its Unix time in milliseconds (StartId). That identifies the process; slow start
// needs the process's age. The age is derived once, when the start is first received, and the resulting Time
// is retained for that endpoint and start: neither a repeated report nor a step of the wall clock moves it.
//
// Our wall clock may be wrong, so each rule errs towards a young process, which gets a slow start, rather
// than towards an old one, which would get its full load cold.
//
// Offset. Two offsets of the wall clock (wall minus monotonic) are candidates, that at the program's start
// and the present one, since a step between them makes one of them wrong. The one that gives the smaller age
// counts; no age is negative.
//
// Lower bound. A start that discovery names cannot lie in discovery's future: the largest (start minus
// monotonic time on receipt) is a lower bound of the true offset. Without it, a wall clock an hour behind
// would make every process look newly started; with it, ages are relative to the youngest process. Only
// discovery's own starts count.
//
// New starts. A start newer than those known of its endpoint, or of an unknown endpoint, while discovery is
// followed: discovery has reported it within kMaxDiscoveryDelay, so its age is at most that plus the time
// since discovery was last known to be followed. Discovery's first list describes the time of the program's
// start, so from then on discovery counts as followed at that moment.
//
// Registrations. Discovery knows nothing of an endpoint that registers itself. Its newer start is no older
// than the time since the previous process was last reported, plus the same allowance for noticing that it
// had ended.
//
// Reads no clock and performs no I/O. Deterministic. Not thread-safe: its owner calls it under a lock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>

#include "clocks/wall_time.h"
#include "reeltack/events.h"

namespace reeltack::clocks {

// By the protocol, a change at discovery counts as reported after this time at the latest.
inline constexpr Duration kMaxDiscoveryDelay = std::chrono::seconds(7);
inline constexpr std::size_t kMaxEndpoints = 8192;       // whose starts are retained
inline constexpr std::size_t kMaxStartsPerEndpoint = 4;  // of one endpoint

class StartTimes {
 public:
  // `program_start`: read as the program starts.
  explicit StartTimes(const ClockReading& program_start) : program_start_(program_start) {}

  // Discovery is followed at `now` and has nothing newer that it has not reported.
  void mark_followed(Time now) { followed_at_ = now; }

  enum class Origin {
    discovery,    // its starts are of discovery's clock and bound the offset of ours
    controllers,  // other controllers of the fleet: what they know from discovery
    endpoint,     // the endpoint itself, by registering
  };
  // Sets `started_at` of each entry from its `start`; Time{} (long ago) where the start is unknown.
  void fill(Origin origin, const ClockReading& now, std::span<ServerEntry* const> entries);

  // For tests.
  [[nodiscard]] std::size_t endpoints() const { return known_.size(); }

 private:
  struct KnownEndpoint {
    std::map<StartId, Time> starts;
    std::optional<Time> registered_at;  // when it was last reported by itself
  };
  void bound_offset(const ClockReading& now, StartId start);
  [[nodiscard]] Duration age_by_wall(const ClockReading& now, StartId start) const;
  // The greatest possible age of a start that is newer than those known; nothing: unbounded.
  [[nodiscard]] std::optional<Duration> max_age(Origin origin, Time now, const KnownEndpoint& known) const;
  Time record_start(Origin origin, const ClockReading& now, const ServerEntry& entry);
  void forget_oldest();

  const ClockReading program_start_;
  std::optional<Duration>
      min_offset_;  // lower bound of the true offset, by the starts received from discovery
  std::optional<Time> followed_at_;
  std::map<ServerId, KnownEndpoint> known_;
};

}  // namespace reeltack::clocks
