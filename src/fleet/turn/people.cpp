// What the turn tells of the members' table: to the log, to recovery and to the pace.
#include "fleet/turn/turn.h"

namespace reeltack::fleet {
namespace {

const char* name_of(members::Health health) {
  constexpr const char* kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<int>(health)];
}

}  // namespace

void Turn::log_change(const members::HealthChanged& change, CoordinatorActions& actions) const {
  const auto found = members_.table().find(change.member);
  const std::string name = found == members_.table().end() ? "?" : found->second.update.name;
  actions.emplace_back(
      Log{"member", "name=" + name + " from=" + (change.from ? name_of(*change.from) : "unknown") +
                        " to=" + name_of(change.to) + " incarnation=" + std::to_string(change.incarnation) +
                        " reason=\"" + change.reason + "\""});
}

void Turn::tell_members(Time now, CoordinatorActions& actions) {
  people_changed_ = true;
  recovery::MembersChanged told;
  told.live = members_.live();
  for (const MemberId id : told.live) {
    const auto found = members_.table().find(id);
    told.incarnations.push_back(found == members_.table().end() ? members_.self().incarnation
                                                                : found->second.update.incarnation);
  }
  told.known = 1;
  for (const auto& [id, member] : members_.table())
    told.known += member.update.health != members::Health::left ? 1 : 0;
  std::vector<pace::Partner> partners;
  for (std::size_t i = 0; i < told.live.size(); ++i)
    if (told.live[i] != members_.self().id) partners.push_back({told.live[i], told.incarnations[i]});
  pace_.partners(partners);
  decide(now, told, actions);
}

}  // namespace reeltack::fleet
