// What the core saw of offices, as evidence and pressure for the fleet: counted on the core's side, collected
// on the link's (see fleet/sums for what is told when).
//
// Owns: the counters between the two threads, and the offices' names as the fleet speaks of them.
// Must never: judge an office, or let the core wait: what it does is a handful of loads and stores.
//
// Threads: saw() by the core's alone; the rest by the link's alone. Times are steady ones, told.
#pragma once

#include <atomic>
#include <vector>

#include "core/core.h"
#include "fleet/service/counters.h"
#include "fleet/sums/sums.h"

namespace reeltack::fleet {

// An office of the list as the fleet speaks of it: its start in Unix milliseconds, its address as a number.
recovery::Office office_of(const core::OfficeEntry& entry);
core::OfficeEntry entry_of(const recovery::Office& office, ServerState state);

class OfficeObservations {
 public:
  explicit OfficeObservations(MemberId self) : sums_(self) {}
  bool saw(Time now, ServerId id,
           core::OfficeObserver::OfficeObservation what);  // true: collect() is due at once
  void track(const recovery::Office& office);              // what is seen from now on is of this life of it
  void collect(Time now, std::vector<recovery::Event>& out);
  [[nodiscard]] Time next(bool opens) const;  // when collect() is due, while service opens or is full

 private:
  Counters counters_;
  std::atomic<bool> rang_{false};
  sums::OutcomeReporter sums_;
  std::vector<sums::Totals> totals_;  // as read last
};

}  // namespace reeltack::fleet
