#include "fleet/drift/drift.h"

#include <algorithm>

namespace reeltack::fleet::drift {
namespace {

constexpr std::size_t kMostSeen = 8192;  // members of now and of before

}  // namespace

Drift::Drift(DriftSettings settings, MemberId self)
    : settings_(std::move(settings)), self_(self), approval_(self) {}

void Drift::on(Time now, const Event& event, Actions& actions) {
  if (started_ == Time::min()) {
    started_ = now;
    own_.lives(now, true);
  }
  std::visit([&](const auto& e) { take(now, e, actions); }, event);
  settle(now, actions);
}

void Drift::tick(Time now, Actions& actions) {
  if (started_ != Time::min()) settle(now, actions);
}

void Drift::take(Time /*now*/, const Restored& restored, Actions& actions) {
  const auto read = [this](const std::optional<std::string>& text) {
    auto out = text ? read_version(*text) : std::nullopt;
    counts_.malformed += text && !out ? 1 : 0;
    return out;
  };
  const auto vote = restored.vote ? read_vote(*restored.vote) : std::nullopt;
  counts_.malformed += restored.vote && !vote ? 1 : 0;
  auto held = read(restored.held), approved = read(restored.approved);
  // A record without the others it belongs to is of a write that was cut between: the vote stands.
  if (held && (!vote || name_of(*held) != vote->vote)) held.reset();
  held_since_start_ = approved.has_value();
  approval_.restore(vote.value_or(Vote{}), std::move(held), std::move(approved));
  if (approval_.approved())
    actions.emplace_back(Note{"rules epoch=" + std::to_string(by().epoch) + " reason=\"as kept\""});
}

void Drift::take(Time /*now*/, const RulesReadBack& read, Actions& /*actions*/) { tree_ = read.tree; }

void Drift::take(Time /*now*/, const Offered& offered, Actions& actions) {
  const Name name = name_of(offered.version);
  std::string why;
  rules::Tree as_tree;
  for (const auto& [key, value] : offered.version.rules)
    if (!as_tree.put(key, value)) why = key + ": is no rule";
  const auto broken = rules::violated_bounds(as_tree);
  if (!broken.empty()) why = broken.front();
  if (why.empty() && name.epoch < by().epoch)
    why = "epoch " + std::to_string(by().epoch) + " is approved already";
  if (why.empty() && name.epoch == by().epoch && name != by())
    why = "this epoch is approved with another content";
  if (!why.empty()) {
    ++counts_.refused;
    actions.emplace_back(Note{"version epoch=" + std::to_string(name.epoch) + " refused=\"" + why + "\""});
    return;
  }
  if (!approval_.offer(offered.version)) return;
  offered_ = name;
  actions.emplace_back(Note{"version epoch=" + std::to_string(name.epoch) +
                            " offered=yes rules=" + std::to_string(offered.version.rules.size())});
}

void Drift::take(Time /*now*/, const VotePersisted& kept, Actions& /*actions*/) { approval_.kept(kept.vote); }

void Drift::take(Time now, const Members& members, Actions& /*actions*/) {
  agreed_ = std::max<std::size_t>(members.agreed, 1);
  std::map<MemberId, Person> before;
  before.swap(people_);
  for (const Person& person : members.members) {
    Seen& seen = seen_[person.id];
    const auto known = before.find(person.id);
    if (known != before.end() && known->second.incarnation != person.incarnation) seen.started(now);
    seen.lives(now, person.alive);
    people_.emplace(person.id, person);
  }
  // Who has left keeps its word and its vote: facts are told once, and those of its next life may have come
  // before this table, in which it is still gone. A vote is one an epoch for good, wherever who cast it is
  // now.
  for (const auto& [id, person] : before)
    if (!people_.contains(id)) seen_[id].lives(now, false);
}

void Drift::take(Time now, const Told& told, Actions& /*actions*/) {
  const facts::Fact& fact = told.fact;
  if (fact.owner == self_ || fact.deleted) return;
  if (fact.key.kind == facts::Kind::vote) {
    if (const auto vote = read_vote(fact.value)) return approval_.heard(fact.owner, *vote);
  } else if (fact.key.kind == facts::Kind::rules) {
    const auto word = read_word(fact.value);
    if (word && (seen_.size() < kMostSeen || seen_.contains(fact.owner)))
      return seen_[fact.owner].said(now, *word, fact.age);
  } else if (fact.key.kind == facts::Kind::version) {
    if (const auto part = read_part(fact.value)) {
      approval_.heard(fact.owner, fact.key.subject, *part);
      return;
    }
  }
  ++counts_.malformed;
}

Name Drift::by() const { return approval_.told().approved; }

Duration Drift::stale() const {
  return 3 *
         (settings_.renewal + static_cast<Duration::rep>(people_.size() + 1) * settings_.renewal_a_member);
}

rules::Digest Drift::wanted(const std::string& name, const std::string& zone) const {
  if (!approval_.approved()) return 0;
  const auto found = wanted_.find({name, zone});
  return found != wanted_.end() ? found->second
                                : rules::digest_of(required_rules(*approval_.approved(), name, zone));
}

// After each event: votes, then what follows from them, then what is said, then what is seen.
void Drift::settle(Time now, Actions& actions) {
  if (const auto vote = approval_.to_keep()) {
    actions.emplace_back(Keep{kHeldRecord, write(*approval_.held()), std::nullopt});
    actions.emplace_back(Keep{kVoteRecord, write(*vote), vote});
  }
  if (agreed_ > 0 && approval_.settle(agreed_)) adopt(now, actions);
  if (const Epoch conflict = approval_.conflict(); conflict != conflict_) {
    conflict_ = conflict;
    if (conflict != 0)
      actions.emplace_back(Note{"version epoch=" + std::to_string(conflict) +
                                " conflict=yes reason=\"two contents under one epoch: neither is adopted\""});
  }
  carry(actions);
  say(now, actions);
  look(now, actions);
}

void Drift::adopt(Time now, Actions& actions) {
  approved_at_ = now;
  held_since_start_ = false;
  wanted_.clear();
  actions.emplace_back(Keep{kApprovedRecord, write(*approval_.approved()), std::nullopt});
  actions.emplace_back(Note{"rules epoch=" + std::to_string(by().epoch) +
                            " digest=" + std::to_string(by().digest) +
                            " reason=\"approved by a majority of " + std::to_string(agreed_) + "\""});
}

void Drift::say(Time now, Actions& actions) {
  if (approval_.told() != published_vote_.value_or(Vote{})) {
    published_vote_ = approval_.told();
    actions.emplace_back(Publish{{facts::Kind::vote, 0}, write(*published_vote_)});
  }
  if (!tree_) return;
  Word word{by(), 0, tree_->digest(), false, {}};
  if (approval_.approved()) {
    const rules::Rules wanted = required_rules(*approval_.approved(), settings_.name, settings_.zone);
    word.governed = rules::digest_of(wanted, *tree_);
    word.named = rules::differences(*tree_, wanted);
    word.pending = !word.named.empty() && !held_since_start_;
    if (word.named.size() > kMostNamed) word.named.resize(kMostNamed);
    for (rules::Difference& d : word.named) d.expected.reset();  // whoever reads it knows
  }
  const Duration renewal =
      settings_.renewal + static_cast<Duration::rep>(people_.size() + 1) * settings_.renewal_a_member;
  const bool same = word_ == word;
  if (same && now < said_at_ + renewal) return;
  word_ = std::move(word);
  said_at_ = now;
  own_.said(now, *word_, {});
  actions.emplace_back(Publish{{facts::Kind::rules, 0}, write(*word_), same});
}

// The text of what is voted for (or approved last) is carried by few, so that it outlives who offered it.
void Drift::carry(Actions& actions) {
  const auto& held =
      approval_.held() && approval_.told().vote > by() ? approval_.held() : approval_.approved();
  std::optional<Name> name;
  if (held) {
    const Name of = name_of(*held);
    if (offered_ == of || among(of.digest, kCarriers, self_)) name = of;
  }
  if (name == carried_) return;
  carried_ = name;
  std::size_t parts = 0;
  if (name) {
    for (const Part& part : parts_of(*held))
      actions.emplace_back(Publish{{facts::Kind::version, parts++}, write(part)});
  }
  for (std::size_t i = parts; i < carried_parts_; ++i)
    actions.emplace_back(Publish{{facts::Kind::version, i}, std::nullopt});
  carried_parts_ = parts;
}

}  // namespace reeltack::fleet::drift
