// Changes of the members' table: logged, and passed on to recovery, the gossip schedule and drift.
#include "fleet/coordinator/coordinator.h"

namespace reeltack::fleet {
namespace {

const char* name_of(members::Health health) {
  constexpr const char* kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<int>(health)];
}

}  // namespace

void Coordinator::log_change(const members::HealthChanged& change, CoordinatorActions& actions) const {
  const auto found = members_.table().find(change.member);
  const std::string name = found == members_.table().end() ? "?" : found->second.update.name;
  actions.emplace_back(
      Log{"member", "name=" + name + " from=" + (change.from ? name_of(*change.from) : "unknown") +
                        " to=" + name_of(change.to) + " incarnation=" + std::to_string(change.incarnation) +
                        " reason=\"" + change.reason + "\""});
}

void Coordinator::notify_members_changed(Time now, CoordinatorActions& actions) {
  members_changed_ = true;
  recovery::MembersChanged changed;
  changed.live = members_.live();
  for (const MemberId id : changed.live) {
    const auto found = members_.table().find(id);
    changed.incarnations.push_back(found == members_.table().end() ? members_.self().incarnation
                                                                   : found->second.update.incarnation);
  }
  changed.known = 1;
  for (const auto& [id, member] : members_.table())
    changed.known += member.update.health != members::Health::left ? 1 : 0;
  std::vector<gossip_schedule::Peer> peers;
  for (std::size_t i = 0; i < changed.live.size(); ++i)
    if (changed.live[i] != members_.self().id) peers.push_back({changed.live[i], changed.incarnations[i]});
  gossip_.set_peers(peers);
  decide(now, changed, actions);
}

}  // namespace reeltack::fleet
