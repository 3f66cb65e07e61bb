// Urgent: news of offices, beside the exchanges: what came, what was written here, what is pushed on.
//
// Owns: the way of news into the facts, or past them where they cannot take it yet.
// Must never: let a newer fact of an owner take the place of older ones that are still to come.
#include <array>

#include "fleet/turn/turn.h"

namespace reeltack::fleet {
namespace {
constexpr Duration kRefusedAgain = std::chrono::seconds(10);
}

// Held dead is no reason: over a one-way link those who are heard are, since nobody hears them answered.
bool Turn::belongs(MemberId member) const {
  const auto found = members_.table().find(member);
  return found != members_.table().end() && found->second.update.health != members::Health::left;
}

void Turn::heard(Time now, const news::Message& message, CoordinatorActions& actions) {
  const MemberId from = message.envelope.from;
  if (!begun_ || !ours(message.envelope) || heard_too_often(now, from)) return;
  const news::Counts before = news_.counts();
  const auto news = news_.heard(now, message, [this](MemberId member) { return belongs(member); });
  for (const facts::Fact& fact : news) hand(now, from, fact, actions);
  log_refused(now, from, before, actions);
}

// Where it follows on what is held of its owner, the facts take it; where older ones are missing, they refuse
// it (`after` is above what they hold), and recovery is told of it alone, until an exchange brings them all.
void Turn::hand(Time now, MemberId from, const facts::Fact& fact, CoordinatorActions& actions) {
  const facts::OwnerDelta part{fact.owner, fact.incarnation, false, false, fact.version - 1, 0, {fact}};
  const facts::Facts::Applied taken = facts_.apply(now, from, {{part}});
  const auto has = facts_.find(now, fact.owner, fact.key);
  const bool held = has && std::pair(has->incarnation, has->version) >=
                               std::pair(fact.incarnation, fact.version);  // this one or a later one
  take(now, taken, actions);
  if (held) return;
  news_.told_ahead(fact);
  decide(now, recovery::FactReceived{fact}, actions);
}

void Turn::log_refused(Time now, MemberId from, const news::Counts& before, CoordinatorActions& actions) {
  const news::Counts& after = news_.counts();
  if (after.refused() == before.refused()) return;
  if (refused_at_ != Time::min() && now < refused_at_ + kRefusedAgain) return;
  refused_at_ = now;
  const auto found = members_.table().find(from);
  const std::string name = found == members_.table().end() ? "?" : found->second.update.name;
  const std::array<std::pair<const char*, bool>, 5> reasons{
      {{"malformed", after.malformed > before.malformed},
       {"stranger", after.stranger > before.stranger},
       {"old", after.old > before.old},
       {"own", after.own > before.own},
       {"flooded", after.flooded > before.flooded}}};
  for (const auto& [reason, grew] : reasons) {
    if (!grew) continue;
    actions.emplace_back(Log{
        "news_refused", "name=" + name + " reason=" + reason + " all=" + std::to_string(after.refused())});
    return;
  }
}

void Turn::wrote(Time now, const facts::Key& key) {
  if (key.kind == facts::Kind::list) pace_.changed(now);
  if (key.kind != facts::Kind::office) return;
  if (const auto fact = facts_.find(now, members_.self().id, key)) news_.wrote(now, *fact);
}

void Turn::push_news(Time now, CoordinatorActions& actions) {
  if (!begun_ || now < news_.next()) return;
  std::vector<MemberId> others, dead;
  for (const auto& [id, member] : members_.table()) {
    if (member.update.health == members::Health::left) continue;
    (member.update.health == members::Health::dead ? dead : others).push_back(id);
  }
  for (news::Push& push : news_.due(now, others, dead))
    actions.emplace_back(
        SendPush{members_.table().at(push.to).update.at, push.to, {envelope(), std::move(push.facts)}});
}

}  // namespace reeltack::fleet
