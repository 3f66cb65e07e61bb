// Figures of trunk groups: cost of selection and of an audit by size, collisions by hunting order, how
// long circuits stay stuck, and what audits are worth. All but the costs are in virtual time and equal
// in each run.
//
//   build/circuits_figures
#include <algorithm>
#include <chrono>
#include <cstdio>

#include "circuits_world.h"

namespace {

using namespace std::chrono_literals;
using namespace reeltack;
using namespace reeltack::circuits;

double ms(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

// Mean cost of a seizure and its release on a group of which half is busy, in nanoseconds.
double seizure_cost_ns(std::uint32_t size, load::Random& random) {
  World w(size, Hunting::opposite);
  w.run(w.now + 500ms, 0.0, 1s, random);
  Group& a = w.group(0);
  GroupActions actions;
  std::uint64_t call = 1;
  for (; call <= size / 2; ++call) a.seize(w.now, call, actions);
  constexpr int kRounds = 200000;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
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
    done.received = std::get<Send>(actions[1]).message.sequence;
    a.receive(w.now, done, actions);
    if ((i & 1023) == 0) {  // its timers have been cancelled by now
      actions.clear();
      a.fire(w.now += 3s, actions);
    }
  }
  return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count() / kRounds;
}

struct AuditCost {
  double us = 0.0;
  std::uint64_t queries = 0;
  std::uint64_t bytes = 0;
};
// Mean cost of an audit of the whole group.
AuditCost audit_cost(std::uint32_t size, load::Random& random) {
  World v(size, Hunting::opposite);
  v.run(v.now + 500ms, 0.0, 1s, random);
  const auto start = std::chrono::steady_clock::now();
  constexpr int kAudits = 50;
  std::uint64_t queries = 0, bytes = 0;
  for (int i = 0; i < kAudits; ++i) {
    GroupActions queries_sent;
    v.group(0).audit_now(v.now, queries_sent);
    for (std::size_t k = 0; k < queries_sent.size(); ++k) {  // grows as each response asks for the next range
      const auto* q = std::get_if<Send>(&queries_sent[k]);
      if (q == nullptr || q->message.kind != Kind::cqm) continue;
      ++queries;
      GroupActions answers;
      v.group(1).receive(v.now, q->message, answers);
      const Message response = std::get<Send>(answers[0]).message;
      bytes += response.status.size() * 16;
      v.group(0).receive(v.now, response, queries_sent);
    }
  }
  const double us =
      std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / kAudits;
  return {us, queries / kAudits, bytes / kAudits};
}

void costs() {
  std::printf(
      "cost by size of the group (half of it busy)\ncircuits  seize+release ns  audit us  queries  bytes of "
      "words\n");
  for (const std::uint32_t size : {100U, 1000U, 10000U}) {
    load::Random random = load::stream(1, "costs");
    const double ns = seizure_cost_ns(size, random);
    const AuditCost audit = audit_cost(size, random);
    std::printf("%8u  %16.0f  %8.1f  %7llu  %14llu\n", size, ns, audit.us,
                static_cast<unsigned long long>(audit.queries), static_cast<unsigned long long>(audit.bytes));
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
              ms(max_settle_time(test::settings_of(100, true, Hunting::opposite))), w.still_stuck());
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
                static_cast<unsigned long long>(w.calls), static_cast<unsigned long long>(w.established),
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
