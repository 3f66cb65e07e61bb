// A single Members object with a controlled clock, and the actions that it returned.
#pragma once

#include <algorithm>

#include "members_fleet.h"

namespace reeltack::test {

inline Update update_of(std::size_t node, Incarnation incarnation, Health health, std::size_t by = 0) {
  const Self self = self_of(node);
  return {self.id, incarnation, health, self.at, self.name, self.zone, by == 0 ? MemberId{} : self_of(by).id};
}

struct SingleMember {
  MembersSettings settings;
  Members members;
  Time now{};
  Actions actions;

  explicit SingleMember(const MembersSettings& with = {}, Incarnation incarnation = 1)
      : settings(with), members(with, self(incarnation), {}, 1) {
    members.begin(now, actions);
    if (const auto* request = action<PersistIncarnation>()) persist(request->to);
    actions.clear();
  }
  static Self self(Incarnation incarnation) {
    Self s = self_of(0);
    s.incarnation = incarnation;
    return s;
  }
  static Message message(Kind kind, std::size_t from, Incarnation incarnation = 1) {
    Message m;
    m.envelope.fleet = 42;
    m.envelope.from = self_of(from).id;
    m.envelope.incarnation = incarnation;
    m.kind = kind;
    m.target = self_of(0).id;
    m.sequence = 77;
    return m;
  }
  void receive(const Message& m) {
    actions.clear();
    members.receive(now, m, actions);
    members.check();
  }
  // A ping from `from`, whose own update comes first, followed by `updates`.
  void receive(std::size_t from, std::vector<Update> updates, Incarnation incarnation = 1) {
    Message m = message(Kind::ping, from, incarnation);
    m.updates = std::move(updates);
    m.updates.insert(m.updates.begin(), update_of(from, incarnation, Health::alive));
    receive(m);
  }
  void persist(Incarnation to) {
    actions.clear();
    members.incarnation_persisted(now, to, actions);
    members.check();
  }
  // Runs each tick when it is due; collects the actions of all of them.
  void run(Duration time) {
    actions.clear();
    const Time until = now + time;
    while (members.next() <= until) {
      now = std::max(now, members.next());
      members.tick(now, actions);
      members.check();
    }
    now = until;
  }
  template <class Kind>
  [[nodiscard]] const Kind* action() const {
    const auto found = std::find_if(actions.begin(), actions.end(),
                                    [](const auto& a) { return std::holds_alternative<Kind>(a); });
    return found == actions.end() ? nullptr : &std::get<Kind>(*found);
  }
  // The first message of a kind to a member; null: none.
  [[nodiscard]] const Message* sent(Kind kind, std::size_t to) const {
    for (const auto& a : actions) {
      const auto* send = std::get_if<Send>(&a);
      if (send != nullptr && send->message.kind == kind && send->to == self_of(to).at) return &send->message;
    }
    return nullptr;
  }
  [[nodiscard]] const Update* sent_update(std::size_t of) const {
    for (const auto& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) {
        for (const Update& u : send->message.updates) {
          if (u.member == self_of(of).id) return &u;
        }
      }
    }
    return nullptr;
  }
  [[nodiscard]] const Update& entry(std::size_t node) const {
    return members.table().at(self_of(node).id).update;
  }
  [[nodiscard]] Health health(std::size_t node) const { return entry(node).health; }
};

}  // namespace reeltack::test
