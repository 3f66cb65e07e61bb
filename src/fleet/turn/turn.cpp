#include "fleet/turn/turn.h"

#include <algorithm>

#include "fleet/recovery/mix.h"

namespace reeltack::fleet {
namespace {

std::string words(const recovery::StageChanged& told) {
  return std::string("from=") + name_of(told.from) + " to=" + name_of(told.to) + " reason=\"" + told.reason +
         "\"";
}
std::string number(std::uint64_t value) { return std::to_string(value); }

// Of what the terms say of each life.
std::uint64_t verdicts(const recovery::Terms& terms) {
  recovery::Hash hash;
  for (const recovery::Terms::Line& line : terms.offices) {
    hash.add(static_cast<std::uint64_t>(line.office.id))
        .add(line.office.start)
        .add(std::uint64_t{line.office.at.address} << 16U | line.office.at.port)
        .add(static_cast<std::uint64_t>(line.verdict));
  }
  return hash.value();
}

constexpr Duration kFactsTick = std::chrono::seconds(1);    // it looks at every fact there is
constexpr Duration kMembersKept = std::chrono::seconds(1);  // after a change: one write for many

}  // namespace

const char* name_of(recovery::Stage stage) {
  constexpr const char* kNames[] = {"dark", "restored", "asking", "probation", "partial", "full"};
  return kNames[static_cast<int>(stage)];
}

Turn::Turn(const CoordinatorSettings& settings, const members::Self& self, std::span<const Endpoint> seeds,
           std::uint64_t seed)
    : settings_(settings),
      members_(settings.members, self, seeds, seed),
      facts_(settings.facts, self.id, self.incarnation),
      recovery_(settings.recovery, self.id),
      news_(settings.news, self.id, seed),
      pace_(settings.pace, seed),
      drift_(settings.drift, self.id) {}

void Turn::begin(Time now, std::optional<recovery::Kept> kept, std::span<const members::Update> remembered,
                 CoordinatorActions& actions) {
  begun_ = true;
  decide(now, recovery::Restored{std::move(kept)}, actions);
  members_.restore(remembered);
  members::Actions told;
  members_.begin(now, told);
  take(now, told, actions);
  decide(now, recovery::LinkUp{}, actions);
  pace_.begin(now);
  tell_members(now, actions);
}

void Turn::on(Time now, const CoordinatorEvent& event, CoordinatorActions& actions) {
  if (left_) return;
  if (const auto* datagram = std::get_if<MembershipReceived>(&event)) {
    heard(now, datagram->message, actions);
  } else if (const auto* news = std::get_if<PushReceived>(&event)) {
    heard(now, news->message, actions);
  } else if (const auto* core = std::get_if<CoreEvent>(&event)) {
    decide(now, core->event, actions);
  } else if (const auto* opened = std::get_if<Opened>(&event)) {
    this->opened(*opened, actions);
  } else if (const auto* accepted = std::get_if<Accepted>(&event)) {
    this->accepted(now, *accepted, actions);
  } else if (const auto* one = std::get_if<Said>(&event)) {
    said(now, *one, actions);
  } else if (const auto* closed = std::get_if<Closed>(&event)) {
    end(now, closed->id, false, false, actions);
  } else if (const auto* kept = std::get_if<IncarnationPersisted>(&event)) {
    members::Actions told;
    members_.incarnation_persisted(now, kept->to, told);
    take(now, told, actions);
  } else if (const auto* rules = std::get_if<DriftEvent>(&event)) {
    rule(now, rules->event, actions);
  } else if (const auto* bad = std::get_if<Malformed>(&event)) {
    ++counts_.malformed;
    if (bad->member) static_cast<void>(heard_too_often(now, *bad->member));
  }
  push_news(now, actions);
}

void Turn::on_core_events(Time now, std::span<const recovery::Event> events, CoordinatorActions& actions) {
  if (begun_ && !left_ && !events.empty()) decide(now, events, actions);
}

void Turn::heard(Time now, const members::Message& message, CoordinatorActions& actions) {
  if (!ours(message.envelope) || heard_too_often(now, message.envelope.from)) return;
  members::Actions told;
  members_.receive(now, message, told);
  take(now, told, actions);
}

void Turn::tick(Time now, CoordinatorActions& actions) {
  if (!begun_ || left_) return;
  if (now >= members_.next()) {
    members::Actions told;
    members_.tick(now, told);
    take(now, told, actions);
  }
  if (now >= recovery_.next()) {
    recovery::Actions told;
    recovery_.tick(now, told);
    take(now, told, actions);
  }
  end_late(now, actions);
  if (now >= facts_at_) {
    facts_.tick(now);
    facts_at_ = now + kFactsTick;
  }
  std::erase_if(floods_, [&](const auto& f) { return now >= f.second.since + 2 * settings_.flood_span; });
  tick_rules(now, actions);
  begin_exchange(now, actions);
  push_news(now, actions);
  if (now < members_at_) return;
  members_at_ = Time::max();
  actions.emplace_back(Store{kMembersKey, format_members(members_), std::nullopt});
}

Time Turn::next() const {
  if (!begun_ || left_) return Time::max();
  Time at = std::min({members_.next(), recovery_.next(), news_.next(), pace_.next(urgent()), members_at_});
  if (rules_on_) at = std::min(at, drift_.next());
  for (const auto& [id, talk] : talks_) at = std::min(at, talk.by);
  return at;
}

void Turn::leave(Time now, CoordinatorActions& actions) {
  if (!begun_ || left_) return;
  members::Actions told;
  members_.leave(now, told);
  take(now, told, actions);
  for (const auto& [id, talk] : talks_) actions.emplace_back(CloseConnection{id});
  talks_.clear();
  left_ = true;
}

// ---- what the deciders want

void Turn::take(Time now, const members::Actions& told, CoordinatorActions& actions) {
  bool changed = false;
  facts_.raise(members_.self().incarnation);
  for (const members::Action& action : told) {
    if (const auto* send = std::get_if<members::Send>(&action)) {
      actions.emplace_back(SendMembership{send->to, send->member, send->message});
    } else if (const auto* raised = std::get_if<members::PersistIncarnation>(&action)) {
      actions.emplace_back(Store{kIncarnationKey, number(raised->to), std::nullopt});
    } else if (const auto* namesake = std::get_if<members::DuplicateName>(&action)) {
      actions.emplace_back(Log{"namesake", "incarnation=" + number(namesake->incarnation) +
                                               " reason=\"another process speaks under this name\""});
    } else if (const auto* change = std::get_if<members::HealthChanged>(&action)) {
      changed = true;
      log_change(*change, actions);
      if (change->to == members::Health::dead || change->to == members::Health::left) {
        decide(now, recovery::MemberRemoved{change->member}, actions);
        if (change->to == members::Health::left) facts_.forget_owner(now, change->member);
      }
    }
  }
  // A start anew that nobody saw as a death shows by its incarnation alone.
  const std::uint64_t sum = members_.incarnation_sum();
  if (!changed && sum == incarnations_) return;
  incarnations_ = sum;
  members_at_ = std::min(members_at_, now + kMembersKept);
  tell_members(now, actions);
}

void Turn::decide(Time now, std::span<const recovery::Event> events, CoordinatorActions& actions) {
  recovery::Actions told;
  recovery_.on(now, events, told);
  take(now, told, actions);
}

void Turn::take(Time now, const recovery::Actions& told, CoordinatorActions& actions) {
  for (const recovery::Action& action : told) {
    if (const auto* stage = std::get_if<recovery::StageChanged>(&action)) {
      ++counts_.stage_changes;
      actions.emplace_back(Log{"stage", words(*stage)});
      pace_.changed(now);
    } else if (const auto* terms = std::get_if<recovery::Terms>(&action)) {
      verdicts_ = verdicts(*terms);
      actions.emplace_back(ApplyTerms{*terms});
    } else if (const auto* publish = std::get_if<recovery::Publish>(&action)) {
      if (!publish->value) {
        facts_.erase(now, publish->key);
      } else if (!facts_.put(now, publish->key, *publish->value)) {
        ++counts_.over_bound;
      } else {
        wrote(now, publish->key);
      }
    } else if (const auto* keep = std::get_if<recovery::Keep>(&action)) {
      actions.emplace_back(Store{keep->key, keep->value, std::nullopt});
    } else if (const auto* note = std::get_if<recovery::Note>(&action)) {
      actions.emplace_back(Log{"recovery", note->text});
    }
  }
}

void Turn::take(Time now, const facts::Facts::Applied& taken, CoordinatorActions& actions) {
  if (taken.conflicting_incarnation > members_.self().incarnation) {
    actions.emplace_back(Log{"namesake", "incarnation=" + number(taken.conflicting_incarnation) +
                                             " reason=\"facts of this controller that it has not written\""});
  }
  std::vector<recovery::Event> told;
  for (const facts::Fact& fact : taken.changed) {
    if (fact.owner == members_.self().id) continue;
    if (fact.key.kind >= facts::Kind::vote) {
      rule(now, drift::FactReceived{fact}, actions);
      continue;
    }
    if (news_.learnt(now, fact)) told.emplace_back(recovery::FactReceived{fact});
  }
  if (!told.empty()) decide(now, told, actions);
}

}  // namespace reeltack::fleet
