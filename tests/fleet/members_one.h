// One state of members alone, told by hand what comes, and what it answered.
//
// Owns: the state under test and the time told to it. Must never: decide.
#pragma once

#include <algorithm>

#include "members_fleet.h"

namespace reeltack::test {

inline Update update_of(std::size_t node, Incarnation incarnation, Health health, std::size_t by = 0) {
  const Self self = self_of(node);
  return {self.id, incarnation, health, self.at, self.name, self.zone, by == 0 ? MemberId{} : self_of(by).id};
}

struct One {
  MembersSettings settings;
  Members members;
  Time now{};
  Actions actions;

  explicit One(const MembersSettings& with = {}, Incarnation incarnation = 1)
      : settings(with), members(with, self(incarnation), {}, 1) {
    members.begin(now, actions);
    if (const auto* raised = told<PersistIncarnation>()) keep(raised->to);
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
  void hear(const Message& m) {
    actions.clear();
    members.heard(now, m, actions);
    members.check();
  }
  // A ping from `from`, of which this is the first update, with news.
  void hear(std::size_t from, std::vector<Update> news, Incarnation incarnation = 1) {
    Message m = message(Kind::ping, from, incarnation);
    m.updates = std::move(news);
    m.updates.insert(m.updates.begin(), update_of(from, incarnation, Health::alive));
    hear(m);
  }
  void keep(Incarnation to) {
    actions.clear();
    members.incarnation_persisted(now, to, actions);
    members.check();
  }
  // Each turn at its time; what all of them told is in `actions`.
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
  [[nodiscard]] const Kind* told() const {
    const auto found = std::find_if(actions.begin(), actions.end(),
                                    [](const auto& a) { return std::holds_alternative<Kind>(a); });
    return found == actions.end() ? nullptr : &std::get<Kind>(*found);
  }
  // The first message of a kind to a member.
  [[nodiscard]] const Message* sent(Kind kind, std::size_t to) const {
    for (const auto& a : actions) {
      const auto* send = std::get_if<Send>(&a);
      if (send != nullptr && send->message.kind == kind && send->to == self_of(to).at) return &send->message;
    }
    return nullptr;
  }
  [[nodiscard]] const Update* sent_of(std::size_t of) const {
    for (const auto& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) {
        for (const Update& u : send->message.updates) {
          if (u.member == self_of(of).id) return &u;
        }
      }
    }
    return nullptr;
  }
  [[nodiscard]] const Update& held(std::size_t node) const {
    return members.table().at(self_of(node).id).told;
  }
  [[nodiscard]] Health health(std::size_t node) const { return held(node).health; }
};

}  // namespace reeltack::test
