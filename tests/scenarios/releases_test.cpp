// Releases of standing calls whose connection, endpoint or controller went away meanwhile.
#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

TEST_F(Platform, ReleaseReachesTheCallerOnAnyOpenConnection) {
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  play(R"(
    d open sip
    d send OPTIONS #9
    d expect 200 OPTIONS
    c close
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":41}
    d expect BYE #1 cause=41
  )");
}

// No connection is open when the office releases: the release waits for the next caller, and one that has
// left before it was let in is not that one.
TEST_F(Platform, OwedReleaseIsNotSpentOnACallerThatHasLeft) {
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  play("c close");
  play(R"(a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16})");
  net::pause_until(net::now() + 100ms);  // the release is owed now; later, it goes to d all the same
  ::kill(child_, SIGSTOP);               // lets the kernel take in both before the program does
  net::dial({host(0), 5000}, soon()).fd.reset();
  StandIn& d = open("d", "sip");
  ::kill(child_, SIGCONT);
  const std::string told = d.next();
  EXPECT_NE(told.find("BYE "), std::string::npos) << told;
  EXPECT_NE(told.find("0000000000000001"), std::string::npos) << told;
}

// A release that crosses its caller's close has been written and is never read: it goes by another
// connection. One that the caller has heard does not.
TEST_F(Platform, ReleaseThatCrossesItsCallersCloseGoesByAnotherConnection) {
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  play(R"(
    d open sip
    d send OPTIONS #9
    d expect 200 OPTIONS
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16}
  )");
  char byte = 0;
  ASSERT_EQ(::recv(peers_.at("c").fd(), &byte, 1, MSG_PEEK), 1);  // it has come, and is not read
  play("c close\nd expect BYE #1 cause=16\nd close\n");
}

TEST_F(Platform, ReleaseThatItsCallerHasHeardIsNotSaidAgain) {
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  play(R"(
    d open sip
    d send OPTIONS #9
    d expect 200 OPTIONS
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16}
    c expect BYE #1 cause=16
  )");
  peers_.at("c").raw(
      "SIP/2.0 200 OK\r\nCall-ID: 0000000000000001\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n");
  play(R"(
    c close
    e open sip
    e send OPTIONS #8
    e expect 200 OPTIONS
    d send OPTIONS #9
    d expect 200 OPTIONS
  )");
}

// Its calls outlive a controller; the office tells the next one, which must tell the caller.
TEST_F(Platform, ReleaseOfACallFromBeforeTheStartReachesTheCaller) {
  start();
  play(kBothUp);
  play(R"(
    c open sip
    c send OPTIONS #9
    c expect 200 OPTIONS
    a send {"verb":"FINISH","tag":"#7","opts":{},"rc":16}
    c expect BYE #7 cause=16
  )");
}

// Its connection is cut off but open, while set-ups go on being tried there: a new one brings what the old
// one did not.
TEST_F(Platform, ReleaseOnADeadConnectionComesWithTheNextOne) {
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  play(R"(
    c send INVITE #2 Subject:patient X-Patience:9000 X-Facts:dest:0 | d
    a expect START #2
  )");
  StandIn dead = std::move(peers_["a"]);
  const Time from = net::now();
  play(R"(
    a wait
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16}
    c expect BYE #1 cause=16
  )");
  EXPECT_LT(net::now(), from + 6s);  // not only once nothing more is tried there
}

}  // namespace
}  // namespace reeltack::test
