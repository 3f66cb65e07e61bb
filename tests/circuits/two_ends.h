// Two ends of a trunk group with a wire between them, and what each end's program believes of its calls.
//
// The wire delivers in order, loses all that is on it when it breaks, and does nothing by itself. Whatever an
// end does is held to: one final answer a call, no action for a call that is over, no circuit standing for
// two calls, and no call cut by an audit that the other end holds.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <stdexcept>
#include <string>

#include "circuits/group.h"

namespace reeltack::circuits::test {

inline std::uint64_t mix(std::uint64_t x) {
  x = (x ^ x >> 30U) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ x >> 27U) * 0x94d049bb133111ebULL;
  return x ^ x >> 31U;
}

inline GroupSettings settings_of(std::uint32_t size, bool high, Hunting hunting = Hunting::opposite) {
  GroupSettings s;
  s.size = size;
  s.own = high ? 2 : 1;
  s.far = high ? 1 : 2;
  s.hunting = hunting;
  return s;
}

enum class Fate : std::uint8_t { none, out, offered, stands, over };

template <class G>
struct TwoEnds {
  TwoEnds(const GroupSettings& high, const GroupSettings& low) : settings{high, low}, ends{G(high), G(low)} {}

  std::array<GroupSettings, 2> settings;
  std::array<G, 2> ends;
  std::array<std::deque<Message>, 2> wire;  // towards the end of that index
  std::array<std::map<std::uint64_t, Fate>, 2> calls;
  Time now{std::chrono::seconds(1000)};
  bool cut_is_fair = false;  // an end was restarted, or lost circuits: what stood may be cut
  bool up = false;
  std::uint64_t not_sent = 0, answered = 0, cut = 0, offered = 0;

  [[noreturn]] static void wrong(const std::string& what) { throw std::logic_error(what); }

  void carry_out(std::size_t end, const GroupActions& actions) {
    for (const GroupAction& a : actions) {
      if (const auto* s = std::get_if<Send>(&a)) {
        if (up) wire[1 - end].push_back(s->message);
      } else if (const auto* o = std::get_if<Offered>(&a)) {
        Fate& f = calls[end][o->call];
        if (f != Fate::none && f != Fate::over) wrong("a call was offered that is known already");
        f = Fate::offered;
        ++offered;
      } else if (const auto* n = std::get_if<Answered>(&a)) {
        Fate& f = calls[end][n->call];
        if (f != Fate::out) wrong("an answer for a call that awaits none");
        f = Fate::stands;
        ++answered;
      } else if (const auto* x = std::get_if<SeizureLost>(&a)) {
        Fate& f = calls[end][x->call];
        if (f != Fate::out) wrong("'not sent' for a call that was not out");
        f = Fate::over;
        ++not_sent;
        if (ends[1 - end].holds(x->call, false)) wrong("'not sent' for a call that runs at the far end");
      } else if (const auto* v = std::get_if<Ended>(&a)) {
        Fate& f = calls[end][v->call];
        const Fate before = v->established ? Fate::stands : v->outgoing ? Fate::out : Fate::offered;
        if (f != before) wrong("a second end of a call");
        f = Fate::over;
        if (v->established && !v->by_far_end) {
          ++cut;
          if (up && !cut_is_fair && ends[1 - end].holds(v->call, !v->outgoing))
            wrong("a call that stands at both ends was cut");
        }
      }
    }
    ends[end].check();
  }
  void originate(std::size_t end, std::uint64_t call) {
    GroupActions actions;
    calls[end][call] = Fate::out;
    if (ends[end].seize(now, call, actions) != Refusal::none) calls[end][call] = Fate::over;
    carry_out(end, actions);
  }
  void answer(std::size_t end, std::uint64_t call) {
    GroupActions actions;
    ends[end].answer(now, call, actions);
    calls[end][call] = Fate::stands;
    carry_out(end, actions);
  }
  void release(std::size_t end, std::uint64_t call, bool outgoing) {
    GroupActions actions;
    calls[end][call] = Fate::over;
    ends[end].release(now, call, outgoing, kNormalClearing, actions);
    carry_out(end, actions);
  }
  bool deliver(std::size_t to) {
    if (wire[to].empty()) return false;
    const Message m = wire[to].front();
    wire[to].pop_front();
    GroupActions actions;
    if (!ends[to].receive(now, m, actions))
      wrong(std::string("a message that breaks the rules: ") + name_of(m.kind));
    carry_out(to, actions);
    return true;
  }
  void connect() {
    up = true;
    for (const std::size_t end : {0U, 1U}) {
      GroupActions actions;
      ends[end].connected(now, actions);
      carry_out(end, actions);
    }
  }
  void disconnect() {
    up = false;
    for (auto& w : wire) w.clear();
    for (const std::size_t end : {0U, 1U}) {
      GroupActions actions;
      ends[end].disconnected(now, actions);
      carry_out(end, actions);
    }
  }
  // It comes back with nothing; the program's calls are gone with it.
  void restart(std::size_t end) {
    disconnect();
    ends[end].~G();
    new (&ends[end]) G(settings[end]);
    for (auto& [id, fate] : calls[end]) fate = fate == Fate::none ? Fate::none : Fate::over;
    cut_is_fair = true;
  }
  void fire(std::size_t end) {
    GroupActions actions;
    ends[end].fire(now, actions);
    carry_out(end, actions);
  }
  // Nothing new happens for so long, but for the wire and the timers.
  void quiet(Duration span) {
    const Time until = now + span;
    for (int rounds = 0; rounds < 100000; ++rounds) {
      if (deliver(0) || deliver(1)) continue;
      const Time next = std::min(ends[0].next_due(), ends[1].next_due());
      if (next > until) break;
      now = std::max(now, next);
      fire(0);
      fire(1);
    }
    now = until;
  }
  // After the bound both ends must hold the same, call for call.
  void settled() const {
    for (Cic cic = 0; cic < settings[0].size; ++cic) {
      using S = Group::State;
      const S a = ends[0].state(cic);
      const S b = ends[1].state(cic);
      const bool same =
          (a == S::idle && b == S::idle) || (a == S::established_out && b == S::established_in) ||
          (a == S::established_in && b == S::established_out) || (a == S::seized_out && b == S::seized_in) ||
          (a == S::seized_in && b == S::seized_out);
      if (!same || ends[0].call_on(cic) != ends[1].call_on(cic))
        wrong("circuit " + std::to_string(cic) + " is stuck: " + ends[0].describe(cic) + " and " +
              ends[1].describe(cic));
    }
    for (const std::size_t end : {0U, 1U}) {
      for (const auto& [id, fate] : calls[end]) {
        const bool held = ends[end].holds(id, true) || ends[end].holds(id, false);
        if (held != (fate == Fate::out || fate == Fate::offered || fate == Fate::stands))
          wrong("call " + std::to_string(id) + " is lost in silence");
      }
    }
  }
  // At any moment: where both ends have a call standing on a circuit, it is one call.
  void one_call_a_circuit() const {
    for (Cic cic = 0; cic < settings[0].size; ++cic) {
      const auto standing = [cic](const G& g) {
        return g.state(cic) == Group::State::established_out || g.state(cic) == Group::State::established_in;
      };
      if (standing(ends[0]) && standing(ends[1]) && ends[0].call_on(cic) != ends[1].call_on(cic) &&
          !cut_is_fair)
        wrong("two calls stand on circuit " + std::to_string(cic));
    }
  }
};

}  // namespace reeltack::circuits::test
