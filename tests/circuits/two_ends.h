// Two ends of a trunk group, the wire between them, and the state of the calls as the owner of each end
// knows it.
//
// The wire delivers in order, loses everything in flight when it breaks, and does nothing by itself.
// The harness checks every action: one final outcome per call, no action for a call that has ended, no
// circuit with two established calls, and no audit that drops a call that the other end holds.
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

enum class CallState : std::uint8_t { none, out, offered, established, ended };

template <class G>
struct TwoEnds {
  TwoEnds(const GroupSettings& high, const GroupSettings& low) : settings{high, low}, ends{G(high), G(low)} {}

  std::array<GroupSettings, 2> settings;
  std::array<G, 2> ends;
  std::array<std::deque<Message>, 2> wire;  // towards the end of that index
  std::array<std::map<std::uint64_t, CallState>, 2> calls;
  Time now{std::chrono::seconds(1000)};
  bool drops_allowed = false;  // an end was restarted or lost circuits, so established calls may be dropped
  bool up = false;
  std::uint64_t not_sent = 0, answered = 0, dropped = 0, offered = 0;

  [[noreturn]] static void fail(const std::string& what) { throw std::logic_error(what); }

  void carry_out(std::size_t end, const GroupActions& actions) {
    for (const GroupAction& a : actions) {
      if (const auto* s = std::get_if<Send>(&a)) {
        if (up) wire[1 - end].push_back(s->message);
      } else if (const auto* o = std::get_if<Offered>(&a)) {
        CallState& f = calls[end][o->call];
        if (f != CallState::none && f != CallState::ended) fail("a call was offered that is already known");
        f = CallState::offered;
        ++offered;
      } else if (const auto* n = std::get_if<Answered>(&a)) {
        CallState& f = calls[end][n->call];
        if (f != CallState::out) fail("an answer for a call that is not awaiting one");
        f = CallState::established;
        ++answered;
      } else if (const auto* x = std::get_if<SeizureLost>(&a)) {
        CallState& f = calls[end][x->call];
        if (f != CallState::out) fail("a lost seizure for a call that was not outgoing");
        f = CallState::ended;
        ++not_sent;
        if (ends[1 - end].holds(x->call, false)) fail("a lost seizure for a call that exists at the far end");
      } else if (const auto* v = std::get_if<Ended>(&a)) {
        CallState& f = calls[end][v->call];
        const CallState before = v->established ? CallState::established
                                 : v->outgoing  ? CallState::out
                                                : CallState::offered;
        if (f != before) fail("a call ended twice, or in the wrong state");
        f = CallState::ended;
        if (v->established && !v->by_far_end) {
          ++dropped;
          if (up && !drops_allowed && ends[1 - end].holds(v->call, !v->outgoing))
            fail("a call established at both ends was dropped");
        }
      }
    }
    ends[end].check();
  }
  void originate(std::size_t end, std::uint64_t call) {
    GroupActions actions;
    calls[end][call] = CallState::out;
    if (ends[end].seize(now, call, actions) != Refusal::none) calls[end][call] = CallState::ended;
    carry_out(end, actions);
  }
  void answer(std::size_t end, std::uint64_t call) {
    GroupActions actions;
    ends[end].answer(now, call, actions);
    calls[end][call] = CallState::established;
    carry_out(end, actions);
  }
  void release(std::size_t end, std::uint64_t call, bool outgoing) {
    GroupActions actions;
    calls[end][call] = CallState::ended;
    ends[end].release(now, call, outgoing, kNormalClearing, actions);
    carry_out(end, actions);
  }
  bool deliver(std::size_t to) {
    if (wire[to].empty()) return false;
    const Message m = wire[to].front();
    wire[to].pop_front();
    GroupActions actions;
    if (!ends[to].receive(now, m, actions))
      fail(std::string("a message that violates the protocol: ") + name_of(m.kind));
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
  // The end comes back without state, and its owner's calls are gone.
  void restart(std::size_t end) {
    disconnect();
    ends[end].~G();
    new (&ends[end]) G(settings[end]);
    for (auto& [id, call_state] : calls[end])
      call_state = call_state == CallState::none ? CallState::none : CallState::ended;
    drops_allowed = true;
  }
  void fire(std::size_t end) {
    GroupActions actions;
    ends[end].fire(now, actions);
    carry_out(end, actions);
  }
  // Advances the time by `span` with nothing but deliveries and timers.
  void run_for(Duration span) {
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
  // Once the settle time has passed, both ends must hold the same calls.
  void check_settled() const {
    for (Cic cic = 0; cic < settings[0].size; ++cic) {
      using S = Group::State;
      const S a = ends[0].state(cic);
      const S b = ends[1].state(cic);
      const bool same =
          (a == S::idle && b == S::idle) || (a == S::established_out && b == S::established_in) ||
          (a == S::established_in && b == S::established_out) || (a == S::seized_out && b == S::seized_in) ||
          (a == S::seized_in && b == S::seized_out);
      if (!same || ends[0].call_on(cic) != ends[1].call_on(cic))
        fail("circuit " + std::to_string(cic) + " is stuck: " + ends[0].describe(cic) + " and " +
             ends[1].describe(cic));
    }
    for (const std::size_t end : {0U, 1U}) {
      for (const auto& [id, call_state] : calls[end]) {
        const bool held = ends[end].holds(id, true) || ends[end].holds(id, false);
        if (held != (call_state == CallState::out || call_state == CallState::offered ||
                     call_state == CallState::established))
          fail("call " + std::to_string(id) + " was lost without an event");
      }
    }
  }
  // Holds at any moment: if both ends have an established call on a circuit, it is the same call.
  void check_one_call_per_circuit() const {
    for (Cic cic = 0; cic < settings[0].size; ++cic) {
      const auto standing = [cic](const G& g) {
        return g.state(cic) == Group::State::established_out || g.state(cic) == Group::State::established_in;
      };
      if (standing(ends[0]) && standing(ends[1]) && ends[0].call_on(cic) != ends[1].call_on(cic) &&
          !drops_allowed)
        fail("two calls are established on circuit " + std::to_string(cic));
    }
  }
};

}  // namespace reeltack::circuits::test
