#include "fleet/drift/drift.h"

#include <algorithm>

namespace reeltack::fleet::drift {
namespace {

constexpr std::size_t kMaxMemberRules = 8192;  // present and former members

}  // namespace

Drift::Drift(DriftSettings settings, MemberId self)
    : settings_(std::move(settings)), self_(self), approval_(self) {}

void Drift::on(Time now, const Event& event, Actions& actions) {
  if (started_ == Time::min()) {
    started_ = now;
    own_rules_.set_alive(now, true);
  }
  std::visit([&](const auto& e) { take(now, e, actions); }, event);
  update(now, actions);
}

void Drift::tick(Time now, Actions& actions) {
  if (started_ != Time::min()) update(now, actions);
}

void Drift::take(Time /*now*/, const RecordsRestored& restored, Actions& actions) {
  const auto read = [this](const std::optional<std::string>& text) {
    auto out = text ? read_version(*text) : std::nullopt;
    counts_.malformed += text && !out ? 1 : 0;
    return out;
  };
  const auto vote = restored.vote ? read_vote(*restored.vote) : std::nullopt;
  counts_.malformed += restored.vote && !vote ? 1 : 0;
  auto held = read(restored.held), approved = read(restored.approved);
  // A held content that does not match the vote is from an interrupted write: the vote is valid.
  if (held && (!vote || id_of(*held) != vote->vote)) held.reset();
  held_since_start_ = approved.has_value();
  approval_.restore(vote.value_or(Vote{}), std::move(held), std::move(approved));
  if (approval_.approved())
    actions.emplace_back(
        LogLine{"rules epoch=" + std::to_string(approved_id().epoch) + " reason=\"as kept\""});
}

void Drift::take(Time /*now*/, const RulesReadBack& read, Actions& /*actions*/) { tree_ = read.tree; }

void Drift::take(Time /*now*/, const VersionOffered& offered, Actions& actions) {
  const VersionId id = id_of(offered.version);
  std::string reason;
  rules::Tree as_tree;
  for (const auto& [key, value] : offered.version.rules)
    if (!as_tree.put(key, value)) reason = key + ": is no rule";
  const auto broken = rules::violated_bounds(as_tree);
  if (!broken.empty()) reason = broken.front();
  if (reason.empty() && id.epoch < approved_id().epoch)
    reason = "epoch " + std::to_string(approved_id().epoch) + " is approved already";
  if (reason.empty() && id.epoch == approved_id().epoch && id != approved_id())
    reason = "this epoch is approved with another content";
  if (!reason.empty()) {
    ++counts_.refused;
    actions.emplace_back(
        LogLine{"version epoch=" + std::to_string(id.epoch) + " refused=\"" + reason + "\""});
    return;
  }
  if (!approval_.offer(offered.version)) return;
  own_offer_ = id;
  actions.emplace_back(LogLine{"version epoch=" + std::to_string(id.epoch) +
                               " offered=yes rules=" + std::to_string(offered.version.rules.size())});
}

void Drift::take(Time /*now*/, const VotePersisted& persisted, Actions& /*actions*/) {
  approval_.vote_persisted(persisted.vote);
}

void Drift::take(Time now, const MembersChanged& members, Actions& /*actions*/) {
  agreed_ = std::max<std::size_t>(members.agreed, 1);
  std::map<MemberId, MemberInfo> previous;
  previous.swap(members_);
  for (const MemberInfo& member : members.members) {
    MemberRules& observed = member_rules_[member.id];
    const auto known = previous.find(member.id);
    if (known != previous.end() && known->second.incarnation != member.incarnation) observed.on_restart(now);
    observed.set_alive(now, member.alive);
    members_.emplace(member.id, member);
  }
  // The report and vote of a member that has left are retained: facts are passed on once, and those of its
  // next run may have arrived before this table, in which it is still absent. Its one vote in an epoch is
  // final, whatever becomes of the member.
  for (const auto& [id, member] : previous)
    if (!members_.contains(id)) member_rules_[id].set_alive(now, false);
}

void Drift::take(Time now, const FactReceived& received, Actions& /*actions*/) {
  const facts::Fact& fact = received.fact;
  if (fact.owner == self_ || fact.deleted) return;
  if (fact.key.kind == facts::Kind::vote) {
    if (const auto vote = read_vote(fact.value)) return approval_.receive(fact.owner, *vote);
  } else if (fact.key.kind == facts::Kind::rules) {
    const auto report = read_rules_report(fact.value);
    if (report && (member_rules_.size() < kMaxMemberRules || member_rules_.contains(fact.owner)))
      return member_rules_[fact.owner].on_report(now, *report, fact.age);
  } else if (fact.key.kind == facts::Kind::version) {
    if (const auto part = read_part(fact.value)) {
      approval_.receive(fact.owner, fact.key.subject, *part);
      return;
    }
  }
  ++counts_.malformed;
}

VersionId Drift::approved_id() const { return approval_.published().approved; }

Duration Drift::stale_after() const {
  return 3 *
         (settings_.renewal + static_cast<Duration::rep>(members_.size() + 1) * settings_.renewal_per_member);
}

rules::Digest Drift::required_digest(const std::string& name, const std::string& zone) const {
  if (!approval_.approved()) return 0;
  const auto found = required_.find({name, zone});
  return found != required_.end() ? found->second
                                  : rules::digest_of(required_rules(*approval_.approved(), name, zone));
}

// After each event: votes, then approval and conflicts, then what is published, then the views.
void Drift::update(Time now, Actions& actions) {
  if (const auto vote = approval_.take_vote_to_persist()) {
    actions.emplace_back(Persist{kHeldRecord, write(*approval_.held()), std::nullopt});
    actions.emplace_back(Persist{kVoteRecord, write(*vote), vote});
  }
  if (agreed_ > 0 && approval_.update_approved(agreed_)) on_approved(now, actions);
  if (const Epoch conflict = approval_.conflict(); conflict != conflict_) {
    conflict_ = conflict;
    if (conflict != 0)
      actions.emplace_back(
          LogLine{"version epoch=" + std::to_string(conflict) +
                  " conflict=yes reason=\"two contents under one epoch: neither is adopted\""});
  }
  publish_content(actions);
  publish_own(now, actions);
  update_views(now, actions);
}

void Drift::on_approved(Time now, Actions& actions) {
  approved_at_ = now;
  held_since_start_ = false;
  required_.clear();
  actions.emplace_back(Persist{kApprovedRecord, write(*approval_.approved()), std::nullopt});
  actions.emplace_back(LogLine{"rules epoch=" + std::to_string(approved_id().epoch) +
                               " digest=" + std::to_string(approved_id().digest) +
                               " reason=\"approved by a majority of " + std::to_string(agreed_) + "\""});
}

void Drift::publish_own(Time now, Actions& actions) {
  if (approval_.published() != published_vote_.value_or(Vote{})) {
    published_vote_ = approval_.published();
    actions.emplace_back(Publish{{facts::Kind::vote, 0}, write(*published_vote_)});
  }
  if (!tree_) return;
  RulesReport report{approved_id(), 0, tree_->digest(), false, {}};
  if (approval_.approved()) {
    const rules::Rules required = required_rules(*approval_.approved(), settings_.name, settings_.zone);
    report.governed = rules::digest_of(required, *tree_);
    report.differing = rules::differences(*tree_, required);
    report.pending = !report.differing.empty() && !held_since_start_;
    if (report.differing.size() > kMaxNamedKeys) report.differing.resize(kMaxNamedKeys);
    for (rules::Difference& d : report.differing) d.expected.reset();  // readers know the required value
  }
  const Duration renewal =
      settings_.renewal + static_cast<Duration::rep>(members_.size() + 1) * settings_.renewal_per_member;
  const bool same = report_ == report;
  if (same && now < reported_at_ + renewal) return;
  report_ = std::move(report);
  reported_at_ = now;
  own_rules_.on_report(now, *report_, {});
  actions.emplace_back(Publish{{facts::Kind::rules, 0}, write(*report_), same});
}

// The text of the version voted for (or approved last) is published by a few members, so that it outlives the
// member that offered it.
void Drift::publish_content(Actions& actions) {
  const auto& held = approval_.held() && approval_.published().vote > approved_id() ? approval_.held()
                                                                                    : approval_.approved();
  std::optional<VersionId> to_publish;
  if (held) {
    const VersionId id = id_of(*held);
    if (own_offer_ == id || ranks_among(id.digest, kContentPublishers, self_)) to_publish = id;
  }
  if (to_publish == published_content_) return;
  published_content_ = to_publish;
  std::size_t parts = 0;
  if (to_publish) {
    for (const VersionPart& part : parts_of(*held))
      actions.emplace_back(Publish{{facts::Kind::version, parts++}, write(part)});
  }
  for (std::size_t i = parts; i < published_parts_; ++i)
    actions.emplace_back(Publish{{facts::Kind::version, i}, std::nullopt});
  published_parts_ = parts;
}

}  // namespace reeltack::fleet::drift
