#include "fleet/coordinator/coordinator.h"

#include <algorithm>

#include "fleet/recovery/mix.h"

namespace reeltack::fleet {
namespace {

std::string text_of(const recovery::StageChanged& change) {
  return std::string("from=") + name_of(change.from) + " to=" + name_of(change.to) + " reason=\"" +
         change.reason + "\"";
}
std::string number(std::uint64_t value) { return std::to_string(value); }

// Hash of the lifetime and verdict of each office in the terms.
std::uint64_t hash_of(const recovery::Terms& terms) {
  recovery::Hash hash;
  for (const recovery::Terms::Line& line : terms.offices) {
    hash.add(static_cast<std::uint64_t>(line.office.id))
        .add(line.office.start)
        .add(std::uint64_t{line.office.at.address} << 16U | line.office.at.port)
        .add(static_cast<std::uint64_t>(line.verdict));
  }
  return hash.value();
}

constexpr Duration kFactsTickInterval = std::chrono::seconds(1);  // a tick visits every fact
constexpr Duration kStoreMembersDelay = std::chrono::seconds(1);  // one write for many changes

}  // namespace

const char* name_of(recovery::Stage stage) {
  constexpr const char* kNames[] = {"dark", "restored", "asking", "probation", "partial", "full"};
  return kNames[static_cast<int>(stage)];
}

Coordinator::Coordinator(const CoordinatorSettings& settings, const members::Self& self,
                         std::span<const Endpoint> seeds, std::uint64_t seed)
    : settings_(settings),
      members_(settings.members, self, seeds, seed),
      facts_(settings.facts, self.id, self.incarnation),
      recovery_(settings.recovery, self.id),
      eager_push_(settings.eager_push, self.id, seed),
      gossip_(settings.gossip, seed),
      drift_(settings.drift, self.id) {}

void Coordinator::begin(Time now, std::optional<recovery::PersistedState> stored,
                        std::span<const members::Update> remembered, CoordinatorActions& actions) {
  begun_ = true;
  decide(now, recovery::Restored{std::move(stored)}, actions);
  members_.restore(remembered);
  members::Actions wanted;
  members_.begin(now, wanted);
  apply(now, wanted, actions);
  decide(now, recovery::LinkUp{}, actions);
  gossip_.begin(now);
  notify_members_changed(now, actions);
}

void Coordinator::on(Time now, const CoordinatorEvent& event, CoordinatorActions& actions) {
  if (left_) return;
  if (const auto* membership = std::get_if<MembershipReceived>(&event)) {
    on_membership(now, membership->message, actions);
  } else if (const auto* push = std::get_if<PushReceived>(&event)) {
    on_push(now, push->message, actions);
  } else if (const auto* core = std::get_if<CoreEvent>(&event)) {
    decide(now, core->event, actions);
  } else if (const auto* opened = std::get_if<Opened>(&event)) {
    on_opened(*opened, actions);
  } else if (const auto* accepted = std::get_if<Accepted>(&event)) {
    on_accepted(now, *accepted, actions);
  } else if (const auto* received = std::get_if<ExchangeReceived>(&event)) {
    on_exchange(now, *received, actions);
  } else if (const auto* closed = std::get_if<Closed>(&event)) {
    end(now, closed->id, false, false, actions);
  } else if (const auto* persisted = std::get_if<IncarnationPersisted>(&event)) {
    members::Actions wanted;
    members_.incarnation_persisted(now, persisted->to, wanted);
    apply(now, wanted, actions);
  } else if (const auto* rules = std::get_if<DriftEvent>(&event)) {
    on_drift(now, rules->event, actions);
  } else if (const auto* bad = std::get_if<Malformed>(&event)) {
    ++counts_.malformed;
    if (bad->member) static_cast<void>(rate_exceeded(now, *bad->member));
  }
  send_pushes(now, actions);
}

void Coordinator::on_core_events(Time now, std::span<const recovery::Event> events,
                                 CoordinatorActions& actions) {
  if (begun_ && !left_ && !events.empty()) decide(now, events, actions);
}

void Coordinator::on_membership(Time now, const members::Message& message, CoordinatorActions& actions) {
  if (!acceptable(message.envelope) || rate_exceeded(now, message.envelope.from)) return;
  members::Actions wanted;
  members_.receive(now, message, wanted);
  apply(now, wanted, actions);
}

void Coordinator::tick(Time now, CoordinatorActions& actions) {
  if (!begun_ || left_) return;
  if (now >= members_.next()) {
    members::Actions wanted;
    members_.tick(now, wanted);
    apply(now, wanted, actions);
  }
  if (now >= recovery_.next()) {
    recovery::Actions wanted;
    recovery_.tick(now, wanted);
    apply(now, wanted, actions);
  }
  end_overdue(now, actions);
  if (now >= facts_tick_at_) {
    facts_.tick(now);
    facts_tick_at_ = now + kFactsTickInterval;
  }
  std::erase_if(rates_, [&](const auto& r) { return now >= r.second.since + 2 * settings_.rate_window; });
  tick_drift(now, actions);
  begin_exchange(now, actions);
  send_pushes(now, actions);
  if (now < store_members_at_) return;
  store_members_at_ = Time::max();
  actions.emplace_back(Store{kMembersKey, format_members(members_), std::nullopt});
}

Time Coordinator::next() const {
  if (!begun_ || left_) return Time::max();
  Time at = std::min(
      {members_.next(), recovery_.next(), eager_push_.next(), gossip_.next(returning()), store_members_at_});
  if (rules_known_) at = std::min(at, drift_.next());
  for (const auto& [id, exchange] : exchanges_) at = std::min(at, exchange.deadline);
  return at;
}

void Coordinator::leave(Time now, CoordinatorActions& actions) {
  if (!begun_ || left_) return;
  members::Actions wanted;
  members_.leave(now, wanted);
  apply(now, wanted, actions);
  for (const auto& [id, exchange] : exchanges_) actions.emplace_back(CloseConnection{id});
  exchanges_.clear();
  left_ = true;
}

// ---- actions requested by the components

void Coordinator::apply(Time now, const members::Actions& wanted, CoordinatorActions& actions) {
  bool changed = false;
  facts_.raise(members_.self().incarnation);
  for (const members::Action& action : wanted) {
    if (const auto* send = std::get_if<members::Send>(&action)) {
      actions.emplace_back(SendMembership{send->to, send->member, send->message});
    } else if (const auto* raised = std::get_if<members::PersistIncarnation>(&action)) {
      actions.emplace_back(Store{kIncarnationKey, number(raised->to), std::nullopt});
    } else if (const auto* duplicate = std::get_if<members::DuplicateName>(&action)) {
      actions.emplace_back(Log{"namesake", "incarnation=" + number(duplicate->incarnation) +
                                               " reason=\"another process uses this name\""});
    } else if (const auto* change = std::get_if<members::HealthChanged>(&action)) {
      changed = true;
      log_change(*change, actions);
      if (change->to == members::Health::dead || change->to == members::Health::left) {
        decide(now, recovery::MemberRemoved{change->member}, actions);
        if (change->to == members::Health::left) facts_.forget_owner(now, change->member);
      }
    }
  }
  // A restart that no member observed as a death shows only in the incarnation.
  const std::uint64_t sum = members_.incarnation_sum();
  if (!changed && sum == incarnations_) return;
  incarnations_ = sum;
  store_members_at_ = std::min(store_members_at_, now + kStoreMembersDelay);
  notify_members_changed(now, actions);
}

void Coordinator::decide(Time now, std::span<const recovery::Event> events, CoordinatorActions& actions) {
  recovery::Actions wanted;
  recovery_.on(now, events, wanted);
  apply(now, wanted, actions);
}

void Coordinator::apply(Time now, const recovery::Actions& wanted, CoordinatorActions& actions) {
  for (const recovery::Action& action : wanted) {
    if (const auto* stage = std::get_if<recovery::StageChanged>(&action)) {
      ++counts_.stage_changes;
      actions.emplace_back(Log{"stage", text_of(*stage)});
      gossip_.spread_change(now);
    } else if (const auto* terms = std::get_if<recovery::Terms>(&action)) {
      verdicts_ = hash_of(*terms);
      actions.emplace_back(ApplyTerms{*terms});
    } else if (const auto* publish = std::get_if<recovery::Publish>(&action)) {
      if (!publish->value) {
        facts_.erase(now, publish->key);
      } else if (!facts_.put(now, publish->key, *publish->value)) {
        ++counts_.over_bound;
      } else {
        fact_written(now, publish->key);
      }
    } else if (const auto* keep = std::get_if<recovery::Persist>(&action)) {
      actions.emplace_back(Store{keep->key, keep->value, std::nullopt});
    } else if (const auto* note = std::get_if<recovery::Note>(&action)) {
      actions.emplace_back(Log{"recovery", note->text});
    }
  }
}

void Coordinator::apply(Time now, const facts::Facts::Applied& taken, CoordinatorActions& actions) {
  if (taken.conflicting_incarnation > members_.self().incarnation) {
    actions.emplace_back(
        Log{"namesake", "incarnation=" + number(taken.conflicting_incarnation) +
                            " reason=\"received facts of this controller that it did not write\""});
  }
  std::vector<recovery::Event> received;
  for (const facts::Fact& fact : taken.changed) {
    if (fact.owner == members_.self().id) continue;
    if (fact.key.kind >= facts::Kind::vote) {
      on_drift(now, drift::FactReceived{fact}, actions);
      continue;
    }
    if (eager_push_.on_exchanged(now, fact)) received.emplace_back(recovery::FactReceived{fact});
  }
  if (!received.empty()) decide(now, received, actions);
}

}  // namespace reeltack::fleet
