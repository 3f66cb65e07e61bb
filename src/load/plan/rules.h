// The rules of attempts, checked from the centrales' side of a run.
//
// Owns: what the centrales' logs must show: one attempt of a call out at a time, five in all, 300 ms of
// release,
//   nothing new to a drained or gone office, and the calls that stand.
// Must never: do I/O, or judge anything but what it was told.
//
// Events come in the order of their times. Threads: one at a time.
#pragma once

#include <cstdint>
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
  Time at{};
  What what{};
  std::uint32_t office = 0;
  std::uint64_t call = 0;
  std::uint64_t from = 0;  // which controller's connection; 0: not known
  int cause = 0;
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
    std::uint32_t most_attempts = 0;
    std::vector<std::string> samples;
    [[nodiscard]] std::uint64_t total() const { return two_out + too_many + too_soon + after_drain; }
  };
  [[nodiscard]] const Found& found() const { return found_; }

 private:
  struct Out {
    std::uint32_t office = 0;
    Time since{};
    Time overlapped{};  // since when another was out beside it; 0: never
  };
  struct Call {
    std::uint32_t attempts = 0;
    std::vector<Out> out;
    Time released{};  // when the last attempt ended without the office's word
    bool guarded = false;
  };
  void end(const OfficeEvent& event, bool guards);
  void breach(std::uint64_t Found::*which, const OfficeEvent& event, const std::string& words);
  const Rules rules_;
  Found found_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::unordered_map<std::uint32_t, Time> closed_;  // draining or gone, since
};

}  // namespace reeltack::load
