// The rules of attempts, checked from the centrales' side of a run.
//
// Owns: what the centrales' logs must show: one attempt of a call out at a time, five in all, 300 ms of
// release,
//   nothing new to a drained or gone office, and the calls that stand.
// Must never: do I/O, or judge anything but what it was told.
//
// Events come in the order of their times. Where a time is not known exactly, a rule counts as broken only if
// it was whatever the time; what cannot be told is counted as unsure. Threads: one at a time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "reeltack/controller.h"

namespace reeltack::load {

struct OfficeEvent {
  enum class What {
    set_up,    // came whole to the office
    answered,  // the office wrote its answer
    ended,     // the office wrote the end of a set-up (full, error) or of a call
    given_up,  // the controller gave it up, or cut the call
    broken,    // the connection broke under the set-up
    in_service,
    draining,
    gone,  // the controller was told so
  };
  Time at{};  // at the latest
  What what{};
  std::uint32_t office = 0;
  std::uint64_t call = 0;
  std::uint64_t from = 0;  // which controller's connection; 0: not known
  int cause = 0;
  // At the earliest: a message may have come long before a busy machine read it. None: at `at` itself.
  std::optional<Time> earliest{};
  [[nodiscard]] Time no_earlier_than() const { return earliest.value_or(at); }
};
const char* name_of(OfficeEvent::What what);

struct Rules {
  std::uint32_t attempts = 5;
  Duration release = std::chrono::milliseconds(300);
  Duration drain = std::chrono::milliseconds(250);
  Duration grace = std::chrono::milliseconds(50);  // on sockets, each time limit is so much longer
};

class RulesChecker {
 public:
  explicit RulesChecker(Rules rules = {}) : rules_(rules) {}
  void take(const OfficeEvent& event);
  void finish();  // what still overlaps at the end does so for good

  struct Found {
    std::uint64_t set_ups = 0;
    std::uint64_t stood = 0;
    std::uint64_t two_out = 0;
    std::uint64_t too_many = 0;
    std::uint64_t too_soon = 0;  // within the release guard
    std::uint64_t after_drain = 0;
    std::uint64_t unsure = 0;  // may have broken a rule or not: their times are not known well enough
    std::uint32_t most_attempts = 0;
    std::vector<std::string> samples;
    [[nodiscard]] std::uint64_t total() const { return two_out + too_many + too_soon + after_drain; }
  };
  [[nodiscard]] const Found& found() const { return found_; }

 private:
  struct Out {
    std::uint32_t office = 0;
    std::optional<OfficeEvent> overlapped;  // the set-up that came while this one was out
  };
  struct Call {
    std::uint32_t attempts = 0;
    std::vector<Out> out;
    std::optional<OfficeEvent> released;  // the end of the last attempt, where the guard follows it
  };
  void guard(const Call& call, const OfficeEvent& event);
  void drained(const OfficeEvent& event);
  void end(const OfficeEvent& event, bool guards);
  // Whether `later` came more than `limit` after `earlier`.
  enum class Apart { no, unsure, yes };
  static Apart apart(const OfficeEvent& earlier, const OfficeEvent& later, Duration limit);
  void breach(std::uint64_t Found::*which, const OfficeEvent& event, const std::string& words);
  const Rules rules_;
  Found found_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::unordered_map<std::uint32_t, OfficeEvent> closed_;  // draining or gone, by which event
};

}  // namespace reeltack::load
