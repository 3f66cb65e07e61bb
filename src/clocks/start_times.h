// When the endpoints' processes started, on our own monotonic clock.
//
// Discovery names a start by its Unix time in milliseconds (StartId). That names the process; slow start
// needs the process's age. The age is derived once, when the start is first heard, and the Time that follows
// from it is kept for that endpoint and start: neither telling it again nor a step of the wall clock moves
// it.
//
// Our wall clock may be wrong, so each rule errs towards a young process, which is slowly started, rather
// than towards an old one, which would get its full load cold:
//   - Both the wall clock's offset (wall minus monotonic) at the program's start and the present one are
//   candidates:
//     a step between makes one of them wrong. The one that gives the smaller age counts; no age is below
//     zero.
//   - A start that discovery names can't lie in its future: the largest (start minus monotonic time on
//   receipt) is a
//     lower bound of the true offset. Else a wall clock that is an hour behind would have every process look
//     as just started; with it, ages are those relative to the youngest process. Only discovery's own starts
//     count for it.
//   - A start newer than the one known of that endpoint, or of an endpoint not known, while discovery is
//   followed:
//     discovery has told it within kMaxDiscoveryDelay, so that its age is that at the most, plus the time
//     since discovery was last known to be followed. The first list that it tells is that of the program's
//     start, so that from then on it counts as having been followed at that moment.
//   - Of an endpoint that registers itself discovery knows nothing. Its newer start is no older than the time
//   since
//     the process before was last told of, and the same allowance for noticing that it had ended.
//
// Owns: the starts heard and their times. Must never: read a clock, or do I/O.
// Threads: none; whoever owns it calls it under a lock. Equal inputs give equal outputs.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>

#include "clocks/wall_time.h"
#include "reeltack/events.h"

namespace reeltack::clocks {

// The protocol: what discovery has to tell counts as told so much later at the latest.
inline constexpr Duration kMaxDiscoveryDelay = std::chrono::seconds(7);
inline constexpr std::size_t kMaxEndpoints = 8192;       // whose starts are kept
inline constexpr std::size_t kMaxStartsPerEndpoint = 4;  // of one endpoint

class StartTimes {
 public:
  // `begun`: read as the program starts.
  explicit StartTimes(const Reading& begun) : begun_(begun) {}

  // Discovery is followed at `now`, and holds nothing newer that it has not told.
  void followed(Time now) { followed_ = now; }

  enum class From {
    discovery,    // its starts are of discovery's clock, and bound ours
    controllers,  // of the fleet: what they know from discovery
    endpoint,     // itself, by registering
  };
  // Fills in `started_at` of each entry from its `start`. One whose start is not told is from long ago:
  // Time{}.
  void fill(From from, const Reading& now, std::span<ServerEntry* const> entries);

  // For tests.
  [[nodiscard]] std::size_t endpoints() const { return known_.size(); }

 private:
  struct Known {
    std::map<StartId, Time> starts;
    std::optional<Time> registered;  // last told of by itself
  };
  void bound_offset(const Reading& now, StartId start);
  [[nodiscard]] Duration age_by_wall(const Reading& now, StartId start) const;
  // The most that the age of a start can be which is newer than what is known; none: anything.
  [[nodiscard]] std::optional<Duration> most_age(From from, Time now, const Known& known) const;
  Time keep(From from, const Reading& now, const ServerEntry& entry);
  void forget_oldest();

  const Reading begun_;
  std::optional<Duration> least_offset_;  // of the true wall clock, by the starts heard from discovery
  std::optional<Time> followed_;
  std::map<ServerId, Known> known_;
};

}  // namespace reeltack::clocks
