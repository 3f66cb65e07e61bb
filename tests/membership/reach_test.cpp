// When an office is dialled, asked for and given up for dead, in told time at the bounds.
#include "membership/reach.h"

#include <gtest/gtest.h>

namespace reeltack::membership {
namespace {

using namespace std::chrono_literals;
using DialResult = Reachability::DialResult;
using ProbeResult = Reachability::ProbeResult;

Time at(Duration d) { return Time{1000s} + d; }
ServerEntry entry(ServerState state = ServerState::ready, std::uint64_t start = 0) {
  ServerEntry out;
  out.state = state;
  out.start = StartId{start};
  return out;
}
Reachability ready_at_start() {
  Reachability r;
  r.update(entry());
  return r;
}
Reachability up_at_start(bool calls_established) {
  Reachability r = ready_at_start();
  r.connected(at(0s));
  r.set_calls_established(calls_established);
  return r;
}

TEST(Reachability, AReadyOfficeIsDialledAtOnceAndADrainingOneForWhatIsLeftThere) {
  Reachability r = ready_at_start();
  EXPECT_LE(r.dial_at(false, false), at(0s));
  r.update(entry(ServerState::draining));
  EXPECT_EQ(r.dial_at(false, false), Time::max());
  EXPECT_LE(r.dial_at(false, true), at(0s));  // a release is owed
  r.set_calls_established(true);
  EXPECT_LE(r.dial_at(false, false), at(0s));  // calls stand
}
TEST(Reachability, AFailureIsFollowedAfterAWhileAndBySetUpsAtOnce) {
  Reachability r = ready_at_start();
  EXPECT_FALSE(r.dial_failed(DialResult::refused, at(1s)));  // it never was up: no call is over
  EXPECT_EQ(r.dial_at(false, false), at(1250ms));
  EXPECT_LE(r.dial_at(true, false), at(1s));
  r.update(entry());  // the list speaks of it: at once
  EXPECT_LE(r.dial_at(false, false), at(1s));
}
TEST(Reachability, ARefusalAfterItWasUpIsADeathOnceAndOnlyAStartAnewEndsIt) {
  Reachability r = up_at_start(true);
  r.disconnected(at(1s));
  EXPECT_EQ(r.dial_at(false, false), at(1020ms));
  EXPECT_FALSE(r.dial_failed(DialResult::failed, at(1020ms)));  // out of reach is not dead yet
  EXPECT_TRUE(r.dial_failed(DialResult::refused, at(1270ms)));
  EXPECT_FALSE(r.dial_failed(DialResult::refused, at(2s)));
  EXPECT_EQ(r.dial_at(false, true), Time::max());  // another may have the address
  EXPECT_LE(r.dial_at(true, false), at(2s));       // but a set-up finds out
  r.update(entry());
  EXPECT_EQ(r.dial_at(false, false), Time::max());  // told again, not as started anew
  EXPECT_TRUE(r.update(entry(ServerState::ready, 5000)));
  EXPECT_LE(r.dial_at(false, false), at(2s));
}
TEST(Reachability, AQuietConnectionIsAskedForWhereCallsStand) {
  Reachability r = up_at_start(false);
  EXPECT_EQ(r.probe_at(), Time::max());  // it may stay quiet
  r.set_calls_established(true);
  EXPECT_EQ(r.probe_at(), at(2500ms));
  r.received(at(2s));
  EXPECT_EQ(r.probe_at(), at(4500ms));
}
TEST(Reachability, ASetUpWithoutAWordIsAskedForSooner) {
  Reachability r = up_at_start(true);
  EXPECT_TRUE(r.set_up_sent(at(1s)));
  EXPECT_FALSE(r.set_up_sent(at(1800ms)));  // it counts from the first
  EXPECT_EQ(r.probe_at(), at(2s));
  r.received(at(1900ms));
  EXPECT_EQ(r.probe_at(), at(4400ms));
}
TEST(Reachability, SilenceIsCalledALossOnlyAfterLongEnoughWithoutANewConnection) {
  Reachability r = up_at_start(true);
  EXPECT_EQ(r.probed(DialResult::failed, at(3s)), ProbeResult::wait);
  EXPECT_EQ(r.probe_at(), at(3250ms));
  EXPECT_EQ(r.probed(DialResult::failed, at(5500ms - 1ns)), ProbeResult::wait);
  EXPECT_EQ(r.probed(DialResult::failed, at(5500ms)), ProbeResult::lost);
  EXPECT_EQ(r.dial_at(false, false), Time::max());
  EXPECT_FALSE(r.dial_failed(DialResult::refused, at(6s)));  // its calls have been cut already
}
TEST(Reachability, WhatAnswersTheAskingTakesTheOldConnectionsPlaceOrEndsIt) {
  Reachability r = up_at_start(true);
  EXPECT_EQ(r.probed(DialResult::connected, at(3s)), ProbeResult::replaced);
  r.disconnected(at(3s));
  r.connected(at(3s));
  EXPECT_EQ(r.probe_at(), at(5500ms));
  EXPECT_EQ(r.probed(DialResult::refused, at(6s)), ProbeResult::drop);
  r.disconnected(at(6s));
  EXPECT_TRUE(r.dial_failed(DialResult::refused, at(6020ms)));  // and then it is a death
}
// The connection ended before the machine fell silent: the same bound as of one that is open and quiet.
TEST(Reachability, SilenceAfterTheConnectionHasEndedIsALossToo) {
  Reachability r = up_at_start(true);
  r.received(at(1s));
  r.disconnected(at(2s));
  EXPECT_FALSE(r.dial_failed(DialResult::failed, at(6500ms - 1ns)));
  EXPECT_TRUE(r.dial_failed(DialResult::failed, at(6500ms)));
  EXPECT_FALSE(r.dial_failed(DialResult::failed, at(7s))) << "once";
  EXPECT_EQ(r.dial_at(false, false), at(7250ms)) << "it is still looked for";
}
TEST(Reachability, WithoutACallThatStandsNothingIsLost) {
  Reachability r = up_at_start(false);
  r.disconnected(at(2s));
  EXPECT_FALSE(r.dial_failed(DialResult::failed, at(60s)));
}
// However long a connection may take by the settings: the calls that stand are not kept waiting for it.
TEST(Reachability, AConnectionIsAwaitedNoLongerThanTheCallsThatStand) {
  Reachability r = up_at_start(true);
  EXPECT_EQ(r.dial_deadline(at(2500ms), 500ms), at(3s));
  EXPECT_EQ(r.dial_deadline(at(2500ms), 60s), at(5500ms));
  EXPECT_EQ(r.dial_deadline(at(6s), 500ms), at(6500ms));  // that time has passed
  r.set_calls_established(false);
  EXPECT_EQ(r.dial_deadline(at(2500ms), 60s), at(62500ms));
}
// Our own want of descriptors hides whether the office is there: only dials that could be made show it.
TEST(Reachability, WantOfRoomOnThisHostIsNoEvidenceOfSilence) {
  Reachability open = up_at_start(true);
  open.dial_impossible(at(6s));
  EXPECT_EQ(open.probed(DialResult::failed, at(9s - 1ns)), ProbeResult::wait);
  EXPECT_EQ(open.probed(DialResult::failed, at(9s)), ProbeResult::lost);
  Reachability ended = up_at_start(true);
  ended.disconnected(at(1s));
  ended.dial_impossible(at(6s));
  EXPECT_EQ(ended.dial_deadline(at(6s), 60s), at(9s));
  EXPECT_FALSE(ended.dial_failed(DialResult::failed, at(9s - 1ns)));
  EXPECT_TRUE(ended.dial_failed(DialResult::failed, at(9s)));
}
TEST(Reachability, WantOfRoomThatIsOverBeforeTheSilenceChangesNothing) {
  Reachability r = up_at_start(true);
  r.dial_impossible(at(1s));
  EXPECT_EQ(r.probed(DialResult::failed, at(5500ms - 1ns)), ProbeResult::wait);
  EXPECT_EQ(r.probed(DialResult::failed, at(5500ms)), ProbeResult::lost);
}
// A process that died meanwhile is found dead: the want did not make its calls be forgotten.
TEST(Reachability, RefusalAfterWantOfRoomIsADeath) {
  Reachability r = up_at_start(true);
  r.disconnected(at(1s));
  for (Duration d = 1s; d <= 7s; d += 10ms) r.dial_impossible(at(d));
  EXPECT_TRUE(r.dial_failed(DialResult::refused, at(7s)));
}

TEST(Reachability, GoneIsForGood) {
  Reachability r = up_at_start(true);
  EXPECT_TRUE(r.update(entry(ServerState::gone)));
  EXPECT_TRUE(r.gone());
  EXPECT_EQ(r.dial_at(false, true), Time::max());
  r.update(entry());
  EXPECT_TRUE(r.gone());
}

}  // namespace
}  // namespace reeltack::membership
