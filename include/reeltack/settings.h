// The gateway's time, the identifiers of calls and servers, and the settings of a Controller.
//
// Plain values with their defaults, which the Controller copies; nothing is validated here.
// Units: durations are in nanoseconds, rates are per second, fractions are of 1.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace reeltack {

using Duration = std::chrono::nanoseconds;

/// The gateway's clock: steady, in nanoseconds from an arbitrary origin, unaffected by steps of the machine's
/// wall clock. It has no now(): the gateway passes the time to the Controller.
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
enum class CalledNumber : std::uint64_t {};  // 0: unknown
enum class TimerToken : std::uint64_t {};
/// A connection of callers. Connections of different numbers share the servers fairly.
enum class CallerConnection : std::uint64_t {};  // 0: unknown; such calls are bound by no share

/// Whether a call may be attempted again after an attempt that may have had an effect at a server.
enum class Effect { repeatable, by_key, once };
/// How servers are arranged: pools that classes may use, or a mesh of exchanges.
enum class Shape { pools, mesh };

struct ClassSettings {
  Duration aim{};            // target set-up time; a call set up within it earns its full worth
  Duration deadline{};       // how long a caller goes on trying
  double aim_stretch = 0.0;  // the aim grows by this multiple of the call's work hint
  double worth = 1.0;
  double late_worth = 0.0;  // fraction of the worth earned between aim and deadline
  Effect effect = Effect::repeatable;
  std::vector<std::uint32_t> places{};  // pools that the class may use; empty: any
};

struct TenantSettings {
  double quota_per_second = 0.0;  // over all gateways; 0: the tenant has no quota
};

struct Settings {
  std::uint32_t gateways = 1;  // number of gateways that share the servers
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1.0;  // fraction of the worth left to a call beyond its tenant's quota
  Shape shape = Shape::pools;
  std::int64_t own_place = -1;  // the gateway's own exchange in a mesh; -1: none
  bool redials_marked = false;  // whether CallArrived::redial is meaningful
  Duration tick{};              // minimum time between two batches of events
  Duration release_guard{};     // minimum time before a call is sent again after a time-out, reset or cancel
  double cold_from = 1.0;       // a newly started server begins at this fraction of its capacity ...
  Duration ramp{};              // ... and is warm after this time
  double fall_multiple = 0.0;   // a cold server that is sent more than this multiple of its present capacity
  Duration fall_span{};         // for this time fails under the overload; 0: no such rule
  std::uint32_t attempts_cap = 1;
  bool may_cancel = false;
  bool may_probe = false;
  bool may_tell_peers = false;
  bool may_advise_retry = false;
  Duration retry_advice_cap{};  // longest advice that a caller follows
  bool must_ask_for_list = false;
  Duration must_ask_in{};  // without a subscription, request the list at least this often
};

}  // namespace reeltack
