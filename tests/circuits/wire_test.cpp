// Breaks, blocking, releases and refused messages.
#include <gtest/gtest.h>

#include "connected_ends.h"

namespace reeltack::circuits::test {
namespace {

using namespace std::chrono_literals;

TEST(Wire, ABreakBetweenSeizureAndAnswerEndsTheCallAtBothEnds) {
  Ends w = connected_ends(4);
  w.originate(kHigh, 1);
  w.originate(kHigh, 2);
  w.run_for(1ms);
  w.answer(kLow, 1);
  w.run_for(1ms);
  w.answer(kLow, 2);  // this answer is lost on the wire
  w.disconnect();
  EXPECT_EQ(w.calls[kHigh][1], CallState::established);
  EXPECT_EQ(w.calls[kHigh][2], CallState::ended);
  w.now += 1s;
  w.connect();
  w.run_for(settle_time(w));
  w.check_settled();
  EXPECT_EQ(w.calls[kHigh][1], CallState::established);
  EXPECT_EQ(w.calls[kLow][1], CallState::established);
  EXPECT_EQ(w.calls[kLow][2], CallState::ended) << "the audit found it established at one end only";
}

// Guards against: the time until a connection was given up as silent was added to max_silence.
TEST(Wire, AfterASilenceEstablishedCallsEndMaxSilenceAfterTheFarEndWasHeard) {
  Ends w = connected_ends(4);
  establish(w, 1);
  const Time heard = w.now;
  w.up = false;
  w.now += 3s;
  GroupActions actions;
  w.ends[kHigh].disconnected(w.now, actions, heard);
  w.carry_out(kHigh, actions);
  EXPECT_EQ(w.ends[kHigh].next_due(), heard + w.settings[kHigh].max_silence);
  w.now = heard + w.settings[kHigh].max_silence;
  w.fire(kHigh);
  EXPECT_EQ(w.calls[kHigh][1], CallState::ended);
}

TEST(Wire, ABlockCrossesASeizureAndTheSeizureIsServed) {
  Ends w = connected_ends(1);
  GroupActions actions;
  w.originate(kHigh, 1);
  w.ends[kLow].block(w.now, 0, 1, false, actions);
  w.carry_out(kLow, actions);
  w.run_for(10ms);
  EXPECT_EQ(w.calls[kLow][1], CallState::offered);
  w.answer(kLow, 1);
  w.run_for(10ms);
  EXPECT_EQ(w.calls[kHigh][1], CallState::established) << "a block lets calls in progress continue";
  w.release(kHigh, 1, true);
  w.run_for(10ms);
  GroupActions none;
  EXPECT_EQ(w.ends[kHigh].seize(w.now, 2, none), Refusal::no_circuit);
  GroupActions undo;
  w.ends[kLow].unblock(w.now, 0, 1, undo);
  w.carry_out(kLow, undo);
  w.run_for(10ms);
  EXPECT_EQ(w.ends[kHigh].selectable(), 1U);
  w.check_settled();
}

TEST(Wire, AnImmediateBlockReleasesEstablishedCalls) {
  Ends w = connected_ends(2);
  establish(w, 1);
  w.drops_allowed = true;
  GroupActions actions;
  w.ends[kLow].block(w.now, 0, 2, true, actions);
  w.carry_out(kLow, actions);
  w.run_for(10ms);
  EXPECT_EQ(w.calls[kHigh][1], CallState::ended);
  EXPECT_EQ(w.calls[kLow][1], CallState::ended);
  w.check_settled();
}

// Messages that no conforming end sends.
TEST(Wire, AnInvalidMessageIsRefusedAndChangesNothing) {
  Ends w = connected_ends(4);
  w.originate(kHigh, 1);
  w.run_for(1ms);
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
  refused({.kind = Kind::iam, .cic = 4, .call = 9, .sequence = 1});  // beyond the group
  refused({.kind = Kind::cqm, .cic = 3, .count = 2});                // a range beyond the group
  refused({.kind = Kind::cqm, .cic = 1, .count = 0xffffffffU});      // a range that wraps around
  refused({.kind = Kind::iam, .cic = 0, .call = 9, .sequence = 7});  // out of order
  refused({.kind = Kind::iam,
           .cic = 0,
           .call = 9,
           .sequence = 1,
           .received = 5});  // acknowledges messages not sent
  refused({.kind = Kind::cqr, .cic = 0, .count = 2, .status = std::vector<CircuitStatus>(1)});
  refused({.kind = Kind::blo, .cic = 0, .count = 0});
  // A call id that is in use is rejected on its circuit; the first call continues.
  GroupActions actions;
  EXPECT_TRUE(w.ends[kLow].receive(w.now, {.kind = Kind::iam, .cic = 0, .call = 1, .sequence = 1}, actions));
  EXPECT_EQ(std::get<Send>(actions.at(0)).message.kind, Kind::rel);
  EXPECT_TRUE(w.ends[kLow].holds(1, false));
}

TEST(Wire, ALongBreakEndsEstablishedCallsAtBothEnds) {
  Ends w = connected_ends(2);
  establish(w, 1);
  w.disconnect();
  w.drops_allowed = true;
  w.run_for(6s);
  EXPECT_EQ(w.calls[kHigh][1], CallState::ended);
  EXPECT_EQ(w.calls[kLow][1], CallState::ended);
}

TEST(Wire, AnUncompletedReleaseIsRepeatedAndThenReset) {
  Ends w = connected_ends(1);
  w.originate(kHigh, 1);
  w.run_for(1ms);
  w.release(kHigh, 1, true);
  for (int i = 0; i < 3; ++i) {
    w.wire[kLow].clear();  // the far end does not receive, but is still connected
    w.now += 2s;
    w.fire(kHigh);
  }
  EXPECT_EQ(w.ends[kHigh].counts().releases_again, 2U);
  EXPECT_EQ(w.ends[kHigh].state(0), State::resetting);
}

}  // namespace
}  // namespace reeltack::circuits::test
