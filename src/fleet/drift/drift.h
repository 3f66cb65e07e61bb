// Which rules each controller of the fleet decides by, compared with the approved version, as one controller
// knows it.
//
// Input: the process's own rules as read back from the modules that use them, versions from an operator's
// file, and the facts and states of members. Output: facts to publish, records to store and log lines. Votes
// and approval are in approval.h, the views of members and their alarms in views.h, the facts in
// drift_facts.h.
//
// A vote is published once VotePersisted reports that it is durable; without a store it never is, and that
// member counts towards no majority. A version is rejected completely if it breaks a bound that the platform
// sets. Its content is published by the member that offered it and by kContentPublishers of the live members,
// chosen by rendezvous hashing, so that the offering member may fail. An alarm is logged by kAlarmReporters
// of them, by the same hash over the subject, and by the subject itself.
//
// No I/O and no clock; rules are never changed here, and a member's own claim to be in step is not believed.
// Not thread-safe. Equal inputs give equal outputs; copyable. Input from peers never makes it throw: what
// cannot be decoded is counted.
#pragma once

#include <array>
#include <variant>

#include "fleet/drift/approval.h"
#include "fleet/drift/views.h"
#include "fleet/facts/facts.h"

namespace reeltack::fleet::drift {

inline constexpr std::size_t kContentPublishers = 3;
inline constexpr std::size_t kAlarmReporters = 2;
inline constexpr const char* kVoteRecord = "drift.vote";
inline constexpr const char* kHeldRecord = "drift.held";
inline constexpr const char* kApprovedRecord = "drift.approved";

struct DriftSettings {
  ViewSettings views;
  Duration renewal = std::chrono::seconds(30);  // of the own report; increases with the fleet's size
  Duration renewal_per_member = std::chrono::milliseconds(200);
  std::string name, zone;  // of this controller
};

// ---- events
struct RecordsRestored {  // the records of the store, unchanged; once, before all other events
  std::optional<std::string> vote, held, approved;
};
struct RulesReadBack {  // the rules in use by this process, complete each time
  rules::Tree tree;
};
struct VersionOffered {  // from an operator's file
  Version version;
};
struct VotePersisted {  // the vote of a Persist action is durable
  Vote vote;
};
struct MemberInfo {  // from the membership table
  MemberId id{};
  Incarnation incarnation = 0;
  std::string name, zone;
  bool alive = false;
};
// All members that have not left, without this one, after each change; `agreed`: the agreed fleet size.
struct MembersChanged {
  std::vector<MemberInfo> members;
  std::size_t agreed = 1;
};
struct FactReceived {  // of another member: vote, rules or version
  facts::Fact fact;
};
using Event =
    std::variant<RecordsRestored, RulesReadBack, VersionOffered, VotePersisted, MembersChanged, FactReceived>;

// ---- actions
struct Publish {
  facts::Key key;
  std::optional<std::string> value;  // none: erase the fact
  bool renewal = false;              // nothing has changed: not urgent
};
struct Persist {  // in the store
  std::string key, value;
  std::optional<Vote> vote;  // to be reported by VotePersisted once it is durable
};
struct LogLine {
  std::string text;  // in the form key=value
};
using Action = std::variant<Publish, Persist, LogLine>;
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
  [[nodiscard]] const std::optional<RulesReport>& report() const { return report_; }
  // Over all members, this one included; indexed by View.
  struct ViewCounts {
    std::array<std::uint64_t, kViews> views{};
    std::uint64_t alarmed = 0, critical = 0;  // critical: those of the alarmed
  };
  [[nodiscard]] ViewCounts view_counts(Time now) const;
  [[nodiscard]] View view(Time now, MemberId member) const;
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] const Approval& approval() const { return approval_; }
  void check() const { approval_.check(); }

 private:
  void take(Time now, const RecordsRestored& restored, Actions& actions);
  void take(Time now, const RulesReadBack& read, Actions& actions);
  void take(Time now, const VersionOffered& offered, Actions& actions);
  void take(Time now, const VotePersisted& persisted, Actions& actions);
  void take(Time now, const MembersChanged& members, Actions& actions);
  void take(Time now, const FactReceived& received, Actions& actions);
  void update(Time now, Actions& actions);
  void on_approved(Time now, Actions& actions);
  void publish_own(Time now, Actions& actions);
  void publish_content(Actions& actions);
  void update_views(Time now, Actions& actions);
  void log_alarm(Time now, MemberId subject, const std::string& name, Actions& actions);
  [[nodiscard]] bool ranks_among(std::uint64_t of, std::size_t first, MemberId except) const;
  [[nodiscard]] rules::Digest required_digest(const std::string& name, const std::string& zone) const;
  [[nodiscard]] VersionId approved_id() const;
  [[nodiscard]] Duration stale_after() const;

  DriftSettings settings_;
  MemberId self_;
  Approval approval_;
  Time started_ = Time::min(), approved_at_ = Time::min(), reported_at_ = Time::min(), next_ = Time::min();
  bool held_since_start_ = false;  // the approved version was held before this process started
  std::optional<rules::Tree> tree_;
  std::optional<RulesReport> report_;
  MemberRules own_rules_;
  std::map<MemberId, MemberInfo> members_;
  std::map<MemberId, MemberRules> member_rules_;
  // Digests required by the approved version, by name and zone.
  std::map<std::pair<std::string, std::string>, rules::Digest> required_;
  std::optional<Vote> published_vote_;
  std::optional<VersionId> published_content_;
  std::size_t published_parts_ = 0;
  std::optional<VersionId> own_offer_;  // from this controller's file: it publishes the content
  Epoch conflict_ = 0;                  // the last one logged
  Counts counts_;
  std::size_t agreed_ = 0;  // 0: not known yet, and nothing is approved
};

}  // namespace reeltack::fleet::drift
