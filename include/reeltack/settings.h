// reeltack: the gateway's time, the names of calls and servers, and what a Controller is set to at its start.
//
// Owns the types and their defaults: plain values, which the Controller copies. Reads and checks nothing.
// Units: durations are nanoseconds, rates are per second, parts are of 1.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace reeltack {

using Duration = std::chrono::nanoseconds;

// The gateway's clock, which is steady: nanoseconds from a start of no meaning, that no step of the machine's
// wall clock moves. It is told, never read.
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
enum class CalledNumber : std::uint64_t {};  // 0: not told
enum class TimerToken : std::uint64_t {};

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

}  // namespace reeltack
