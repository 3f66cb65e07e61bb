// The listed offices, their latest entries, and which of them get no new calls.
//
// Holds the entries of the list in force and whether each office is reachable, and reports at which offices
// established calls have ended because the office has gone, is missing from a complete list or has restarted.
// An office that has gone is not retained.
//
// Reads no clock: a restart shows by a later `start`. Deterministic; results are in the order of the offices'
// ids. A change costs O(log n) per entry, a complete list O(n log n) of the offices held and listed. Not
// thread-safe: its owner calls it from one thread.
#pragma once

#include <map>
#include <span>

#include "reeltack/controller.h"

namespace reeltack::membership {

class Roster {
 public:
  // Which of an office's established calls have ended.
  enum class Ended {
    all_calls,            // the office has gone or is missing from a complete list
    calls_before_restart  // it has restarted: its start is later than reported before
  };
  // Applies a complete list or changes to it. Returns the offices at which established calls end with it.
  std::map<ServerId, Ended> update(bool complete, std::span<const ServerEntry> entries);
  // Records the result of dialling; ignored for offices that are not listed. A connection that fails without
  // having been up before counts too: calls for the office would come back unsent. True: the office's
  // reachability has changed.
  bool set_reachable(ServerId office, bool up);

  [[nodiscard]] bool contains(ServerId office) const { return members_.contains(office); }
  [[nodiscard]] bool ready(ServerId office) const;  // listed as ready, even if unreachable
  [[nodiscard]] std::size_t size() const { return members_.size(); }
  // The number of listed offices that get no new calls: draining or unreachable.
  [[nodiscard]] std::size_t unavailable() const;
  // Throws std::logic_error if an invariant does not hold; tests call it after each step.
  void check_invariants() const;

 private:
  struct Member {
    ServerEntry entry;
    bool unreachable = false;
  };
  std::map<ServerId, Member> members_;
};

}  // namespace reeltack::membership
