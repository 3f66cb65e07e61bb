// Breaks, blocking, releases and refused messages, case by case.
#include <gtest/gtest.h>

#include "connected_ends.h"

namespace reeltack::circuits::test {
namespace {

using namespace std::chrono_literals;

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

// Hard case 6.
TEST(Wire, WhatNoHonestEndSendsIsRefusedAndChangesNothing) {
  Ends w = made(4);
  w.originate(kHigh, 1);
  w.quiet(1ms);
  std::string before;
  w.ends[kLow].fingerprint(before);
  const auto refused = [&](Message m) {
    GroupActions actions;
    EXPECT_FALSE(w.ends[kLow].receive(w.now, m, actions)) << name_of(m.kind);
    EXPECT_TRUE(actions.empty());
    std::string after;
    w.ends[kLow].fingerprint(after);
    EXPECT_EQ(before, after);
  };
  refused({.kind = Kind::iam, .cic = 4, .call = 9, .sequence = 1});                 // beyond the group
  refused({.kind = Kind::cqm, .cic = 3, .count = 2});                               // a range beyond it
  refused({.kind = Kind::cqm, .cic = 1, .count = 0xffffffffU});                     // ... that wraps round
  refused({.kind = Kind::iam, .cic = 0, .call = 9, .sequence = 7});                 // out of order
  refused({.kind = Kind::iam, .cic = 0, .call = 9, .sequence = 1, .received = 5});  // heard what was not said
  refused({.kind = Kind::cqr, .cic = 0, .count = 2, .statuses = std::vector<CircuitStatus>(1)});
  refused({.kind = Kind::blo, .cic = 0, .count = 0});
  // An id that is in use already is turned away on its circuit; the first one goes on.
  GroupActions actions;
  EXPECT_TRUE(w.ends[kLow].receive(w.now, {.kind = Kind::iam, .cic = 0, .call = 1, .sequence = 1}, actions));
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

}  // namespace
}  // namespace reeltack::circuits::test
