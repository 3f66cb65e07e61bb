// What the core and its neighbours tell each other: the requests and results of frontends, the attempts and
// releases of office backends, and what is observed of offices.
//
// Plain data and interfaces; holds no state and decides nothing.
#pragma once

#include <limits>
#include <string>
#include <vector>

#include "limits/memory_shares.h"
#include "reeltack/controller.h"

namespace reeltack::core {

inline constexpr int kNormalClearing = 16;    // Q.850 cause: cancelled or released normally
inline constexpr int kTemporaryFailure = 41;  // Q.850 cause: dropped

// Why a request failed; each frontend maps these to its own protocol.
enum class FailureReason {
  none,
  refused,
  attempts_failed,
  deadline_passed,
  duplicate,
  unknown_class,
  cancelled
};

// Receives the results of a frontend's calls on the core's thread; must not block.
class CallerFrontend {
 public:
  virtual ~CallerFrontend() = default;
  // False: the answer cannot be delivered to the caller.
  virtual bool established(CallId call, const std::string& description) = 0;
  virtual void rejected(CallId call, FailureReason reason, Duration retry_after) = 0;
  virtual void released(CallId call, int cause) = 0;
  virtual void ended(CallId call) = 0;  // released by its caller: its state can be discarded
  // False: the caller of an open call has left, which the frontend has not reported yet. Queried before an
  // attempt for a call that has been queued.
  virtual bool still_waiting(CallId /*call*/) { return true; }
};

// The connections to an office, numbered from 1 as they came up; 0: the backend does not tell them apart.
enum class ConnectionNumber : std::uint64_t {};
inline constexpr ConnectionNumber kAnyConnection{std::numeric_limits<std::uint64_t>::max()};

struct SetUp {
  CallId call{};
  std::uint32_t attempt = 0;
  ServerId office{};
  Time expires_at{};
  std::uint32_t call_class = 0;
  CalledNumber number{};
  std::string description;
};
struct OfficeEntry {
  ServerEntry entry;
  std::string address;
};

// Carries actions to offices; must not block. `listed` is called on the thread that received the list.
class OfficeBackend {
 public:
  virtual ~OfficeBackend() = default;
  virtual void listed(bool complete, const std::vector<OfficeEntry>& offices) = 0;
  virtual void start(const SetUp& set_up) = 0;
  virtual void cancel(ServerId office, CallId call, std::uint32_t attempt) = 0;
  virtual void release(ServerId office, CallId call) = 0;
  virtual void keep_connection(ServerId office, bool calls_established) = 0;
  // The earliest of the connections on which the office answered calls that are still established. Called
  // when it changes.
  virtual void earliest_connection_changed(ServerId /*office*/, ConnectionNumber /*earliest*/) {}
  // The latest connection to a process before the one that the list names now: calls answered on later ones
  // are established at the listed process. Queried after listed() has reported that the office has restarted.
  [[nodiscard]] virtual ConnectionNumber last_before_restart(ServerId /*office*/) { return kAnyConnection; }
};

// Receives what attempts and dialling show about offices, on the core's thread; must not block.
class OfficeObserver {
 public:
  // `refused`: rejected by a live office.
  enum class OfficeObservation { answered, refused, broke, silent, unreachable };
  virtual ~OfficeObserver() = default;
  virtual void observed(ServerId office, OfficeObservation what) = 0;
};

struct Request {
  CallArrived arrival;      // with the absolute deadline
  bool class_known = true;  // false: the core rejects the request
  std::string description;
  CallerFrontend* frontend = nullptr;
  limits::MemoryShares::Owner source{};  // the connection on which it came; 0: none of its own
  std::size_t held_bytes = 0;            // of the memory for requests; set by the core
};

// An office's message that ends an attempt or an established call.
struct OfficeRelease {
  ServerId office{};
  CallId call{};
  int cause = 0;
  std::string note;
  LoadReport report;
  ConnectionNumber connection{};  // on which it came
};

enum class Phase { unknown, open, established, refused, failed, cancelled, ended };
struct Status {  // of a call, for status queries
  Phase phase = Phase::unknown;
  FailureReason reason = FailureReason::none;
  std::string description;
  CallerFrontend* frontend = nullptr;
};

}  // namespace reeltack::core
