// The figures of trunk groups: cost of selection and of an audit by size, collisions by order of hunting, how
// long stuck circuits stay, and what audits are worth. All but the costs are in virtual time and the same
// each run.
//
//   build/circuits_figures
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <set>

#include "circuits/group.h"
#include "load/plan/draws.h"

namespace {

using namespace std::chrono_literals;
using namespace reeltack;
using namespace reeltack::circuits;

GroupSettings settings(std::uint32_t size, bool high, Hunting hunting) {
  GroupSettings s;
  s.size = size;
  s.own = high ? 2 : 1;
  s.far = high ? 1 : 2;
  s.hunting = hunting;
  return s;
}

// Two ends with a delay between them, and callers at both.
class World {
 public:
  World(std::uint32_t size, Hunting hunting, Duration confirm = 1s)
      : a_(with(settings(size, true, hunting), confirm)), b_(with(settings(size, false, hunting), confirm)) {
    connect();
  }
  Time now{1000s};
  std::uint64_t calls = 0, stood = 0, refused = 0, lost = 0;
  // Both ends call at this rate until then; calls last `hold` in the mean.
  void run(Time until, double rate, Duration hold, load::Random& random) {
    Time next = rate > 0.0 ? now : Time::max();
    while (now < until) {
      Time at = std::min({next, until, a_.next_due(), b_.next_due()});
      if (!timers_.empty()) at = std::min(at, timers_.begin()->first);
      for (const auto& w : wire_) {
        if (!w.empty()) at = std::min(at, w.front().first);
      }
      now = std::max(now, at);
      for (const std::size_t end : {0U, 1U}) {
        while (!wire_[end].empty() && wire_[end].front().first <= now) {
          const Message m = wire_[end].front().second;
          wire_[end].pop_front();
          GroupActions actions;
          if (!group(end).take(now, m, actions)) std::abort();
          carry_out(end, actions);
        }
        GroupActions actions;
        group(end).fire(now, actions);
        carry_out(end, actions);
      }
      while (!timers_.empty() && timers_.begin()->first <= now) {
        const auto [end, call] = timers_.begin()->second;
        timers_.erase(timers_.begin());
        GroupActions actions;
        group(end).release(now, call, true, kNormalClearing, actions);
        carry_out(end, actions);
      }
      if (now >= next && rate > 0.0) {
        const std::size_t end = load::uniform(random) < 0.5 ? 0 : 1;
        const std::uint64_t call = ++calls;
        hold_[call] = Duration{
            static_cast<Duration::rep>(load::exponential(random, static_cast<double>(hold.count())))};
        GroupActions actions;
        if (group(end).seize(now, call, actions) != Refusal::none) ++refused;
        carry_out(end, actions);
        next = now + Duration{static_cast<Duration::rep>(load::exponential(random, 1e9 / rate))};
      }
      if (watch_stuck_) look();
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
      group(end).broken(now, actions);
      carry_out(end, actions);
    }
    for (auto& w : wire_) w.clear();
  }
  // One end forgets what it holds on part of its circuits while nothing can be said. Returns how many.
  std::uint64_t forget(std::size_t end, double part, load::Random& random) {
    disconnect();
    std::uint64_t n = 0;
    for (Cic cic = 0; cic < group(end).size(); ++cic) {
      const auto s = group(end).state(cic);
      if (s != Group::State::standing_out && s != Group::State::standing_in) continue;
      if (load::uniform(random) >= part) continue;
      GroupActions none;
      group(end).release(now, group(end).call_on(cic), s == Group::State::standing_out, kTemporaryFailure,
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
    if (confirm > 1h) s.audit_period = confirm;  // no second word: nothing is settled
    return s;
  }
  void look() {
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
        ++stood;
        timers_.emplace(now + hold_[n->call], std::pair(end, n->call));
      }
      if (const auto* v = std::get_if<Over>(&a); v != nullptr && v->stood && v->outgoing && !v->told) {
        ++lost;  // it was cut
      }
    }
  }
  static constexpr Duration kDelay = 10ms;
  Group a_, b_;
  std::deque<std::pair<Time, Message>> wire_[2];
  std::multimap<Time, std::pair<std::size_t, std::uint64_t>> timers_;
  std::map<std::uint64_t, Duration> hold_;
  std::map<Cic, Time> stuck_;
  Duration longest_{};
  bool watch_stuck_ = false;
};

double ms(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

void costs() {
  std::printf(
      "cost by size of the group (half of it busy)\ncircuits  seize+release ns  audit us  queries  bytes of "
      "words\n");
  for (const std::uint32_t size : {100U, 1000U, 10000U}) {
    World w(size, Hunting::opposite);
    load::Random random = load::stream(1, "costs");
    w.run(w.now + 500ms, 0.0, 1s, random);
    Group& a = w.group(0);
    GroupActions actions;
    std::uint64_t call = 1;
    for (; call <= size / 2; ++call) a.seize(w.now, call, actions);
    constexpr int kTurns = 200000;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < kTurns; ++i) {
      actions.clear();
      a.seize(w.now, ++call, actions);
      // Released and completed at once, as the far end would.
      const Cic cic = std::get<Send>(actions[0]).message.cic;
      a.release(w.now, call, true, kNormalClearing, actions);
      Message done;
      done.kind = Kind::rlc;
      done.cic = cic;
      done.call = call;
      done.sequence = static_cast<std::uint32_t>(i) + 1;  // the same circuit each time
      done.heard = std::get<Send>(actions[1]).message.sequence;
      a.take(w.now, done, actions);
      if ((i & 1023) == 0) {  // its timers are void by now
        actions.clear();
        a.fire(w.now += 3s, actions);
      }
    }
    const double ns =
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count() / kTurns;
    World v(size, Hunting::opposite);
    v.run(v.now + 500ms, 0.0, 1s, random);
    const auto start = std::chrono::steady_clock::now();
    constexpr int kAudits = 50;
    std::uint64_t queries = 0, bytes = 0;
    for (int i = 0; i < kAudits; ++i) {
      GroupActions asked;
      v.group(0).audit_now(v.now, asked);
      for (std::size_t k = 0; k < asked.size(); ++k) {  // grows as each response asks for the next range
        const auto* q = std::get_if<Send>(&asked[k]);
        if (q == nullptr || q->message.kind != Kind::cqm) continue;
        ++queries;
        GroupActions said;
        v.group(1).take(v.now, q->message, said);
        const Message response = std::get<Send>(said[0]).message;
        bytes += response.words.size() * 16;
        v.group(0).take(v.now, response, asked);
      }
    }
    const double us =
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / kAudits;
    std::printf("%8u  %16.0f  %8.1f  %7llu  %14llu\n", size, ns, us,
                static_cast<unsigned long long>(queries / kAudits),
                static_cast<unsigned long long>(bytes / kAudits));
  }
}

void collisions() {
  std::printf(
      "\ncollisions a thousand seizures, 100 circuits, 10 ms one way, calls of 3 s\noccupancy  opposite  "
      "priority  same\n");
  for (const double occupancy : {0.5, 0.8, 0.95}) {
    std::printf("%8.0f%%", occupancy * 100.0);
    for (const Hunting h : {Hunting::opposite, Hunting::priority, Hunting::same}) {
      World w(100, h);
      load::Random random = load::stream(7, "collisions");
      w.run(w.now + 1s, 0.0, 3s, random);
      w.run(w.now + 600s, occupancy * 100.0 / 3.02, 3s, random);
      const auto& a = w.group(0).counts();
      const auto& b = w.group(1).counts();
      const double met = static_cast<double>(std::max(a.collisions, b.collisions));
      std::printf("  %8.2f", 1000.0 * met / static_cast<double>(a.seized + b.seized));
    }
    std::printf("\n");
  }
}

void stuck() {
  World w(100, Hunting::opposite);
  load::Random random = load::stream(9, "stuck");
  w.run(w.now + 1s, 0.0, 3s, random);
  std::uint64_t losses = 0;
  while (losses < 1000) {
    w.run(w.now + 4s + Duration{static_cast<Duration::rep>(load::uniform(random) * 9e9)}, 20.0, 3s, random);
    losses += w.forget(load::uniform(random) < 0.5 ? 0 : 1, 0.5, random);
  }
  w.run(w.now + 20s, 20.0, 3s, random);
  std::printf("\nstuck circuits: %llu induced, the longest stay %.0f ms (bound %.0f ms), still stuck %zu\n",
              static_cast<unsigned long long>(losses), ms(w.longest_stuck()),
              ms(settle_bound(settings(100, true, Hunting::opposite))), w.still_stuck());
}

void worth() {
  std::printf(
      "\nworth served in 600 s at 90%% occupancy, one end forgetting half of its calls every 20 s, calls of "
      "60 s\n");
  for (const bool audits : {true, false}) {
    World w(100, Hunting::opposite, audits ? Duration{1s} : Duration{24h});
    load::Random callers = load::stream(11, "worth");  // the same calls arrive in both
    load::Random troubles = load::stream(11, "troubles");
    w.run(w.now + 1s, 0.0, 60s, callers);
    for (int i = 0; i < 30; ++i) {
      w.run(w.now + 20s, 0.9 * 100.0 / 60.0, 60s, callers);
      w.forget(static_cast<std::size_t>(i % 2), 0.5, troubles);
    }
    std::printf("%s audits: %llu calls, %llu stood, %llu found no circuit\n", audits ? "with" : "without",
                static_cast<unsigned long long>(w.calls), static_cast<unsigned long long>(w.stood),
                static_cast<unsigned long long>(w.refused));
  }
}

}  // namespace

int main() {
  costs();
  collisions();
  stuck();
  worth();
  return 0;
}
