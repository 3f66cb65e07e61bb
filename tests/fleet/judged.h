// What a run of several controllers has shown, per controller: from the callers' attempts, the offices' log
// and the controllers' own logs. Reads only; what is good enough is up to the tests.
//
// A call's id is that of its attempt, so the offices' log shows which controller sent each set-up. Times are
// those of base::now(), which all processes of a machine share.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "load/plan/rules.h"
#include "load/player.h"

namespace reeltack::rig {

// A verdict from a controller's log. `was` is empty in the first verdict on an office.
struct VerdictLine {
  Time at{};
  std::uint32_t office = 0;
  std::string verdict, was;
  bool other_run = false;
};
std::vector<VerdictLine> verdicts(const std::string& log);

// When a controller first barred an office according to its log, if ever.
std::optional<Time> barred_at(const std::vector<VerdictLine>& lines, std::uint32_t office);

// The offices' log split by controller, in order of time. Events of no known attempt are in `unattributed`.
struct EventsByController {
  std::vector<std::vector<load::OfficeEvent>> of;  // by target
  std::vector<load::OfficeEvent> unattributed;
};
EventsByController split_events(const std::vector<load::OfficeEvent>& log,
                                const std::vector<load::TryRecord>& tries, std::size_t controllers);

// Applies the rules on attempts to one controller's part of the log, together with the drain events at the
// times at which that controller learned of them (`told`).
load::RulesChecker::Found rules_of(std::vector<load::OfficeEvent> events,
                                   const std::vector<load::OfficeEvent>& told);

// For one class at one controller since a given time: when the first attempt was sent and when the first call
// was established.
struct FirstAttempts {
  std::optional<Time> attempted_at, established_at;
  std::size_t refused = 0;  // attempts refused before the first established call
};
FirstAttempts first_results_of(const std::vector<load::TryRecord>& tries, std::size_t target,
                               std::uint32_t call_class, Time since);

// Offices that received set-ups in the given interval.
std::set<std::uint32_t> offices_used(const std::vector<load::OfficeEvent>& events, Time from,
                                     Time to = Time::max());

}  // namespace reeltack::rig
