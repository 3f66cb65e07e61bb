// When an office is dialled, probed and considered lost, in simulated time at the bounds.
#include "membership/reachability.h"

#include <gtest/gtest.h>

namespace reeltack::membership {
namespace {

using namespace std::chrono_literals;
using DialResult = Reachability::DialResult;
using ProbeResult = Reachability::ProbeResult;
using EndedBy = Reachability::EndedBy;

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

TEST(Reachability, ReadyOfficeIsDialledAtOnceAndDrainingOneForItsCallsAndReleases) {
  Reachability r = ready_at_start();
  EXPECT_LE(r.dial_at(false, false), at(0s));
  r.update(entry(ServerState::draining));
  EXPECT_EQ(r.dial_at(false, false), Time::max());
  EXPECT_LE(r.dial_at(false, true), at(0s));  // a release waits
  r.set_calls_established(true);
  EXPECT_LE(r.dial_at(false, false), at(0s));  // calls are established
}
TEST(Reachability, FailureIsRetriedAfterAnIntervalAndForSetUpsAtOnce) {
  Reachability r = ready_at_start();
  EXPECT_FALSE(r.dial_failed(DialResult::refused, at(1s)));  // it was never up: no call ends
  EXPECT_EQ(r.dial_at(false, false), at(1250ms));
  EXPECT_LE(r.dial_at(true, false), at(1s));
  r.update(entry());  // the list names it: at once
  EXPECT_LE(r.dial_at(false, false), at(1s));
}
TEST(Reachability, RefusalAfterAConnectionIsADeathOnceUntilARestart) {
  Reachability r = up_at_start(true);
  r.disconnected(at(1s), EndedBy::office);
  EXPECT_EQ(r.dial_at(false, false), at(1020ms));
  EXPECT_FALSE(r.dial_failed(DialResult::failed, at(1020ms)));  // unreachable is not dead yet
  EXPECT_TRUE(r.dial_failed(DialResult::refused, at(1270ms)));
  EXPECT_FALSE(r.dial_failed(DialResult::refused, at(2s)));
  EXPECT_EQ(r.dial_at(false, true), Time::max());  // another process may have the address
  EXPECT_LE(r.dial_at(true, false), at(2s));       // but a set-up tries it
  r.update(entry());
  EXPECT_EQ(r.dial_at(false, false), Time::max());  // listed again, not as restarted
  EXPECT_TRUE(r.update(entry(ServerState::ready, 5000)));
  EXPECT_LE(r.dial_at(false, false), at(2s));
}
TEST(Reachability, QuietConnectionIsProbedWhileCallsAreEstablished) {
  Reachability r = up_at_start(false);
  EXPECT_EQ(r.probe_at(), Time::max());  // no probe is needed
  r.set_calls_established(true);
  EXPECT_EQ(r.probe_at(), at(2500ms));
  r.received(at(2s));
  EXPECT_EQ(r.probe_at(), at(4500ms));
}
TEST(Reachability, UnansweredSetUpIsProbedSooner) {
  Reachability r = up_at_start(true);
  EXPECT_TRUE(r.set_up_sent(at(1s)));
  EXPECT_FALSE(r.set_up_sent(at(1800ms)));  // counts from the first
  EXPECT_EQ(r.probe_at(), at(2s));
  r.received(at(1900ms));
  EXPECT_EQ(r.probe_at(), at(4400ms));
}
TEST(Reachability, SilenceIsALossOnlyAfterTheTimeoutWithoutANewConnection) {
  Reachability r = up_at_start(true);
  EXPECT_EQ(r.probed(DialResult::failed, at(3s)), ProbeResult::wait);
  EXPECT_EQ(r.probe_at(), at(3250ms));
  EXPECT_EQ(r.probed(DialResult::failed, at(5500ms - 1ns)), ProbeResult::wait);
  EXPECT_EQ(r.probed(DialResult::failed, at(5500ms)), ProbeResult::lost);
  EXPECT_EQ(r.dial_at(false, false), Time::max());
  EXPECT_FALSE(r.dial_failed(DialResult::refused, at(6s)));  // its calls have already been dropped
}
TEST(Reachability, ProbeThatComesUpReplacesTheOldConnection) {
  Reachability r = up_at_start(true);
  EXPECT_EQ(r.probed(DialResult::connected, at(3s)), ProbeResult::replaced);
  r.disconnected(at(3s), EndedBy::this_side);
  r.connected(at(3s));
  EXPECT_EQ(r.probe_at(), at(5500ms));
}
// Guards against calls that are cut while an office that accepts no more connections holds them.
TEST(Reachability, RefusedProbeIsNoLossHoweverLongTheConnectionIsQuiet) {
  Reachability r = up_at_start(true);
  EXPECT_EQ(r.probed(DialResult::refused, at(3s)), ProbeResult::refused);
  EXPECT_EQ(r.probe_at(), at(4s));
  EXPECT_EQ(r.probed(DialResult::refused, at(60s)), ProbeResult::refused);
  EXPECT_FALSE(r.was_unreachable());
  EXPECT_EQ(r.probed(DialResult::failed, at(61s)), ProbeResult::wait) << "the machine was there at 60 s";
  EXPECT_EQ(r.probed(DialResult::failed, at(65500ms - 1ns)), ProbeResult::wait);
  EXPECT_EQ(r.probed(DialResult::failed, at(65500ms)), ProbeResult::lost) << "silent and out of reach";
}
TEST(Reachability, RefusalAfterARefusedProbeIsADeathOnceTheOfficeHasEndedTheConnection) {
  Reachability r = up_at_start(true);
  EXPECT_EQ(r.probed(DialResult::refused, at(3s)), ProbeResult::refused);
  r.disconnected(at(6s), EndedBy::office);
  EXPECT_TRUE(r.dial_failed(DialResult::refused, at(6020ms)));
}
TEST(Reachability, RefusalAfterAConnectionThatThisSideEndedIsALossOnlyAfterTheTimeout) {
  Reachability r = up_at_start(true);
  r.disconnected(at(1s), EndedBy::this_side);
  EXPECT_FALSE(r.dial_failed(DialResult::refused, at(1020ms)));
  EXPECT_EQ(r.dial_at(false, false), at(1270ms));
  EXPECT_FALSE(r.dial_failed(DialResult::refused, at(5500ms - 1ns)));
  EXPECT_TRUE(r.dial_failed(DialResult::refused, at(5500ms)));
  EXPECT_FALSE(r.dial_failed(DialResult::refused, at(6s))) << "once";
}
// Guards against calls that go on for their callers after their machine has restarted, and against calls that
// are cut though only their connection was silent: a second connection must have failed.
TEST(Reachability, OfficeWasUnreachableOnceAProbeHasFailedUntilItIsHeardAgain) {
  Reachability r = up_at_start(true);
  EXPECT_FALSE(r.was_unreachable()) << "silence alone";
  EXPECT_EQ(r.probed(DialResult::failed, at(3s)), ProbeResult::wait);
  EXPECT_TRUE(r.was_unreachable());
  EXPECT_EQ(r.probed(DialResult::connected, at(4s)), ProbeResult::replaced);
  EXPECT_TRUE(r.was_unreachable()) << "while the old connection is left";
  r.connected(at(4s));
  EXPECT_FALSE(r.was_unreachable());
  EXPECT_EQ(r.probed(DialResult::failed, at(7s)), ProbeResult::wait);
  r.received(at(7100ms));
  EXPECT_FALSE(r.was_unreachable());
}
TEST(Reachability, WithoutEstablishedCallsAnUnreachableOfficeProvesNothing) {
  Reachability r = up_at_start(false);
  EXPECT_EQ(r.probed(DialResult::failed, at(3s)), ProbeResult::wait);
  EXPECT_FALSE(r.was_unreachable());
}
// If the connection ends before the machine falls silent, the same bound applies as to an open, quiet one.
TEST(Reachability, SilenceAfterTheConnectionHasEndedIsALossToo) {
  Reachability r = up_at_start(true);
  r.received(at(1s));
  r.disconnected(at(2s), EndedBy::office);
  EXPECT_FALSE(r.dial_failed(DialResult::failed, at(6500ms - 1ns)));
  EXPECT_TRUE(r.dial_failed(DialResult::failed, at(6500ms)));
  EXPECT_FALSE(r.dial_failed(DialResult::failed, at(7s))) << "once";
  EXPECT_EQ(r.dial_at(false, false), at(7250ms)) << "it is still dialled";
}
TEST(Reachability, NothingIsLostWithoutEstablishedCalls) {
  Reachability r = up_at_start(false);
  r.disconnected(at(2s), EndedBy::office);
  EXPECT_FALSE(r.dial_failed(DialResult::failed, at(60s)));
}
// However long a connection may take by the settings, established calls do not wait for it.
TEST(Reachability, ConnectionIsAwaitedNoLongerThanEstablishedCallsAllow) {
  Reachability r = up_at_start(true);
  EXPECT_EQ(r.dial_deadline(at(2500ms), 500ms), at(3s));
  EXPECT_EQ(r.dial_deadline(at(2500ms), 60s), at(5500ms));
  EXPECT_EQ(r.dial_deadline(at(6s), 500ms), at(6500ms));  // that bound has passed
  r.set_calls_established(false);
  EXPECT_EQ(r.dial_deadline(at(2500ms), 60s), at(62500ms));
}
// A shortage of descriptors on this host hides whether the office is there: only dials that could be made
// show it.
TEST(Reachability, LocalShortageIsNoEvidenceOfSilence) {
  Reachability open = up_at_start(true);
  open.dial_impossible(at(6s));
  EXPECT_EQ(open.probed(DialResult::failed, at(9s - 1ns)), ProbeResult::wait);
  EXPECT_EQ(open.probed(DialResult::failed, at(9s)), ProbeResult::lost);
  Reachability ended = up_at_start(true);
  ended.disconnected(at(1s), EndedBy::office);
  ended.dial_impossible(at(6s));
  EXPECT_EQ(ended.dial_deadline(at(6s), 60s), at(9s));
  EXPECT_FALSE(ended.dial_failed(DialResult::failed, at(9s - 1ns)));
  EXPECT_TRUE(ended.dial_failed(DialResult::failed, at(9s)));
}
TEST(Reachability, LocalShortageThatEndsBeforeTheSilenceChangesNothing) {
  Reachability r = up_at_start(true);
  r.dial_impossible(at(1s));
  EXPECT_EQ(r.probed(DialResult::failed, at(5500ms - 1ns)), ProbeResult::wait);
  EXPECT_EQ(r.probed(DialResult::failed, at(5500ms)), ProbeResult::lost);
}
// A process that died during the shortage is found dead: its calls were not forgotten.
TEST(Reachability, RefusalAfterALocalShortageIsADeath) {
  Reachability r = up_at_start(true);
  r.disconnected(at(1s), EndedBy::office);
  for (Duration d = 1s; d <= 7s; d += 10ms) r.dial_impossible(at(d));
  EXPECT_TRUE(r.dial_failed(DialResult::refused, at(7s)));
}

TEST(Reachability, GoneIsPermanent) {
  Reachability r = up_at_start(true);
  EXPECT_TRUE(r.update(entry(ServerState::gone)));
  EXPECT_TRUE(r.gone());
  EXPECT_EQ(r.dial_at(false, true), Time::max());
  r.update(entry());
  EXPECT_TRUE(r.gone());
}

}  // namespace
}  // namespace reeltack::membership
