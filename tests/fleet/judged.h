// What a run of several controllers has shown, told apart by controller: from the callers' tries, the
// offices' log and the controllers' own lines.
//
// Owns: the reading of these. Must never: decide what is good enough; tests do, by what is returned here.
//
// A call's id is its try's, so the offices' log says whose each set-up was. Times are of base::now(), which
// all processes of a machine share.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "load/plan/rules.h"
#include "load/player.h"

namespace reeltack::rig {

// A verdict as a controller's log tells it: `was` empty where it is the first that is told.
struct VerdictLine {
  Time at{};
  std::uint32_t office = 0;
  std::string verdict, was;
  bool other_run = false;
};
std::vector<VerdictLine> verdicts(const std::string& log);

// When a controller first barred an office, by its own lines; none: it never did.
std::optional<Time> barred_at(const std::vector<VerdictLine>& lines, std::uint32_t office);

// The offices' log by controller, in order of time. What belongs to none of the tries is under `nobody`.
struct EventsByController {
  std::vector<std::vector<load::OfficeEvent>> of;  // by target
  std::vector<load::OfficeEvent> nobody;
};
EventsByController split_events(const std::vector<load::OfficeEvent>& log,
                                const std::vector<load::TryRecord>& tries, std::size_t controllers);

// The rules of attempts over one controller's part of the log, with what it was told when.
load::RulesChecker::Found rules_of(std::vector<load::OfficeEvent> events,
                                   const std::vector<load::OfficeEvent>& told);

// Of one class at one controller, since an instant: when the first try left for it, and when the first stood.
struct FirstAttempts {
  std::optional<Time> attempted_at, established_at;
  std::size_t refused = 0;  // before the first that stood
};
FirstAttempts first_results_of(const std::vector<load::TryRecord>& tries, std::size_t target,
                               std::uint32_t call_class, Time since);

// Offices that were sent set-ups from an instant on.
std::set<std::uint32_t> offices_used(const std::vector<load::OfficeEvent>& events, Time from,
                                     Time to = Time::max());

}  // namespace reeltack::rig
