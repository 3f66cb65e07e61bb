// Dual seizure.
#include <gtest/gtest.h>

#include "connected_ends.h"

namespace reeltack::circuits::test {
namespace {

using namespace std::chrono_literals;

// Both ends seize the same circuit at once, the first and the last idle one, in each order of arrival.
TEST(Glare, TheControllingEndWinsInEachOrderOfArrival) {
  for (const Cic only : {0U, 1U, 4U, 5U}) {
    for (const std::size_t first : {kHigh, kLow}) {
      Ends w = connected_ends(6);
      for (Cic cic = 0; cic < 6; ++cic) {
        if (cic == only) continue;
        GroupActions actions;
        w.ends[kHigh].block(w.now, cic, 1, false, actions);
        w.carry_out(kHigh, actions);
      }
      w.run_for(100ms);
      w.originate(first, 1 + first);
      w.originate(1 - first, 2 - first);
      w.deliver(first);
      w.deliver(1 - first);
      w.deliver(first);
      w.check_one_call_per_circuit();
      const std::size_t winner = only % 2 == 0 ? kHigh : kLow;
      EXPECT_EQ(w.calls[winner][1 + winner], CallState::out) << only;
      EXPECT_EQ(w.calls[1 - winner][2 - winner], CallState::ended) << only;
      EXPECT_EQ(w.calls[1 - winner][1 + winner], CallState::offered);
      EXPECT_EQ(w.not_sent, 1U);
      w.run_for(settle_time(w));
      w.check_settled();
    }
  }
}

TEST(Glare, OnManyCircuitsAtOnceEveryCallHasOneOutcome) {
  Ends w = connected_ends(100, Hunting::same);
  for (std::uint64_t i = 0; i < 50; ++i) {
    w.originate(kHigh, 1000 + i);
    w.originate(kLow, 2000 + i);
  }
  w.run_for(10ms);
  EXPECT_EQ(w.not_sent, 50U);
  EXPECT_EQ(w.offered, 50U);
  w.check_settled();
}

TEST(Glare, TheLosersFindNoOtherCircuit) {
  Ends w = connected_ends(2, Hunting::same);
  for (const std::uint64_t i : {1U, 2U}) {
    w.originate(kHigh, 10 + i);
    w.originate(kLow, 20 + i);
  }
  w.run_for(10ms);
  EXPECT_EQ(w.not_sent, 2U);
  GroupActions none;
  EXPECT_EQ(w.ends[kHigh].seize(w.now, 99, none), Refusal::no_circuit);
  EXPECT_EQ(w.ends[kLow].seize(w.now, 98, none), Refusal::no_circuit);
  w.check_settled();
}

// Calls released while their seizures collide.
TEST(Glare, TheWinningCallIsReleasedMeanwhile) {
  for (const bool before : {true, false}) {
    Ends w = connected_ends(1);
    w.originate(kHigh, 1);
    w.originate(kLow, 2);
    if (before) w.release(kHigh, 1, true);
    w.deliver(kLow);  // the winner's iam
    if (!before) w.release(kHigh, 1, true);
    w.run_for(settle_time(w));
    EXPECT_EQ(w.calls[kLow][2], CallState::ended);
    EXPECT_EQ(w.calls[kLow][1], CallState::ended);
    w.check_settled();
    EXPECT_EQ(w.ends[kHigh].selectable(), 1U);
    EXPECT_EQ(w.ends[kLow].selectable(), 1U);
  }
}

TEST(Glare, TheLosingCallIsReleasedMeanwhile) {
  Ends w = connected_ends(1);
  w.originate(kHigh, 1);
  w.originate(kLow, 2);
  w.release(kLow, 2, true);
  w.run_for(100ms);
  EXPECT_EQ(w.calls[kHigh][1], CallState::out);
  EXPECT_EQ(w.calls[kLow][1], CallState::offered);
  w.check_settled();
}

// Regression, found by the random runs: our seizure and its release had not been received and the
// circuit was already in reset when the older seizure of the far end arrived. It was taken to be newer
// than the reset, although its call had already been cancelled as lost in glare.
TEST(Glare, ACollisionIsRecognizedAfterOurSeizureWasReleasedAndReset) {
  Ends w = connected_ends(1);
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
  w.run_for(settle_time(w));
  EXPECT_EQ(w.calls[kLow][2], CallState::ended);
  w.check_settled();
  EXPECT_EQ(w.ends[kHigh].selectable(), 1U);
}

}  // namespace
}  // namespace reeltack::circuits::test
