// Dual seizure, case by case.
#include <gtest/gtest.h>

#include "connected_ends.h"

namespace reeltack::circuits::test {
namespace {

using namespace std::chrono_literals;

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

}  // namespace
}  // namespace reeltack::circuits::test
