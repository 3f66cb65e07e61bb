// Two ends of a trunk group in virtual time, with a delay between them and callers at both. Equal
// random draws give equal runs. Not thread-safe.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <iterator>
#include <map>
#include <utility>
#include <variant>

#include "circuits/group.h"
#include "load/plan/draws.h"
#include "tests/circuits/two_ends.h"

namespace reeltack::circuits {

class World {
 public:
  World(std::uint32_t size, Hunting hunting, Duration confirm = std::chrono::seconds(1))
      : a_(with(test::settings_of(size, true, hunting), confirm)),
        b_(with(test::settings_of(size, false, hunting), confirm)) {
    connect();
  }
  Time now{std::chrono::seconds(1000)};
  std::uint64_t calls = 0, established = 0, refused = 0, dropped = 0;
  // Both ends together make calls at `rate` per second until `until`; calls last `hold` on average.
  void run(Time until, double rate, Duration hold, load::Random& random) {
    Time next_call = rate > 0.0 ? now : Time::max();
    while (now < until) {
      now = std::max(now, next_event(std::min(next_call, until)));
      deliver_and_fire();
      release_due();
      if (now >= next_call && rate > 0.0) {
        place_call(hold, random);
        next_call = now + Duration{static_cast<Duration::rep>(load::exponential(random, 1e9 / rate))};
      }
      if (watch_stuck_) update_stuck();
    }
  }
  void connect() {
    for (auto& w : wire_) w.clear();
    for (const std::size_t end : {0U, 1U}) {
      GroupActions actions;
      group(end).connected(now, actions);
      carry_out(end, actions);
    }
  }
  void disconnect() {
    for (auto& w : wire_) w.clear();
    for (const std::size_t end : {0U, 1U}) {
      GroupActions actions;
      group(end).disconnected(now, actions);
      carry_out(end, actions);
    }
    for (auto& w : wire_) w.clear();
  }
  // While disconnected, one end forgets the calls on a part of its circuits. Returns how many.
  std::uint64_t forget(std::size_t end, double part, load::Random& random) {
    disconnect();
    std::uint64_t n = 0;
    for (Cic cic = 0; cic < group(end).size(); ++cic) {
      const auto s = group(end).state(cic);
      if (s != Group::State::established_out && s != Group::State::established_in) continue;
      if (load::uniform(random) >= part) continue;
      GroupActions none;
      group(end).release(now, group(end).call_on(cic), s == Group::State::established_out, kTemporaryFailure,
                         none);
      stuck_[cic] = now;
      ++n;
    }
    connect();
    watch_stuck_ = true;
    return n;
  }
  Group& group(std::size_t end) { return end == 0 ? a_ : b_; }
  [[nodiscard]] Duration longest_stuck() const { return longest_; }
  [[nodiscard]] std::size_t still_stuck() const { return stuck_.size(); }

 private:
  static GroupSettings with(GroupSettings s, Duration confirm) {
    s.confirm_after = confirm;
    if (confirm > std::chrono::hours(1))
      s.audit_period = confirm;  // no confirming audit: nothing is resolved
    return s;
  }
  [[nodiscard]] Time next_event(Time limit) const {
    Time at = std::min({limit, a_.next_due(), b_.next_due()});
    if (!timers_.empty()) at = std::min(at, timers_.begin()->first);
    for (const auto& w : wire_) {
      if (!w.empty()) at = std::min(at, w.front().first);
    }
    return at;
  }
  void deliver_and_fire() {
    for (const std::size_t end : {0U, 1U}) {
      while (!wire_[end].empty() && wire_[end].front().first <= now) {
        const Message m = wire_[end].front().second;
        wire_[end].pop_front();
        GroupActions actions;
        if (!group(end).receive(now, m, actions)) std::abort();
        carry_out(end, actions);
      }
      GroupActions actions;
      group(end).fire(now, actions);
      carry_out(end, actions);
    }
  }
  void release_due() {
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const auto [end, call] = timers_.begin()->second;
      timers_.erase(timers_.begin());
      GroupActions actions;
      group(end).release(now, call, true, kNormalClearing, actions);
      carry_out(end, actions);
    }
  }
  void place_call(Duration hold, load::Random& random) {
    const std::size_t end = load::uniform(random) < 0.5 ? 0 : 1;
    const std::uint64_t call = ++calls;
    hold_[call] =
        Duration{static_cast<Duration::rep>(load::exponential(random, static_cast<double>(hold.count())))};
    GroupActions actions;
    if (group(end).seize(now, call, actions) != Refusal::none) ++refused;
    carry_out(end, actions);
  }
  // Removes circuits that are no longer stuck: free at both ends, or with a new call known to both.
  void update_stuck() {
    for (auto it = stuck_.begin(); it != stuck_.end();) {
      const auto next = std::next(it);
      const bool free =
          a_.state(it->first) == b_.state(it->first) && a_.state(it->first) == Group::State::idle;
      const bool anew = a_.call_on(it->first) != 0 && a_.call_on(it->first) == b_.call_on(it->first);
      if (free || anew) {
        longest_ = std::max(longest_, now - it->second);
        stuck_.erase(it);
      }
      it = next;
    }
  }
  void carry_out(std::size_t end, const GroupActions& actions) {
    for (const auto& a : actions) {
      if (const auto* s = std::get_if<Send>(&a)) wire_[1 - end].emplace_back(now + kDelay, s->message);
      if (const auto* o = std::get_if<Offered>(&a)) {
        GroupActions answer;
        group(end).answer(now, o->call, answer);
        carry_out(end, answer);
      }
      if (const auto* n = std::get_if<Answered>(&a)) {
        ++established;
        timers_.emplace(now + hold_[n->call], std::pair(end, n->call));
      }
      if (const auto* v = std::get_if<Ended>(&a);
          v != nullptr && v->established && v->outgoing && !v->by_far_end) {
        ++dropped;  // dropped by a break, reset or audit
      }
    }
  }
  static constexpr Duration kDelay = std::chrono::milliseconds(10);
  Group a_, b_;
  std::deque<std::pair<Time, Message>> wire_[2];
  std::multimap<Time, std::pair<std::size_t, std::uint64_t>> timers_;
  std::map<std::uint64_t, Duration> hold_;
  std::map<Cic, Time> stuck_;
  Duration longest_{};
  bool watch_stuck_ = false;
};

}  // namespace reeltack::circuits
