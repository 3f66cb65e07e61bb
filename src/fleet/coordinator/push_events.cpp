// Eager push of facts about offices: receiving, writing and forwarding them outside the exchanges.
//
// A pushed fact goes into the facts, or past them if they cannot take it yet: a newer fact of an owner must
// not take the place of older ones that are still to come.
#include <array>

#include "fleet/coordinator/coordinator.h"

namespace reeltack::fleet {
namespace {
constexpr Duration kRefusalLogInterval = std::chrono::seconds(10);
}

// Members held dead count as well: over a one-way link a member whose messages arrive is held dead, because
// the probes sent to it do not get through.
bool Coordinator::is_member(MemberId member) const {
  const auto found = members_.table().find(member);
  return found != members_.table().end() && found->second.update.health != members::Health::left;
}

void Coordinator::on_push(Time now, const eager_push::Message& message, CoordinatorActions& actions) {
  const MemberId from = message.envelope.from;
  if (!begun_ || !acceptable(message.envelope) || rate_exceeded(now, from)) return;
  const eager_push::Counts before = eager_push_.counts();
  const auto urgent =
      eager_push_.on_message(now, message, [this](MemberId member) { return is_member(member); });
  for (const facts::Fact& fact : urgent) deliver(now, from, fact, actions);
  log_refused(now, from, before, actions);
}

// If the fact follows directly on what is held of its owner, the facts take it. If older ones are missing,
// they refuse it (`after` is above what they hold); then only recovery receives it, until an exchange brings
// them all.
void Coordinator::deliver(Time now, MemberId from, const facts::Fact& fact, CoordinatorActions& actions) {
  const facts::OwnerDelta delta{fact.owner, fact.incarnation, false, false, fact.version - 1, 0, {fact}};
  const facts::Facts::Applied taken = facts_.apply(now, from, {{delta}});
  const auto current = facts_.find(now, fact.owner, fact.key);
  const bool held = current && std::pair(current->incarnation, current->version) >=
                                   std::pair(fact.incarnation, fact.version);  // this one or a later one
  apply(now, taken, actions);
  if (held) return;
  eager_push_.mark_delivered_ahead(fact);
  decide(now, recovery::FactReceived{fact}, actions);
}

void Coordinator::log_refused(Time now, MemberId from, const eager_push::Counts& before,
                              CoordinatorActions& actions) {
  const eager_push::Counts& after = eager_push_.counts();
  if (after.refused() == before.refused()) return;
  if (refusal_logged_at_ != Time::min() && now < refusal_logged_at_ + kRefusalLogInterval) return;
  refusal_logged_at_ = now;
  const auto found = members_.table().find(from);
  const std::string name = found == members_.table().end() ? "?" : found->second.update.name;
  const std::array<std::pair<const char*, bool>, 5> reasons{
      {{"malformed", after.malformed > before.malformed},
       {"stranger", after.non_member > before.non_member},
       {"old", after.too_old > before.too_old},
       {"own", after.own > before.own},
       {"flooded", after.rate_limited > before.rate_limited}}};
  for (const auto& [reason, grew] : reasons) {
    if (!grew) continue;
    actions.emplace_back(Log{
        "news_refused", "name=" + name + " reason=" + reason + " all=" + std::to_string(after.refused())});
    return;
  }
}

void Coordinator::fact_written(Time now, const facts::Key& key) {
  if (key.kind == facts::Kind::list) gossip_.spread_change(now);
  if (key.kind != facts::Kind::office) return;
  if (const auto fact = facts_.find(now, members_.self().id, key)) eager_push_.on_written(now, *fact);
}

void Coordinator::send_pushes(Time now, CoordinatorActions& actions) {
  if (!begun_ || now < eager_push_.next()) return;
  std::vector<MemberId> live, dead;
  for (const auto& [id, member] : members_.table()) {
    if (member.update.health == members::Health::left) continue;
    (member.update.health == members::Health::dead ? dead : live).push_back(id);
  }
  for (eager_push::Push& push : eager_push_.due(now, live, dead))
    actions.emplace_back(
        SendPush{members_.table().at(push.to).update.at, push.to, {envelope(), std::move(push.facts)}});
}

}  // namespace reeltack::fleet
