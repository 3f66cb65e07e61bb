// What recovery is told and what it says: stages, settings, events and actions.
//
// Owns: plain values alone. Must never: hold state. Times are those of the own steady clock, told; ages in
// facts are the fact's age and the age within together. Threads: none.
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
  OfficesSettings offices;
  LeaseSettings leases;
  Duration max_asking = std::chrono::milliseconds(700);
  Duration max_probation = std::chrono::seconds(10);
  Duration max_partial = std::chrono::seconds(30);
  Duration loss_window = std::chrono::seconds(5);
  Duration min_opening_time = std::chrono::seconds(1);  // from 0 to 1 without any pressure
  Duration fresh = std::chrono::seconds(15);            // a store so young is an ordinary restart's
  double enough = 0.5;                                  // of the listed capacity
  double too_little = 0.25;
  double pressed = 0.9;    // util from which the opening stands still; so does 1 - pressed refused of answers
  double cold_part = 0.7;  // of the told budget of a cold office, for all controllers together
  double cold_from = 1.0, fall_multiple = 0.0;  // of the settings
  Duration ramp{}, fall_span{};
  std::vector<double> class_worth;  // by class; the higher opens first, then the shorter aim
  std::vector<Duration> class_aim;
};

// ---- what the store kept; ages absent where unknown, in the future, or of another fleet.
struct PersistedState {
  std::optional<Duration> age;  // of the stage: the true one, never by a wall clock
  bool other_fleet = false;
  std::uint64_t list_epoch = 0, list_number = 0;
  std::vector<Evidence> offices;     // rank kept
  std::map<ServerId, double> rates;  // set-ups a second that it has carried for all, warm
  std::size_t agreed = 1, largest = 1;
  Stage stage = Stage::dark;
  bool served = true;  // service has been whole in some life before
};

// ---- events
struct Restored {
  std::optional<PersistedState> kept;
};
struct LinkUp {};              // the fleet can be asked; never where there is none
struct MembersChanged {        // after every change of the table
  std::vector<MemberId> live;  // with oneself
  std::size_t known = 1;       // all not left, dead ones included
  // Of `live`, in its order; empty where not told. What a member said under a lower one says nothing now.
  std::vector<Incarnation> incarnations = {};
};
struct FactReceived {
  facts::Fact fact;
};  // of another, new or changed
struct MemberRemoved {
  MemberId member{};
};
struct ExchangeStarted {  // a member begins to exchange facts with this one
  MemberId member{};
  Incarnation incarnation = 0;  // its own, as it names it
};
struct ListReceived {        // from a source of the own process: the bulletin
  std::uint64_t number = 0;  // of the last event in it
  bool complete = false;
  std::vector<Evidence> offices;  // rank told
  bool live = true;               // false: what the configuration held; nobody follows it
  std::uint64_t restarts = 0;     // of the source, seen since the process began: its numbers went back
};
struct ListCaughtUp {};       // the source has told all that it has
struct SourceUnreachable {};  // the bulletin is not reached: its word ages
struct OfficeObserved {
  Evidence evidence;
};                   // rank own: an answer, a refused connection, silence
struct OfficeLoad {  // since the last one, of one office: by its reports and answers
  ServerId office{};
  double util = -1.0;  // as reported; negative: not told
  std::uint32_t established = 0, refused = 0, failed = 0;
};
struct CarriedRate {  // the own part of what an office carries now: set-ups that stood a second
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
// For the module, whole each time it changes: what it may use and take.
struct Terms {
  struct Line {
    Office office;
    Verdict verdict{};       // barred and trial elsewhere: told to the module as draining
    bool ours = false;       // on trial, and this controller is the one that tries
    double max_rate = -1.0;  // of set-ups there by this controller, while cold; negative: no bound
  };
  std::vector<Line> offices;                    // by id
  std::vector<std::optional<Duration>> closed;  // by class; set: refused at once, come back in so long
};
struct Publish {
  facts::Key key;
  std::optional<std::string> value;
};  // none: erased
struct Persist {
  std::string key;
  std::string value;
};  // in the store
struct Note {
  std::string text;
};  // what was trusted and why, for the log
using Action = std::variant<StageChanged, Terms, Publish, Persist, Note>;
using Actions = std::vector<Action>;

}  // namespace reeltack::fleet::recovery
