// Audits, restarts and lost circuits.
#include <gtest/gtest.h>

#include "connected_ends.h"

namespace reeltack::circuits::test {
namespace {

using namespace std::chrono_literals;

// One end restarts without state while 500 calls are established.
TEST(Audit, CallsOfARestartedEndAreFreedInTimeAndInBatches) {
  for (const std::size_t end : {kHigh, kLow}) {
    Ends w = connected_ends(600);
    for (std::uint64_t i = 1; i <= 500; ++i) w.originate(i % 2, i);
    w.run_for(1ms);
    for (std::uint64_t i = 1; i <= 500; ++i) w.answer(1 - i % 2, i);
    w.run_for(1ms);
    EXPECT_EQ(w.answered, 500U);
    w.restart(end);
    w.now += 500ms;
    w.connect();
    const Time back = w.now;
    // A call made after the restart is known to both ends and must survive the audit.
    w.run_for(200ms);
    w.originate(1 - end, 7001);
    w.run_for(1ms);
    w.answer(end, 7001);
    std::size_t most = 0;
    std::size_t before = w.ends[1 - end].counts().freed;
    while (w.ends[1 - end].busy() > 1 && w.now < back + 10s) {
      w.run_for(10ms);
      most = std::max<std::size_t>(most, w.ends[1 - end].counts().freed - before);
      before = w.ends[1 - end].counts().freed;
    }
    EXPECT_LE(w.now - back, max_settle_time(w.settings[0]));
    EXPECT_LT(max_settle_time(w.settings[0]), 10s);
    EXPECT_LE(most, w.settings[0].settle_batch);
    w.run_for(2s);
    EXPECT_EQ(w.calls[1 - end][7001], CallState::established);
    EXPECT_EQ(w.ends[0].busy(), 1U);
    w.check_settled();
  }
}

// Half of the circuits are lost during calls, and restored.
TEST(Audit, LostCircuitsReleaseTheirCallsAndAreAuditedBeforeUse) {
  Ends w = connected_ends(100);
  for (std::uint64_t i = 1; i <= 100; ++i) w.originate(kHigh, i);
  w.run_for(1ms);
  for (std::uint64_t i = 1; i <= 100; ++i) w.answer(kLow, i);
  w.run_for(1ms);
  w.drops_allowed = true;
  GroupActions lost;
  w.ends[kLow].lose(w.now, 0, 50, lost);
  w.carry_out(kLow, lost);
  w.run_for(1ms);
  EXPECT_EQ(w.ends[kHigh].busy(), 50U);
  EXPECT_EQ(w.ends[kLow].busy(), 50U);
  EXPECT_EQ(w.ends[kHigh].selectable(), 0U);
  w.check_settled();
  GroupActions back;
  w.ends[kLow].restore(w.now, 0, 50, back);
  w.carry_out(kLow, back);
  EXPECT_EQ(w.ends[kLow].selectable(), 0U) << "not before both ends agree";
  w.run_for(10ms);
  EXPECT_EQ(w.ends[kLow].selectable(), 50U);
  EXPECT_EQ(w.ends[kHigh].selectable(), 50U);
}

// A reset crosses a seizure: the newer message wins, at both ends.
TEST(Audit, AResetThatCrossesASeizureDoesNotAffectIt) {
  Ends w = connected_ends(1);
  // The low end holds a call that the high end does not know, as after a lost answer.
  w.originate(kLow, 1);
  w.run_for(1ms);
  w.answer(kHigh, 1);
  w.run_for(1ms);
  w.disconnect();
  GroupActions quietly;
  w.calls[kHigh][1] = CallState::ended;
  w.ends[kHigh].release(w.now, 1, false, kNormalClearing, quietly);
  w.carry_out(kHigh, quietly);
  w.connect();
  w.run_for(settle_time(w));
  w.check_settled();
  EXPECT_EQ(w.ends[kLow].selectable(), 1U);
  EXPECT_GE(w.ends[kLow].counts().freed + w.ends[kHigh].counts().resets, 1U);
  // A hand-made reset from an end that had not received our seizure ...
  w.originate(kHigh, 2);
  const Message iam = w.wire[kLow].front();
  Message reset;
  reset.kind = Kind::rsc;
  reset.cic = 0;
  reset.sequence = iam.received + 1;
  reset.received = iam.sequence - 1;
  GroupActions actions;
  EXPECT_TRUE(w.ends[kHigh].receive(w.now, reset, actions));
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(w.ends[kHigh].state(0), State::seized_out);
  reset.sequence += 1;
  reset.received += 1;  // ... and from one that had
  EXPECT_TRUE(w.ends[kHigh].receive(w.now, reset, actions));
  EXPECT_EQ(w.ends[kHigh].state(0), State::idle);
}

}  // namespace
}  // namespace reeltack::circuits::test
