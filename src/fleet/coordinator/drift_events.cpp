// Drift's part in a step: its events and the actions that it requests.
#include "fleet/coordinator/coordinator.h"

namespace reeltack::fleet {

void Coordinator::on_drift(Time now, const drift::Event& event, CoordinatorActions& actions) {
  rules_known_ = rules_known_ || std::holds_alternative<drift::RulesReadBack>(event);
  drift::Actions wanted;
  drift_.on(now, event, wanted);
  apply(now, wanted, actions);
}

// Several members may change in one step, and the agreed size may change without any of them; drift is
// notified once of all of that.
void Coordinator::tick_drift(Time now, CoordinatorActions& actions) {
  if (!rules_known_) return;
  if (members_changed_ || agreed_notified_ != recovery_.largest()) {
    members_changed_ = false;
    agreed_notified_ = recovery_.largest();
    drift::MembersChanged changed;
    changed.agreed = agreed_notified_;
    for (const auto& [id, member] : members_.table()) {
      if (id == members_.self().id || member.update.health == members::Health::left) continue;
      const bool alive =
          member.update.health == members::Health::alive || member.update.health == members::Health::suspect;
      changed.members.push_back(
          {id, member.update.incarnation, member.update.name, member.update.zone, alive});
    }
    on_drift(now, changed, actions);
  }
  if (now < drift_.next()) return;
  drift::Actions wanted;
  drift_.tick(now, wanted);
  apply(now, wanted, actions);
}

void Coordinator::apply(Time now, const drift::Actions& wanted, CoordinatorActions& actions) {
  for (const drift::Action& action : wanted) {
    if (const auto* publish = std::get_if<drift::Publish>(&action)) {
      if (!publish->value) {
        facts_.erase(now, publish->key);
      } else if (!facts_.put(now, publish->key, *publish->value)) {
        ++counts_.over_bound;
        continue;
      }
      if (!publish->renewal) gossip_.spread_change(now);  // drift is to be detected within seconds
    } else if (const auto* keep = std::get_if<drift::Persist>(&action)) {
      actions.emplace_back(Store{keep->key, keep->value, keep->vote});
    } else if (const auto* note = std::get_if<drift::LogLine>(&action)) {
      const std::size_t space = note->text.find(' ');
      actions.emplace_back(Log{note->text.substr(0, space), note->text.substr(space + 1)});
    }
  }
}

}  // namespace reeltack::fleet
