// reeltack: what a gateway tells its Controller.
//
// Owns the types of events alone: plain values, which the Controller copies. What they mean for a call is not
// decided here. Times are the gateway's own; a field that was not told keeps the value that stands here.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "reeltack/settings.h"

namespace reeltack {

// Names a server's process by its start: Unix time in milliseconds, 0 where it was not told. Two starts of a
// server are told apart by it; it is no Time. The Controller does not use it.
enum class StartId : std::uint64_t {};

enum class ServerState { gone, ready, draining };

struct ServerEntry {
  ServerId server{};
  std::uint32_t place = 0;  // number of the pool or exchange
  double capacity = 1.0;    // to compare with others; no unit
  ServerState state = ServerState::ready;
  Time started_at{};  // clock's epoch: long ago
  StartId start{};
};

// The servers that the gateway is told of. A complete list replaces all; otherwise only the entries change.
struct ServerListReceived {
  bool complete = false;
  std::vector<ServerEntry> entries;
};

// Asking for the list failed or the subscription broke; the list held stays in force.
struct ServerListFailed {};

struct CallArrived {
  CallId call{};
  std::uint32_t call_class = 0;
  std::uint32_t tenant = 0;
  CalledNumber number{};
  Duration work_hint{};
  Time caller_leaves_at{};  // a final answer is due by then
  std::uint32_t destination = 0;
  bool redial = false;
  bool in_transit = false;      // may go to its destination only
  bool dropped_before = false;  // a standing call that was cut and comes again
};

struct CallEstablished {
  CallId call{};
  std::uint32_t attempt = 0;
  ServerId server{};
  Duration elapsed{};
};

enum class AttemptOutcome { ok, busy_or_error, full, timeout, connect_failed, reset, cancelled, not_sent };
enum class FullReason { unknown, no_lines, rejected, processor };

struct LoadReport {
  double free_lines = -1.0;  // negative or not a number: not told, here and below
  double lines = -1.0;
  double wait_ms = -1.0;
  double hold_back = -1.0;
};

struct AttemptEnded {
  CallId call{};
  std::uint32_t attempt = 0;
  ServerId server{};
  AttemptOutcome outcome = AttemptOutcome::ok;
  bool call_ended = false;   // no final answer is owed any more
  bool number_busy = false;  // with busy_or_error: all lines of the number called are taken
  FullReason reason = FullReason::unknown;
  Duration requested_wait{};  // with full: the server asks to be left alone for so long
  Duration elapsed{};
  LoadReport report{};
};

struct CallerLeft {
  CallId call{};
};

struct TimerFired {
  TimerToken token{};
};

// The answer to a probe, or (unasked) a change in free lines.
struct ServerReported {
  ServerId server{};
  bool ok = true;
  Duration elapsed{};
  LoadReport report{};
};

// What this gateway may do while several return together after a loss; whole each time. Without it: no
// bounds.
struct AdmissionLimitsReceived {
  std::vector<Duration>
      retry_after_by_class;  // by class: refused at once, to come back in so long; 0 or not there: open
  struct SendInterval {
    ServerId server{};
    Duration min_interval{};  // at least so long between two set-ups of this gateway while the server is cold
  };
  std::vector<SendInterval> send_intervals;
};

struct PeerMessageReceived {
  std::uint32_t gateway = 0;
  std::vector<std::uint8_t> bytes;
};

using Event =
    std::variant<ServerListReceived, ServerListFailed, CallArrived, CallEstablished, AttemptEnded, CallerLeft,
                 TimerFired, ServerReported, PeerMessageReceived, AdmissionLimitsReceived>;

}  // namespace reeltack
