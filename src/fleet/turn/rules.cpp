// Drift's part in the turn: what it is told of members and facts, and what it wants.
#include "fleet/turn/turn.h"

namespace reeltack::fleet {

void Turn::rule(Time now, const drift::Event& event, CoordinatorActions& actions) {
  rules_on_ = rules_on_ || std::holds_alternative<drift::RulesReadBack>(event);
  drift::Actions told;
  drift_.on(now, event, told);
  take(now, told, actions);
}

// Many members change in one turn, and the agreed size without any of them: drift is told of all of them
// once.
void Turn::tick_rules(Time now, CoordinatorActions& actions) {
  if (!rules_on_) return;
  if (people_changed_ || agreed_told_ != recovery_.largest()) {
    people_changed_ = false;
    agreed_told_ = recovery_.largest();
    drift::MembersChanged told;
    told.agreed = agreed_told_;
    for (const auto& [id, member] : members_.table()) {
      if (id == members_.self().id || member.update.health == members::Health::left) continue;
      const bool alive =
          member.update.health == members::Health::alive || member.update.health == members::Health::suspect;
      told.members.push_back({id, member.update.incarnation, member.update.name, member.update.zone, alive});
    }
    rule(now, told, actions);
  }
  if (now < drift_.next()) return;
  drift::Actions told;
  drift_.tick(now, told);
  take(now, told, actions);
}

void Turn::take(Time now, const drift::Actions& told, CoordinatorActions& actions) {
  for (const drift::Action& action : told) {
    if (const auto* publish = std::get_if<drift::Publish>(&action)) {
      if (!publish->value) {
        facts_.erase(now, publish->key);
      } else if (!facts_.put(now, publish->key, *publish->value)) {
        ++counts_.over_bound;
        continue;
      }
      if (!publish->renewal) pace_.changed(now);  // told on at once: drift is to be found in seconds
    } else if (const auto* keep = std::get_if<drift::Persist>(&action)) {
      actions.emplace_back(Store{keep->key, keep->value, keep->vote});
    } else if (const auto* note = std::get_if<drift::LogLine>(&action)) {
      const std::size_t space = note->text.find(' ');
      actions.emplace_back(Log{note->text.substr(0, space), note->text.substr(space + 1)});
    }
  }
}

}  // namespace reeltack::fleet
