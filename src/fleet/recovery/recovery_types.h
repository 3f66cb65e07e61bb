// The interface types of recovery: stages, settings, events and actions. Plain values without state.
//
// Times are those of the caller's steady clock. Rates are in set-ups per second. The age of an observation in
// a fact is the age of the fact plus the age stated in it.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fleet/facts/facts.h"
#include "fleet/recovery/leases.h"
#include "fleet/recovery/offices.h"

namespace reeltack::fleet::recovery {

enum class Stage : std::uint8_t { dark, restored, asking, probation, partial, full };

struct RecoverySettings {
  EvidenceSettings offices;
  LeaseSettings leases;
  Duration max_asking = std::chrono::milliseconds(700);
  Duration max_probation = std::chrono::seconds(10);
  Duration max_partial = std::chrono::seconds(30);
  Duration loss_window = std::chrono::seconds(5);
  Duration min_opening_time = std::chrono::seconds(1);  // from 0 to 1 while no office is saturated
  Duration fresh = std::chrono::seconds(15);            // a store of at most this age: an ordinary restart
  double enough = 0.5;                                  // of the listed capacity
  double too_little = 0.25;
  // The opening pauses from this utilisation on, and where 1 - saturation of the answers are refusals.
  double saturation = 0.9;
  double cold_fraction = 0.7;  // of a cold office's configured budget, for all controllers together
  double cold_from = 1.0, fall_multiple = 0.0;  // from the settings
  Duration ramp{}, fall_span{};
  std::vector<double> class_worth;  // by class; the higher opens first, at equal worth the shorter aim
  std::vector<Duration> class_aim;
};

// ---- what was read from the store; an age is absent where unknown, in the future, or of another fleet
struct PersistedState {
  std::optional<Duration> age;  // of the stage: the true one, never by a wall clock
  bool other_fleet = false;
  std::uint64_t list_epoch = 0, list_number = 0;
  std::vector<Evidence> offices;     // rank stored
  std::map<ServerId, double> rates;  // that the office carried for all members, warm
  std::size_t agreed = 1, largest = 1;
  Stage stage = Stage::dark;
  bool served = true;  // service was full in an earlier run of the process
};

// ---- events
struct Restored {
  std::optional<PersistedState> state;
};
struct LinkUp {};              // the fleet can be asked; never sent where there is no fleet
struct MembersChanged {        // after every change of the membership table
  std::vector<MemberId> live;  // including this member
  std::size_t known = 1;       // all that have not left, including dead ones
  // Of `live`, in its order; empty where unknown. A report from an earlier incarnation no longer counts.
  std::vector<Incarnation> incarnations = {};
};
// A new or changed fact of another member.
struct FactReceived {
  facts::Fact fact;
};
struct MemberRemoved {
  MemberId member{};
};
struct ExchangeStarted {  // by another member
  MemberId member{};
  Incarnation incarnation = 0;  // as the member states it
};
struct ListReceived {        // from the bulletin, or from the configuration
  std::uint64_t number = 0;  // of the last event in it
  bool complete = false;
  std::vector<Evidence> offices;  // rank listed
  bool live = true;               // false: from the configuration, which no source keeps up to date
  std::uint64_t restarts = 0;     // of the source, observed since the process began: its numbers decreased
};
struct ListCaughtUp {};       // the source has delivered everything that it has
struct SourceUnreachable {};  // the bulletin cannot be reached: its list ages
// Rank own: an answer, a refused connection, silence.
struct OfficeObserved {
  Evidence evidence;
};
struct OfficeLoad {  // of one office since the previous event, by its reports and answers
  ServerId office{};
  double util = -1.0;  // reported utilisation; negative: not reported
  std::uint32_t established = 0, refused = 0, failed = 0;
};
struct CarriedRate {  // what the office carries for this member now: established set-ups
  ServerId office{};
  double per_second = 0.0;
};
using Event =
    std::variant<Restored, LinkUp, MembersChanged, FactReceived, MemberRemoved, ListReceived, ListCaughtUp,
                 SourceUnreachable, OfficeObserved, OfficeLoad, CarriedRate, ExchangeStarted>;

// ---- actions
struct StageChanged {
  Stage from{}, to{};
  const char* reason = "";
};
// What the decision module may use and accept; complete each time it changes.
struct Terms {
  struct Line {
    Office office;
    Verdict verdict{};       // barred, and trial by another member: reported to the module as draining
    bool ours = false;       // on trial, and this controller holds the slot
    double max_rate = -1.0;  // of set-ups by this controller while the office is cold; negative: no bound
  };
  std::vector<Line> offices;                    // by id
  std::vector<std::optional<Duration>> closed;  // by class; if set, refuse at once with this retry time
};
struct Publish {
  facts::Key key;
  std::optional<std::string> value;  // none: delete the fact
};
struct Persist {
  std::string key;
  std::string value;
};
struct Note {
  std::string text;  // for the log: verdicts and their reasons
};
using Action = std::variant<StageChanged, Terms, Publish, Persist, Note>;
using Actions = std::vector<Action>;

}  // namespace reeltack::fleet::recovery
