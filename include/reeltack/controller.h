// reeltack: the interface of the decision module.
//
// One Controller decides for one gateway. The gateway hands it events in the order in which they happen and
// carries out the actions that it appends, in their order, at once.
//
// Ownership: the Controller copies what it needs; events and settings may go out of scope after the call. The
//   sink belongs to the caller, is appended to and never read. Nothing is kept of it between calls.
// Clock: every event carries the gateway's own time, which must never go backwards. No clock is read.
// Randomness: from the seed alone. Equal settings, seed and events give equal actions.
// Threads: a Controller is used by one thread at a time; Controllers share nothing with each other.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace reeltack {

using Duration = std::chrono::nanoseconds;

// The gateway's clock: nanoseconds from a start of no meaning. It is told, never read.
struct GatewayClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<GatewayClock>;
  static constexpr bool is_steady = true;
};
using Time = GatewayClock::time_point;

enum class CallId : std::uint64_t {};
enum class ServerId : std::uint32_t {};
enum class NumberCalled : std::uint64_t {};  // 0: not told
enum class TimerToken : std::uint64_t {};

// ---------------------------------------------------------------- settings

enum class Effect { repeatable, by_key, once };
enum class Shape { pools, mesh };

struct ClassSettings {
  Duration aim{};            // wanted set-up time; full worth within it
  Duration deadline{};       // how long a caller goes on trying
  double aim_stretch = 0.0;  // the aim grows by this many times the call's own work
  double worth = 1.0;
  double late_worth = 0.0;  // part of the worth earned between aim and deadline
  Effect effect = Effect::repeatable;
  std::vector<std::uint32_t> places{};  // pools that the class may go to; empty: any
};

struct TenantSettings {
  double quota_per_second = 0.0;  // over all gateways; 0: no share is kept
};

struct Settings {
  std::uint32_t gateways = 1;  // how many gateways share the servers
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1.0;  // part of the worth left to a call beyond its tenant's share
  Shape shape = Shape::pools;
  std::int64_t own_place = -1;  // the gateway's own exchange in a mesh, -1: none
  bool redials_marked = false;
  Duration tick{};             // least time between two batches of events
  Duration release_guard{};    // no resend of a call sooner after a time-out, cut or cancelled attempt
  double cold_from = 1.0;      // a new processor starts at this part of its capacity
  Duration ramp{};             // and is warm after this
  double fall_multiple = 0.0;  // sent more than this many times its present capacity ...
  Duration fall_span{};        // ... for so long, a cold server falls over; 0: no such rule
  std::uint32_t attempts_cap = 1;
  bool may_cancel = false;
  bool may_probe = false;
  bool may_tell_peers = false;
  bool may_advise_retry = false;
  Duration retry_advice_cap{};  // the longest advice that a caller heeds
  bool must_ask_for_list = false;
  Duration must_ask_in{};  // without subscription, ask at least this often
};

// ---------------------------------------------------------------- events

enum class ServerState { gone, ready, draining };

struct ServerEntry {
  ServerId server{};
  std::uint32_t place = 0;  // number of the pool or exchange
  double capacity = 1.0;    // to compare with others; no unit
  ServerState state = ServerState::ready;
  Time started_at{};  // clock's epoch: long ago
};

// The servers that the gateway is told of. A complete list replaces all; otherwise only the entries change.
struct ListTold {
  bool complete = false;
  std::vector<ServerEntry> entries;
};

// Asking for the list failed or the subscription broke; the list held stays in force.
struct ListFailed {};

struct CallArrived {
  CallId call{};
  std::uint32_t call_class = 0;
  std::uint32_t tenant = 0;
  NumberCalled number{};
  Duration work_hint{};
  Time caller_leaves{};  // a final answer is due by then
  std::uint32_t destination = 0;
  bool redial = false;
  bool in_transit = false;  // may go to its destination only
  bool cut_before = false;  // a standing call that was cut and comes again
};

struct CallStands {
  CallId call{};
  std::uint32_t attempt = 0;
  ServerId server{};
  Duration elapsed{};
};

enum class Ending { ok, busy_or_error, full, timeout, connect_failed, reset, cancelled, not_sent };
enum class FullReason { unknown, no_lines, turned_back, processor };

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
  Ending ending = Ending::ok;
  bool call_over = false;    // no final answer is owed any more
  bool number_busy = false;  // with busy_or_error: all lines of the number called are taken
  FullReason reason = FullReason::unknown;
  Duration told_wait{};  // with full: the server asks to be left alone for so long
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

struct PeerSaid {
  std::uint32_t gateway = 0;
  std::vector<std::uint8_t> bytes;
};

using Event = std::variant<ListTold, ListFailed, CallArrived, CallStands, AttemptEnded, CallerLeft,
                           TimerFired, ServerReported, PeerSaid>;

// ---------------------------------------------------------------- actions

// Start a set-up of the call at the server; abandon it at give_up. Attempts count from 0 in sending order.
struct SendSetUp {
  CallId call{};
  ServerId server{};
  Time give_up{};
};
// Final answer: not taken. The caller may dial again, after retry_after if it heeds that (0: no advice).
struct Refuse {
  CallId call{};
  Duration retry_after{};
};
// Final answer: tried in vain; the call may have had an effect.
struct Fail {
  CallId call{};
};
// Stop waiting for an attempt; its AttemptEnded still follows.
struct CancelAttempt {
  CallId call{};
  std::uint32_t attempt = 0;
};
// Hand back TimerFired at that time or soon after. Timers are not taken back.
struct SetTimer {
  Time at{};
  TimerToken token{};
};
// Check a server; ServerReported follows.
struct ProbeServer {
  ServerId server{};
};
struct CloseIdleConnections {
  ServerId server{};
};
struct TellPeers {
  std::vector<std::uint8_t> bytes;
};
struct SubscribeToList {
  bool on = true;
};
struct FetchList {};
// A line for the gateway's log, for on-call staff.
struct LogLine {
  std::string text;
};

using Action = std::variant<SendSetUp, Refuse, Fail, CancelAttempt, SetTimer, ProbeServer,
                            CloseIdleConnections, TellPeers, SubscribeToList, FetchList, LogLine>;
using ActionSink = std::vector<Action>;

// ---------------------------------------------------------------- the controller

class Controller {
 public:
  Controller(const Settings& settings, std::uint64_t seed);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Take all that came since the last turn, in its order, and append what is to be done about it. What is
  // handed in together is decided on together: a gateway that stood still should hand in everything it finds
  // at once.
  void on(Time now, std::span<const Event> events, ActionSink& actions);
  // The same for a single event.
  void on(Time now, const Event& event, ActionSink& actions);

  // Calls that still wait for an answer of this gateway, sent or not; for supervision and tests.
  [[nodiscard]] std::size_t open_calls() const;

 private:
  class Policy;
  std::unique_ptr<Policy> policy_;
};

}  // namespace reeltack
