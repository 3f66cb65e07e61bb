// Trunk groups, hard case by hard case, and properties of long random runs.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "two_ends.h"

namespace reeltack::circuits::test {
namespace {

using namespace std::chrono_literals;
using State = Group::State;
using Ends = TwoEnds<Group>;

Ends made(std::uint32_t size, Hunting hunting = Hunting::opposite) {
  Ends w(settings_of(size, true, hunting), settings_of(size, false, hunting));
  w.connect();
  w.quiet(100ms);
  EXPECT_EQ(w.ends[0].selectable(), size);
  EXPECT_EQ(w.ends[1].selectable(), size);
  return w;
}
constexpr std::size_t kHigh = 0, kLow = 1;
Duration bound(const Ends& w) { return settle_bound(w.settings[0]) + 1s; }

TEST(IdleSet, EveryOrderAtEverySize) {
  for (const std::uint32_t size : {1U, 2U, 63U, 64U, 65U, 4096U, 10000U}) {
    IdleSet set(size);
    EXPECT_FALSE(set.lowest() || set.highest() || set.longest_idle() || set.last_released());
    std::set<Cic> plain;
    std::vector<Cic> order;
    std::uint64_t x = size;
    for (int i = 0; i < 2000; ++i) {
      x = x * 6364136223846793005ULL + 1442695040888963407ULL;
      const auto cic = static_cast<Cic>((x >> 33U) % size);
      if ((x & 1024U) != 0) {
        if (plain.insert(cic).second) order.push_back(cic);
        set.insert(cic);
      } else {
        if (plain.erase(cic) > 0) std::erase(order, cic);
        set.erase(cic);
      }
      ASSERT_EQ(set.size(), plain.size());
      if (plain.empty()) continue;
      ASSERT_EQ(set.lowest(), *plain.begin());
      ASSERT_EQ(set.highest(), *plain.rbegin());
      ASSERT_EQ(set.longest_idle(), order.front());
      ASSERT_EQ(set.last_released(), order.back());
    }
  }
}

// Hard case 1: both seize the same circuit at once, the first and the last idle one, in each order of
// arrival.
TEST(Glare, TheControllingEndWinsInEachOrderOfArrival) {
  for (const Cic only : {0U, 1U, 4U, 5U}) {
    for (const std::size_t first : {kHigh, kLow}) {
      Ends w = made(6);
      for (Cic cic = 0; cic < 6; ++cic) {
        if (cic == only) continue;
        GroupActions actions;
        w.ends[kHigh].block(w.now, cic, 1, false, actions);
        w.carry_out(kHigh, actions);
      }
      w.quiet(100ms);
      w.originate(first, 1 + first);
      w.originate(1 - first, 2 - first);
      w.deliver(first);
      w.deliver(1 - first);
      w.deliver(first);
      w.one_call_a_circuit();
      const std::size_t winner = only % 2 == 0 ? kHigh : kLow;
      EXPECT_EQ(w.calls[winner][1 + winner], Fate::out) << only;
      EXPECT_EQ(w.calls[1 - winner][2 - winner], Fate::over) << only;
      EXPECT_EQ(w.calls[1 - winner][1 + winner], Fate::offered);
      EXPECT_EQ(w.not_sent, 1U);
      w.quiet(bound(w));
      w.settled();
    }
  }
}
TEST(Glare, OnManyCircuitsAtOnceEveryCallHasOneFate) {
  Ends w = made(100, Hunting::same);
  for (std::uint64_t i = 0; i < 50; ++i) {
    w.originate(kHigh, 1000 + i);
    w.originate(kLow, 2000 + i);
  }
  w.quiet(10ms);
  EXPECT_EQ(w.not_sent, 50U);
  EXPECT_EQ(w.offered, 50U);
  w.settled();
}
TEST(Glare, BothLosersFindNoOtherCircuit) {
  Ends w = made(2, Hunting::same);
  for (const std::uint64_t i : {1U, 2U}) {
    w.originate(kHigh, 10 + i);
    w.originate(kLow, 20 + i);
  }
  w.quiet(10ms);
  EXPECT_EQ(w.not_sent, 2U);
  GroupActions none;
  EXPECT_EQ(w.ends[kHigh].seize(w.now, 99, none), Refusal::no_circuit);
  EXPECT_EQ(w.ends[kLow].seize(w.now, 98, none), Refusal::no_circuit);
  w.settled();
}
// Hard case 2.
TEST(Glare, TheWinnersCallerGivesUpMeanwhile) {
  for (const bool before : {true, false}) {
    Ends w = made(1);
    w.originate(kHigh, 1);
    w.originate(kLow, 2);
    if (before) w.release(kHigh, 1, true);
    w.deliver(kLow);  // the winner's iam
    if (!before) w.release(kHigh, 1, true);
    w.quiet(bound(w));
    EXPECT_EQ(w.calls[kLow][2], Fate::over);
    EXPECT_EQ(w.calls[kLow][1], Fate::over);
    w.settled();
    EXPECT_EQ(w.ends[kHigh].selectable(), 1U);
    EXPECT_EQ(w.ends[kLow].selectable(), 1U);
  }
}
TEST(Glare, TheLosersCallerGivesUpMeanwhile) {
  Ends w = made(1);
  w.originate(kHigh, 1);
  w.originate(kLow, 2);
  w.release(kLow, 2, true);
  w.quiet(100ms);
  EXPECT_EQ(w.calls[kHigh][1], Fate::out);
  EXPECT_EQ(w.calls[kLow][1], Fate::offered);
  w.settled();
}
// Found by the random runs: our seizure and its release were unheard, and the circuit already in reset, when
// the far end's older seizure came. It was taken for newer than the reset, and its call had been given up as
// glare.
TEST(Glare, ACollisionIsOneThoughOursWasReleasedAndResetMeanwhile) {
  Ends w = made(1);
  w.originate(kHigh, 1);
  w.originate(kLow, 2);
  w.release(kHigh, 1, true);
  for (int i = 0; i < 3; ++i) {
    w.now += 2s;
    w.fire(kHigh);
  }
  ASSERT_EQ(w.ends[kHigh].state(0), State::resetting);
  while (w.wire[kHigh].size() > 1 || w.wire[kHigh].front().kind != Kind::iam) w.wire[kHigh].pop_back();
  w.deliver(kHigh);
  EXPECT_EQ(w.offered, 0U);
  w.quiet(bound(w));
  EXPECT_EQ(w.calls[kLow][2], Fate::over);
  w.settled();
  EXPECT_EQ(w.ends[kHigh].selectable(), 1U);
}
TEST(Wire, ABreakBetweenSeizureAndAnswerEndsTheCallAtBothEnds) {
  Ends w = made(4);
  w.originate(kHigh, 1);
  w.originate(kHigh, 2);
  w.quiet(1ms);
  w.answer(kLow, 1);
  w.quiet(1ms);
  w.answer(kLow, 2);  // this one is lost on the wire
  w.disconnect();
  EXPECT_EQ(w.calls[kHigh][1], Fate::stands);
  EXPECT_EQ(w.calls[kHigh][2], Fate::over);
  w.now += 1s;
  w.connect();
  w.quiet(bound(w));
  w.settled();
  EXPECT_EQ(w.calls[kHigh][1], Fate::stands);
  EXPECT_EQ(w.calls[kLow][1], Fate::stands);
  EXPECT_EQ(w.calls[kLow][2], Fate::over) << "the audit found it standing at one end alone";
}
TEST(Wire, ABlockCrossesASeizureAndTheSeizureIsServed) {
  Ends w = made(1);
  GroupActions actions;
  w.originate(kHigh, 1);
  w.ends[kLow].block(w.now, 0, 1, false, actions);
  w.carry_out(kLow, actions);
  w.quiet(10ms);
  EXPECT_EQ(w.calls[kLow][1], Fate::offered);
  w.answer(kLow, 1);
  w.quiet(10ms);
  EXPECT_EQ(w.calls[kHigh][1], Fate::stands) << "a block lets what has begun go on";
  w.release(kHigh, 1, true);
  w.quiet(10ms);
  GroupActions none;
  EXPECT_EQ(w.ends[kHigh].seize(w.now, 2, none), Refusal::no_circuit);
  GroupActions undo;
  w.ends[kLow].unblock(w.now, 0, 1, undo);
  w.carry_out(kLow, undo);
  w.quiet(10ms);
  EXPECT_EQ(w.ends[kHigh].selectable(), 1U);
  w.settled();
}
TEST(Wire, BlockAtOnceReleasesWhatStands) {
  Ends w = made(2);
  w.originate(kHigh, 1);
  w.quiet(1ms);
  w.answer(kLow, 1);
  w.quiet(1ms);
  w.cut_is_fair = true;
  GroupActions actions;
  w.ends[kLow].block(w.now, 0, 2, true, actions);
  w.carry_out(kLow, actions);
  w.quiet(10ms);
  EXPECT_EQ(w.calls[kHigh][1], Fate::over);
  EXPECT_EQ(w.calls[kLow][1], Fate::over);
  w.settled();
}
// Hard case 3: one end restarts with nothing while 500 calls stand.
TEST(Audit, ARestartedEndsCallsAreFreedInTimeAndInBatches) {
  for (const std::size_t end : {kHigh, kLow}) {
    Ends w = made(600);
    for (std::uint64_t i = 1; i <= 500; ++i) w.originate(i % 2, i);
    w.quiet(1ms);
    for (std::uint64_t i = 1; i <= 500; ++i) w.answer(1 - i % 2, i);
    w.quiet(1ms);
    EXPECT_EQ(w.answered, 500U);
    w.restart(end);
    w.now += 500ms;
    w.connect();
    const Time back = w.now;
    // A call that comes up after the restart is known to both and must survive the clean-up.
    w.quiet(200ms);
    w.originate(1 - end, 7001);
    w.quiet(1ms);
    w.answer(end, 7001);
    std::size_t most = 0;
    std::size_t before = w.ends[1 - end].counts().freed;
    while (w.ends[1 - end].busy() > 1 && w.now < back + 10s) {
      w.quiet(10ms);
      most = std::max<std::size_t>(most, w.ends[1 - end].counts().freed - before);
      before = w.ends[1 - end].counts().freed;
    }
    EXPECT_LE(w.now - back, settle_bound(w.settings[0]));
    EXPECT_LT(settle_bound(w.settings[0]), 10s);
    EXPECT_LE(most, w.settings[0].settle_batch);
    w.quiet(2s);
    EXPECT_EQ(w.calls[1 - end][7001], Fate::stands);
    EXPECT_EQ(w.ends[0].busy(), 1U);
    w.settled();
  }
}
// Hard case 4: half of the circuits are lost mid-call, and come back.
TEST(Audit, LostCircuitsReleaseTheirCallsAndAreAuditedBeforeUse) {
  Ends w = made(100);
  for (std::uint64_t i = 1; i <= 100; ++i) w.originate(kHigh, i);
  w.quiet(1ms);
  for (std::uint64_t i = 1; i <= 100; ++i) w.answer(kLow, i);
  w.quiet(1ms);
  w.cut_is_fair = true;
  GroupActions lost;
  w.ends[kLow].lose(w.now, 0, 50, lost);
  w.carry_out(kLow, lost);
  w.quiet(1ms);
  EXPECT_EQ(w.ends[kHigh].busy(), 50U);
  EXPECT_EQ(w.ends[kLow].busy(), 50U);
  EXPECT_EQ(w.ends[kHigh].selectable(), 0U);
  w.settled();
  GroupActions back;
  w.ends[kLow].restore(w.now, 0, 50, back);
  w.carry_out(kLow, back);
  EXPECT_EQ(w.ends[kLow].selectable(), 0U) << "not before both ends agree";
  w.quiet(10ms);
  EXPECT_EQ(w.ends[kLow].selectable(), 50U);
  EXPECT_EQ(w.ends[kHigh].selectable(), 50U);
}
// Hard case 5: a reset was decided, and a seizure is on its way: the newer word wins, at both ends.
TEST(Audit, AResetThatCrossesASeizureDoesNothingToIt) {
  Ends w = made(1);
  // The low end holds a call that the high end knows nothing of, as after a lost answer.
  w.originate(kLow, 1);
  w.quiet(1ms);
  w.answer(kHigh, 1);
  w.quiet(1ms);
  w.disconnect();
  GroupActions quietly;
  w.calls[kHigh][1] = Fate::over;
  w.ends[kHigh].release(w.now, 1, false, kNormalClearing, quietly);
  w.carry_out(kHigh, quietly);
  w.connect();
  w.quiet(bound(w));
  w.settled();
  EXPECT_EQ(w.ends[kLow].selectable(), 1U);
  EXPECT_GE(w.ends[kLow].counts().freed + w.ends[kHigh].counts().resets, 1U);
  // A message made by hand: a reset from an end that had not heard our seizure.
  w.originate(kHigh, 2);
  const Message iam = w.wire[kLow].front();
  Message reset;
  reset.kind = Kind::rsc;
  reset.cic = 0;
  reset.sequence = iam.heard + 1;
  reset.heard = iam.sequence - 1;
  GroupActions actions;
  EXPECT_TRUE(w.ends[kHigh].take(w.now, reset, actions));
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(w.ends[kHigh].state(0), State::seized_out);
  reset.sequence += 1;
  reset.heard += 1;  // ... and from one that had
  EXPECT_TRUE(w.ends[kHigh].take(w.now, reset, actions));
  EXPECT_EQ(w.ends[kHigh].state(0), State::idle);
}
// Hard case 6.
TEST(Wire, WhatNoHonestEndSendsIsRefusedAndChangesNothing) {
  Ends w = made(4);
  w.originate(kHigh, 1);
  w.quiet(1ms);
  std::string before;
  w.ends[kLow].fingerprint(before);
  const auto refused = [&](Message m) {
    GroupActions actions;
    EXPECT_FALSE(w.ends[kLow].take(w.now, m, actions)) << name_of(m.kind);
    EXPECT_TRUE(actions.empty());
    std::string after;
    w.ends[kLow].fingerprint(after);
    EXPECT_EQ(before, after);
  };
  refused({.kind = Kind::iam, .cic = 4, .call = 9, .sequence = 1});              // beyond the group
  refused({.kind = Kind::cqm, .cic = 3, .count = 2});                            // a range beyond it
  refused({.kind = Kind::cqm, .cic = 1, .count = 0xffffffffU});                  // ... that wraps round
  refused({.kind = Kind::iam, .cic = 0, .call = 9, .sequence = 7});              // out of order
  refused({.kind = Kind::iam, .cic = 0, .call = 9, .sequence = 1, .heard = 5});  // heard what was not said
  refused({.kind = Kind::cqr, .cic = 0, .count = 2, .words = std::vector<CircuitWord>(1)});
  refused({.kind = Kind::blo, .cic = 0, .count = 0});
  // An id that is in use already is turned away on its circuit; the first one goes on.
  GroupActions actions;
  EXPECT_TRUE(w.ends[kLow].take(w.now, {.kind = Kind::iam, .cic = 0, .call = 1, .sequence = 1}, actions));
  EXPECT_EQ(std::get<Send>(actions.at(0)).message.kind, Kind::rel);
  EXPECT_TRUE(w.ends[kLow].holds(1, false));
}
TEST(Wire, SilenceEndsWhatStoodAtBothEnds) {
  Ends w = made(2);
  w.originate(kHigh, 1);
  w.quiet(1ms);
  w.answer(kLow, 1);
  w.quiet(1ms);
  w.disconnect();
  w.cut_is_fair = true;
  w.quiet(6s);
  EXPECT_EQ(w.calls[kHigh][1], Fate::over);
  EXPECT_EQ(w.calls[kLow][1], Fate::over);
}
TEST(Wire, AReleaseWithoutItsCompletionIsSaidAgainAndThenReset) {
  Ends w = made(1);
  w.originate(kHigh, 1);
  w.quiet(1ms);
  w.release(kHigh, 1, true);
  for (int i = 0; i < 3; ++i) {
    w.wire[kLow].clear();  // the far end is deaf, and not gone
    w.now += 2s;
    w.fire(kHigh);
  }
  EXPECT_EQ(w.ends[kHigh].counts().releases_again, 2U);
  EXPECT_EQ(w.ends[kHigh].state(0), State::resetting);
}

// ---------------------------------------------------------------- properties

// Long random runs of everything at once. Whatever comes, the books add up at each step, and left in peace
// both ends agree within the bound. `fair`: restarts, lost circuits and blocks at once are among it, which
// may cut what stands; without them no audit may cut a call that stands at both ends.
void random_run(std::uint64_t seed, bool fair) {
  std::uint64_t x = mix(seed);
  const auto draw = [&x](std::uint64_t below) { return (x = mix(x + 0x9e3779b97f4a7c15ULL)) % below; };
  const auto size = static_cast<std::uint32_t>(1 + draw(12));
  const auto hunting = static_cast<Hunting>(draw(3));
  Ends w(settings_of(size, true, hunting), settings_of(size, false, hunting));
  w.connect();
  w.cut_is_fair = fair;
  std::uint64_t calls = 0;
  const auto steps = 50 + draw(400);
  for (std::uint64_t i = 0; i < steps; ++i) {
    const std::size_t end = draw(2);
    const auto cic = static_cast<Cic>(draw(size));
    const auto some = static_cast<std::uint32_t>(1 + draw(size - cic));
    const auto pick = [&](Fate fate) -> std::uint64_t {
      std::vector<std::uint64_t> found;
      for (const auto& [id, f] : w.calls[end]) {
        if (f == fate) found.push_back(id);
      }
      return found.empty() ? 0 : found[draw(found.size())];
    };
    GroupActions actions;
    switch (draw(24)) {
      case 0:
      case 1:
      case 2:
      case 3:
        if (w.up) w.originate(end, ++calls * 2 + end);
        break;
      case 4:
      case 5:
      case 6:
        if (const auto id = pick(Fate::offered)) w.answer(end, id);
        break;
      case 7:
        if (const auto id = pick(Fate::stands)) w.release(end, id, w.ends[end].holds(id, true));
        break;
      case 8:
        if (const auto id = pick(Fate::out)) w.release(end, id, true);
        break;
      case 9:
        if (const auto id = pick(Fate::offered)) w.release(end, id, false);
        break;
      case 10:
        w.ends[end].block(w.now, cic, some, fair && draw(3) == 0, actions);
        break;
      case 11:
        w.ends[end].unblock(w.now, cic, some, actions);
        break;
      case 12:
        if (fair && draw(4) == 0) w.ends[end].lose(w.now, cic, some, actions);
        break;
      case 13:
        w.ends[end].restore(w.now, cic, some, actions);
        break;
      case 14:
        if (draw(6) == 0) w.disconnect();
        break;
      case 15:
        if (!w.up) w.connect();
        break;
      case 16:
        if (fair && draw(10) == 0) w.restart(end);
        break;
      case 17:
        w.now += std::chrono::milliseconds(draw(1500));
        w.fire(0);
        w.fire(1);
        break;
      default:
        w.deliver(end);
        break;
    }
    w.carry_out(end, actions);
    RC_ASSERT(w.ends[0].size() == size);
  }
  if (!w.up) w.connect();
  for (const std::size_t end : {kHigh, kLow}) {
    GroupActions actions;
    w.ends[end].restore(w.now, 0, size, actions);
    w.ends[end].unblock(w.now, 0, size, actions);
    w.carry_out(end, actions);
  }
  w.quiet(bound(w) + 8s);  // and the releases that were said again
  w.settled();
  for (const std::size_t end : {kHigh, kLow})
    RC_ASSERT(w.ends[end].selectable() == size - w.ends[end].busy());
}
RC_GTEST_PROP(Random, BothEndsAgreeOnceTheNetworkIsQuiet, (std::uint32_t seed)) { random_run(seed, true); }
RC_GTEST_PROP(Random, NoAuditCutsWhatStandsAtBothEnds, (std::uint32_t seed)) { random_run(seed, false); }

}  // namespace
}  // namespace reeltack::circuits::test
