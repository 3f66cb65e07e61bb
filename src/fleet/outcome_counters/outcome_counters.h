// Outcome counters: decides when the outcomes that the core counted per office are reported to recovery.
//
// The core's side counts outcomes into totals that only grow. The reader reports the difference to the totals
// it read before, so that each outcome is reported exactly once, however often the totals are read. If the
// reader collects at next() and whenever an UrgencyTrigger fires, the delay from an outcome to its report is
// at most:
//   none                  the first outcome of an office, and each change between reachable and not reachable
//   kFastReportInterval   a further change of the same office within kFastReportInterval of such a change,
//                         and all other outcomes while service opens: opening is controlled by load in steps
//                         of 100 ms
//   kSlowReportInterval   all other outcomes in full service, where load changes nothing and rates are
//   learned
//                         once a second
//
// An office is tracked together with its process lifetime (start and address): outcomes counted before
// track() belong to an earlier lifetime and are not reported.
//
// No I/O and no clock. Not thread-safe: UrgencyTrigger and effect_of() are for the core's thread,
// OutcomeReporter for the reader's. Deterministic and copyable. Memory: one entry per office, at most
// kMaxOffices.
#pragma once

#include <map>
#include <span>
#include <vector>

#include "fleet/recovery/recovery_types.h"

namespace reeltack::fleet::outcome_counters {

inline constexpr Duration kFastReportInterval = std::chrono::milliseconds(100);
inline constexpr Duration kSlowReportInterval = std::chrono::seconds(1);
inline constexpr std::size_t kMaxOffices = 4096;

// refused: the office is reachable and rejected the set-up. broke: one connection broke; the next attempt
// shows whether the office is reachable.
enum class Outcome : std::uint8_t { answered, refused, broke, silent, unreachable };
// What an outcome shows about the office; refusing: it refuses connections.
enum class Liveness : std::uint8_t { unknown, answering, refusing, silent };

// What one outcome adds to the totals.
struct Effect {
  std::uint32_t established = 0, refused = 0, failed = 0;
  Liveness liveness = Liveness::unknown;
};
constexpr Effect effect_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::answered:
      return {1, 0, 0, Liveness::answering};
    case Outcome::refused:
      return {0, 1, 0, Liveness::answering};
    case Outcome::broke:
      return {0, 0, 1, Liveness::unknown};
    case Outcome::silent:
      return {0, 0, 1, Liveness::silent};
    case Outcome::unreachable:
      return {0, 0, 0, Liveness::refusing};
  }
  return {};
}

// Totals of one office since its first outcome. The counters only grow and wrap to 0 after 2^32 - 1.
struct Totals {
  ServerId office{};
  std::uint32_t established = 0, refused = 0, failed = 0;
  Liveness liveness = Liveness::unknown;  // as shown last
  Time at{};                              // time of that observation
};

// Decides on the core's side, for one office, whether an observation must be reported at once.
class UrgencyTrigger {
 public:
  bool fires(Time now, Liveness observed);

 private:
  Liveness last_ = Liveness::unknown;
  Time fired_at_ = Time::min();
};

// Reports the growth of the totals as events for recovery.
class OutcomeReporter {
 public:
  explicit OutcomeReporter(MemberId self) : self_(self) {}
  // Whether the office is tracked in this process lifetime.
  [[nodiscard]] bool is_tracked(const recovery::Office& office) const;
  // Counts what follows `until_now` for this process lifetime of the office.
  void track(const recovery::Office& office, const Totals& until_now);
  // Appends the events that are due. `urgent`: an UrgencyTrigger has fired since the last call.
  void collect(Time now, bool urgent, std::span<const Totals> totals, std::vector<recovery::Event>& out);
  // When collect() is due next; `opens`: service is not full yet.
  [[nodiscard]] Time next(bool opens) const;
  // Throws std::logic_error if more was reported than is counted in `totals`, or a bound does not hold.
  void check(std::span<const Totals> totals) const;

 private:
  struct Entry {
    recovery::Office office;
    Totals last_read;
    Liveness reported{};           // the last liveness reported
    Time reported_at{};            // time of that report
    Time rate_from = Time::min();  // start of the span over which the rate is measured
    std::uint32_t rate_base = 0;   // established calls at `rate_from`
    double reported_rate = 0.0;    // the last rate reported, established set-ups per second
  };
  void report(Time now, Entry& entry, const Totals& totals, std::vector<recovery::Event>& out) const;
  MemberId self_;
  std::map<ServerId, Entry> entries_;
  Time collected_ = Time::min();
  Time fast_until_ = Time::min();  // after a trigger the fast interval applies until then, in every stage
};

}  // namespace reeltack::fleet::outcome_counters
