// Turns what the core observes of offices into evidence and load reports for the fleet: counted on the core's
// thread, collected on the link's. fleet/outcome_counters defines what is reported when. It does not judge
// offices.
//
// Threads: saw() by the core's only, where it costs a few loads and stores; the rest by the link's only. All
// times are steady ones, passed in by the caller.
#pragma once

#include <atomic>
#include <vector>

#include "core/core.h"
#include "fleet/outcome_counters/outcome_counters.h"
#include "fleet/service/counters.h"

namespace reeltack::fleet {

// Converts a list entry to the fleet's form: start in Unix milliseconds, address as a number.
recovery::Office office_of(const core::OfficeEntry& entry);
core::OfficeEntry entry_of(const recovery::Office& office, ServerState state);

class OfficeObservations {
 public:
  explicit OfficeObservations(MemberId self) : reporter_(self) {}
  // Counts one observation of the core. Returns true if collect() is due at once.
  bool saw(Time now, ServerId id, core::OfficeObserver::OfficeObservation observation);
  // Attributes later observations of the office's id to this run of the office.
  void track(const recovery::Office& office);
  void collect(Time now, std::vector<recovery::Event>& out);
  // When collect() is due. `opens`: the fleet has not reached the stage full.
  [[nodiscard]] Time next(bool opens) const;

 private:
  ObservationCounters counters_;
  std::atomic<bool> urgent_{false};
  outcome_counters::OutcomeReporter reporter_;
  std::vector<outcome_counters::Totals> totals_;  // as last read
};

}  // namespace reeltack::fleet
