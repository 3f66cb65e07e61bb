// The events that a gateway reports to its Controller.
//
// Plain values, which the Controller copies. All times are on the gateway's clock. A field whose value the
// gateway does not know keeps its default.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "reeltack/settings.h"

namespace reeltack {

/// Identifies one run of a server process by its start: Unix time in milliseconds; 0: unknown. It
/// distinguishes two starts of a server and is not a Time. The Controller does not use it.
enum class StartId : std::uint64_t {};

enum class ServerState { gone, ready, draining };

struct ServerEntry {
  ServerId server{};
  std::uint32_t place = 0;  // number of the pool or exchange
  double capacity = 1.0;    // relative to other servers; no unit
  ServerState state = ServerState::ready;
  Time started_at{};  // the clock's epoch means long ago
  StartId start{};
};

/// Servers known to the gateway. A complete list replaces the previous one; other lists hold only the entries
/// that change.
struct ServerListReceived {
  bool complete = false;
  std::vector<ServerEntry> entries;
};

/// Requesting the list failed, or the subscription broke. The previous list stays in force.
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
  bool in_transit = false;      // may be sent to its destination only
  bool dropped_before = false;  // repeats an established call that was dropped
  CallerConnection connection{};
};

/// The set-up succeeded; no final answer is due any more.
struct CallEstablished {
  CallId call{};
  std::uint32_t attempt = 0;
  ServerId server{};
  Duration elapsed{};
};

enum class AttemptOutcome { ok, busy_or_error, full, timeout, connect_failed, reset, cancelled, not_sent };
/// Why a server answered that it is full.
enum class FullReason { unknown, no_lines, rejected, processor };

/// Load of a server as it reports it. A negative value or a NaN means that the value was not reported.
struct LoadReport {
  double free_lines = -1.0;
  double lines = -1.0;
  double wait_ms = -1.0;
  double hold_back = -1.0;
};

struct AttemptEnded {
  CallId call{};
  std::uint32_t attempt = 0;
  ServerId server{};
  AttemptOutcome outcome = AttemptOutcome::ok;
  bool call_ended = false;   // no final answer is due any more
  bool number_busy = false;  // with busy_or_error: all lines of the called number are in use
  FullReason reason = FullReason::unknown;
  Duration requested_wait{};  // with full: the server asks for no set-ups during this time
  Duration elapsed{};
  LoadReport report{};
};

struct CallerLeft {
  CallId call{};
};

struct TimerFired {
  TimerToken token{};
};

/// The answer to a probe, or an unrequested report of a change in free lines.
struct ServerReported {
  ServerId server{};
  bool ok = true;
  Duration elapsed{};
  LoadReport report{};
};

/// Limits on this gateway while several gateways recover together from an outage. Each event replaces all
/// earlier limits; until the first one there are none.
struct AdmissionLimitsReceived {
  /// By class: calls are refused at once, with the advice to retry after this time. 0, or no element for the
  /// class: the class is open.
  std::vector<Duration> retry_after_by_class;
  /// While the server is cold, this gateway sends it at most one set-up per interval.
  struct SendInterval {
    ServerId server{};
    Duration min_interval{};
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
