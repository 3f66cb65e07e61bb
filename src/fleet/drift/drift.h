// Which rules each controller of the fleet decides by, against the approved ones, as one controller knows it.
//
// Told: the own rules as read back from the parts that use them, versions from an operator's file, facts and
// members. Says: what is to be published, kept and logged. Votes and approval: approval.h; the views of each
// member and their alarms: views.h; facts: words.h.
//
// A vote is published once VotePersisted says that it lasts; where there is no store it never is, and that
// member counts for no majority. A version is refused whole if a bound of the platform's pages is broken by
// it. Content is published by who offered it and by kCarriers of the live members, by rendezvous hash, so
// that the one who offered it may die. An alarm is logged by kWatchers of them, by the same hash over the
// subject, and by the subject itself.
//
// Owns: the approval, what each member has said, the own word.
// Must never: do I/O, read a clock, change a rule, or believe what a member says of its being in step.
//
// Threads: none. Equal inputs give equal outputs; copyable. Nothing a peer says makes it throw: what cannot
// be read is counted.
#pragma once

#include <array>
#include <variant>

#include "fleet/drift/approval.h"
#include "fleet/drift/views.h"
#include "fleet/facts/facts.h"

namespace reeltack::fleet::drift {

inline constexpr std::size_t kCarriers = 3;
inline constexpr std::size_t kWatchers = 2;
inline constexpr const char* kVoteRecord = "drift.vote";
inline constexpr const char* kHeldRecord = "drift.held";
inline constexpr const char* kApprovedRecord = "drift.approved";

struct DriftSettings {
  ViewSettings views;
  Duration renewal = std::chrono::seconds(30);  // of the own word, and longer the larger the fleet is
  Duration renewal_a_member = std::chrono::milliseconds(200);
  std::string name, zone;  // the own ones
};

// ---- events
struct Restored {  // records of the store, as they were; once, before all else
  std::optional<std::string> vote, held, approved;
};
struct RulesReadBack {  // what the process decides by, whole each time
  rules::Tree tree;
};
struct Offered {  // from an operator's file
  Version version;
};
struct VotePersisted {
  Vote vote;
};
struct Person {  // of the members' table
  MemberId id{};
  Incarnation incarnation = 0;
  std::string name, zone;
  bool alive = false;
};
struct Members {  // all that have not left, after each change, without oneself; `agreed`: the fleet's size
  std::vector<Person> members;
  std::size_t agreed = 1;
};
struct Told {  // a fact of another: vote, rules or version
  facts::Fact fact;
};
using Event = std::variant<Restored, RulesReadBack, Offered, VotePersisted, Members, Told>;

// ---- actions
struct Publish {
  facts::Key key;
  std::optional<std::string> value;  // none: erased
  bool renewal = false;              // nothing new: it may take its time
};
struct Keep {  // in the store
  std::string key, value;
  std::optional<Vote> vote;  // to be told by VotePersisted once it lasts
};
struct Note {
  std::string text;  // for the log, as key=value words
};
using Action = std::variant<Publish, Keep, Note>;
using Actions = std::vector<Action>;

struct Counts {
  std::uint64_t malformed = 0, refused = 0, alarms = 0, cleared = 0;
};

class Drift {
 public:
  Drift(DriftSettings settings, MemberId self);
  void on(Time now, const Event& event, Actions& actions);
  void tick(Time now, Actions& actions);
  [[nodiscard]] Time next() const { return next_; }

  [[nodiscard]] const std::optional<Version>& approved() const { return approval_.approved(); }
  [[nodiscard]] Epoch conflict() const { return approval_.conflict(); }
  [[nodiscard]] const std::optional<Word>& word() const { return word_; }
  // Of all members, oneself included; index: View.
  struct Figures {
    std::array<std::uint64_t, kViews> views{};
    std::uint64_t alarmed = 0, critical = 0;  // critical: of the alarmed
  };
  [[nodiscard]] Figures figures(Time now) const;
  [[nodiscard]] View view(Time now, MemberId member) const;
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] const Approval& approval() const { return approval_; }
  void check() const { approval_.check(); }

 private:
  void take(Time now, const Restored& restored, Actions& actions);
  void take(Time now, const RulesReadBack& read, Actions& actions);
  void take(Time now, const Offered& offered, Actions& actions);
  void take(Time now, const VotePersisted& kept, Actions& actions);
  void take(Time now, const Members& members, Actions& actions);
  void take(Time now, const Told& told, Actions& actions);
  void settle(Time now, Actions& actions);
  void adopt(Time now, Actions& actions);
  void say(Time now, Actions& actions);
  void carry(Actions& actions);
  void look(Time now, Actions& actions);
  void note_alarm(Time now, MemberId subject, const std::string& name, Actions& actions);
  [[nodiscard]] bool among(std::uint64_t of, std::size_t first, MemberId except) const;
  [[nodiscard]] rules::Digest wanted(const std::string& name, const std::string& zone) const;
  [[nodiscard]] Name by() const;
  [[nodiscard]] Duration stale() const;

  DriftSettings settings_;
  MemberId self_;
  Approval approval_;
  Time started_ = Time::min(), approved_at_ = Time::min(), said_at_ = Time::min(), next_ = Time::min();
  bool held_since_start_ = false;  // what is approved was held before this life began
  std::optional<rules::Tree> tree_;
  std::optional<Word> word_;
  Seen own_;
  std::map<MemberId, Person> people_;
  std::map<MemberId, Seen> seen_;
  std::map<std::pair<std::string, std::string>, rules::Digest>
      wanted_;  // by name and zone, of what is approved
  std::optional<Vote> published_vote_;
  std::optional<Name> carried_;
  std::size_t carried_parts_ = 0;
  std::optional<Name> offered_;  // from the own file: carried by who offered it
  Epoch conflict_ = 0;           // logged
  Counts counts_;
  std::size_t agreed_ = 0;  // not told yet: nobody is approved by oneself
};

}  // namespace reeltack::fleet::drift
