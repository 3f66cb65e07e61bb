// A call from INVITE to its release, through the real program.
#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

TEST_F(Platform, CallIsSetUpAndReleasedByTheOffice) {
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  play(R"(
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16}
    c expect BYE #1 cause=16
  )");
}

TEST_F(Platform, CallerReleasesOnAnotherConnection) {
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  play(R"(
    c close
    d open sip
    d send BYE #1 Reason:Q.850;cause=16
    d expect 200 #1 BYE
    a expect "verb":"FINISH" "tag":"#1" "rc":16
  )");
}

// Known traffic through the stand-in offices; the figures must be what the offices and callers saw, exactly.
TEST_F(Platform, FiguresAreWhatTheOfficesAndCallersSaw) {
  mgmt_ = true;
  start();
  EXPECT_EQ(await_ready(), "OK ready\n");
  play(kBothUp);
  play(kCallStandsAtA);  // voice: stands, one attempt
  play(R"(
    c send INVITE #2 Subject:urgent X-Patience:3000 X-Facts:dest:0;width:1 | d
    a expect START #2
    a send {"verb":"FINISH","tag":"#2","opts":{"note":"blocked"},"rc":34}
    b expect START #2
    b send {"verb":"STARTED","tag":"#2","opts":{},"blob":"by b"}
    c expect 200 #2 by b
    c send INVITE #4 Subject:nosuch X-Patience:3000 X-Facts:dest:0 | d
    c expect #4 INVITE
  )");
  // The offices saw three START lines, the callers two 200s; an unknown class is counted nowhere.
  const std::string stats = ask_mgmt("STATS\n");
  EXPECT_EQ(stats,
            "OK\n"
            "proxy.success.voice=1\nproxy.success.urgent=1\nproxy.success.patient=0\n"
            "proxy.busy.voice=0\nproxy.busy.urgent=0\nproxy.busy.patient=0\n"
            "proxy.failure.voice=0\nproxy.failure.urgent=0\nproxy.failure.patient=0\n"
            "proxy.backend_calls=3\nproxy.inflight=2\nproxy.hosts_listed=2\nproxy.hosts_down=0\nEND\n");
  EXPECT_EQ(ask_mgmt("NOPE\n").rfind("ERR unknown verb", 0), 0u);
  // Released by either side, they are in flight no more.
  play(R"(
    b send {"verb":"FINISH","tag":"#2","opts":{},"rc":16}
    c expect BYE #2 cause=16
    c send BYE #1
    c expect 200 BYE
    a expect FINISH #1
  )");
  EXPECT_TRUE(await_figure("proxy.inflight=0\n"));
  play("b down\n b close\n");
  EXPECT_TRUE(await_figure("proxy.hosts_down=1\n"));
}

TEST_F(Platform, FullOfficeIsLeftForTheOther) {
  start();
  play(kBothUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0;width:1 | d
    a expect START #1
    a send {"verb":"FINISH","tag":"#1","opts":{"note":"blocked"},"rc":34}
    b expect START #1
    b send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by b"}
    c expect 200 #1 by b
  )");
}

TEST_F(Platform, CancelIsAnsweredOnceAndGivenUpAtTheOffice) {
  start();
  play(kBothUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0 | d
    a expect START #1
    c send CANCEL #1
    c expect 200 #1 CANCEL
    c expect 487 #1 INVITE
    a expect FINISH #1 "rc":16
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"late"}
    a expect FINISH #1 "rc":16
    c send OPTIONS #9
    c expect 200 OPTIONS
  )");
}

TEST_F(Platform, DeadlineEndsACallThatNobodyAnswers) {
  start();
  play(kBothUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:400 X-Facts:dest:0 | d
    a expect START #1
    a expect FINISH #1 "rc":16
    c expect 408 #1 INVITE
  )");
}

TEST_F(Platform, CallerThatDropsLeavesNothingAtTheOffice) {
  start();
  play(kBothUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0 | d
    a expect START #1
    c close
    a expect FINISH #1 "rc":16
  )");
}

// Refused, a caller hears when to come back.
TEST_F(Platform, RefusedCallersAreAdvised) {
  start();
  play(kBothUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0 | d
    a expect START #1
    a send {"verb":"FINISH","tag":"#1","opts":{"note":"swamped"},"rc":34}
    b expect START #1
    b send {"verb":"FINISH","tag":"#1","opts":{"note":"swamped"},"rc":34}
    c expect 503 #1 X-Later-Ms:
  )");
}

// What no office would check, and what belongs to another's call, never becomes a call.
TEST_F(Platform, SetUpsThatMeanNothingAreRefused) {
  start();
  play(kBothUp);
  int id = 2;
  for (const char* facts :
       {"dest:nan", "dest:-3", "dest:70000", "width:0", "width:400", "x", "dest:", "again:no"}) {
    play("c" + std::to_string(id) + " open sip\nc" + std::to_string(id) + " send INVITE #" +
         std::to_string(id) + " Subject:voice X-Patience:3000 X-Facts:" + facts + " | d\nc" +
         std::to_string(id) + " expect 400");
    ++id;
  }
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0;width:1;via:-1 | mine
    a expect START #1 mine
    d open sip
    d send INVITE #1 Subject:voice X-Patience:3000 | another
    d expect 482 #1
    d send INVITE #1 Subject:urgent X-Patience:3000 | mine
    d expect 482 #1
    d send INVITE #9 Subject:nothing X-Patience:3000 | d
    d expect 488 #9
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 by a
    d send INVITE #1 Subject:voice X-Patience:3000 | mine
    d expect 482 #1
  )");
}

// The same set-up again, as after a close that it crossed: its answer goes where the caller is now.
TEST_F(Platform, RepeatedSetUpMovesItsAnswer) {
  start();
  play(kBothUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0 | mine
    a expect START #1
    d open sip
    d send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0 | mine
    d send OPTIONS #2
    d expect 200 OPTIONS
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    d expect 200 #1 by a
  )");
}

TEST_F(Platform, TestPassesOnlyWithOfficesKnown) {
  start(false);
  play(R"(
    c open sip
    c send OPTIONS #1
    c expect 503 OPTIONS
  )");
}

}  // namespace
}  // namespace reeltack::test
