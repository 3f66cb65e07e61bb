// Endpoints that die, fall silent, send spoilt lines or close a connection under a call.
#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

// A process that died refuses connections: what stood there is cut, and its caller hears of it.
TEST_F(Platform, DeadOfficeReleasesItsCalls) {
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  play(R"(
    a down
    a close
    c expect BYE #1 cause=41
  )");
}

// A connection alone owns no call: the office is dialled again, and the call goes on there.
TEST_F(Platform, StandingCallOutlivesTheOfficesConnection) {
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  play(R"(
    a close
    a wait
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16}
    c expect BYE #1 cause=16
  )");
}

// A machine that vanished leaves its connection open and quiet; here the new one comes up, so the call goes
// on.
TEST_F(Platform, QuietOfficeIsReachedOnANewConnection) {
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  play(R"(
    a wait
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16}
    c expect BYE #1 cause=16
  )");
}

// Once dead, an office is not dialled for nothing: another may have its address by now.
TEST_F(Platform, DeadOfficeIsNotDialledUntilItIsNeeded) {
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  play("a down\n a close\n c expect BYE #1 cause=41\n");
  offices_["a"] = net::listen_on({host(1), 4000});
  EXPECT_FALSE(static_cast<bool>(net::accept_one(offices_["a"], net::now() + 700ms)));
}

// Offices come and go for ever; what is kept for each must end with it.
TEST_F(Platform, GoneOfficesLeaveNothingBehind) {
  offices_["bulletin"] = net::listen_on({host(0), 2379});
  start(true, "{\"on\":false}", 2379);
  play(kBothUp);
  StandIn feed(StandIn::Kind::raw, net::accept_one(offices_["bulletin"], soon()));
  EXPECT_EQ(feed.next(), std::string("\0\0\0\0\0\0\0\1", 8));
  for (int no = 2; no < 62; ++no) {  // each new one at the address of the one before
    std::string told = discovery_event(host(1), no, no % 2 == 0 ? 0 : 2);
    told[15] = '\1';  // an id of its own
    told[16] = static_cast<char>(no / 2);
    feed.raw(told);
  }
  feed.close();  // it resumes once it has taken them all
  StandIn again(StandIn::Kind::raw, net::accept_one(offices_["bulletin"], soon()));
  EXPECT_EQ(again.next(), std::string("\0\0\0\0\0\0\0\x3d", 8));
  play(kCallStandsAtA);  // some set-ups later all threads but those of a, b and the callers have ended
  play(R"(
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16}
    c expect BYE #1 cause=16
  )");
  for (const Time until = soon(); threads() > 14 && net::now() < until;) {
    again.raw(discovery_event(host(1), 62));
    net::pause_until(net::now() + 10ms);
  }
  EXPECT_LE(threads(), 14);
}

// After spoilt bytes a connection is of no use: its set-ups broke, and the next go by a new one.
TEST_F(Platform, SpoiltLinesEndTheConnection) {
  start();
  play(kBothUp);
  for (const char* line :
       {"noise", R"({"verb":"STARTED","tag":"#1","opts":{}})", R"({"verb":"WHAT","tag":"#1"})",
        R"({"verb":"FINISH","tag":"#1","opts":{},"rc":1e9})", R"({"verb":"STARTED","tag":"7","blob":"d"})"})
    play(std::string("a send ") + line + "\na expect end\na wait");
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:400 X-Facts:dest:0 | d
    a expect START #1
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"cut short
    a close
  )");
  // No time is left for another try: 50x, or 408 where a slow machine has let the rest pass. Never an answer.
  const std::string said = peers_.at("c").next();
  EXPECT_TRUE(said.rfind("SIP/2.0 50", 0) == 0 || said.rfind("SIP/2.0 408", 0) == 0) << said;
}

// A second copy and an answer that nobody asked for change nothing.
TEST_F(Platform, AnswersThatBelongToNoCallAreLeftOut) {
  start();
  play(kBothUp);
  play(R"(
    a send {"verb":"STARTED","tag":"#9","opts":{"load":"x0:nan;x1:-5e9"},"blob":"stray"}
    a expect FINISH #9
  )");
  play(kCallStandsAtA);
  play(R"(
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"again"}
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16}
    c expect BYE #1 cause=16
  )");
}

// A set-up that had not left when its connection broke never ran: it goes on the next one.
TEST_F(Platform, ResetOfAnIdleConnectionCostsNoCall) {
  start();
  play(kBothUp);
  const linger reset{1, 0};
  ::setsockopt(peers_.at("a").fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  play("a close\na wait");
  play(kCallStandsAtA);
}

}  // namespace
}  // namespace reeltack::test
