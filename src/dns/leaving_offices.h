// Offices that have left the zone and are listed as draining until they hold no calls.
//
// Decides when one of them can be removed from the list. Performs no I/O, reads no clock and holds no calls.
// Times are absolute and given by the caller. Deterministic. Not thread-safe: its owner calls it under the
// owner's lock. Costs O(log n) per office.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "reeltack/events.h"

namespace reeltack::dns {

// So long an office without calls stays listed: what it is still owed, such as releases, can reach it.
inline constexpr Duration kIdleBeforeRemoval = std::chrono::seconds(10);

class LeavingOffices {
 public:
  void left(ServerId office, Time at) { idle_since_.insert_or_assign(office, at); }
  void returned(ServerId office) { idle_since_.erase(office); }
  [[nodiscard]] bool empty() const { return idle_since_.empty(); }

  // `in_use`: the offices that hold calls or set-ups at `at`. Returns the offices that have held none for
  // kIdleBeforeRemoval, by id; they are no longer held here.
  std::vector<ServerId> take_idle(const std::set<ServerId>& in_use, Time at) {
    std::vector<ServerId> out;
    for (auto& [office, idle_since] : idle_since_) {
      if (in_use.contains(office)) idle_since = at;
      if (at - idle_since >= kIdleBeforeRemoval) out.push_back(office);
    }
    for (const ServerId office : out) idle_since_.erase(office);
    return out;
  }

 private:
  std::map<ServerId, Time> idle_since_;
};

}  // namespace reeltack::dns
