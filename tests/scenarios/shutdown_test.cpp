// SIGTERM: what was received is answered, and a successor takes over.
#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

TEST_F(Platform, TermAnswersWhatWasTaken) {
  start();
  play(kBothUp);
  play(kCallOpenAtA);
  ::kill(child_, SIGTERM);
  play(R"(
    d open sip
    d send INVITE #2 Subject:voice X-Patience:3000 X-Facts:dest:1 | d
    b expect START #2
    b send {"verb":"STARTED","tag":"#2","opts":{},"blob":"by b"}
    d expect 200 #2
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1
  )");
  stop();
  EXPECT_NE(seen_.find("2 requests, 2 stood"), std::string::npos) << seen_;
}

// A successor shares the limits: idle connections beyond a third of the descriptors are ended, a call's own
// is not.
TEST_F(Platform, TermLeavesASuccessorItsDescriptors) {
  sockets_ = 96;  // 57 callers, 32 from SIGTERM on
  start();
  play(kBothUp);
  play(kCallOpenAtA);
  std::vector<StandIn> others;
  for (int i = 0; i < 45; ++i) others.push_back(idle_caller());
  ::kill(child_, SIGTERM);
  const Time by = soon();
  const auto ended = [&others] {
    return std::count_if(others.begin(), others.end(), [](const StandIn& s) {
      char c;
      return ::recv(s.fd(), &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    });
  };
  while (ended() < 14 && net::now() < by) net::pause_until(net::now() + 1ms);
  EXPECT_GE(ended(), 14);  // 46 with the call's own, less 32
  play(R"(
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1
  )");
  stop();
  EXPECT_NE(seen_.find("0 left unread, 14 for room"), std::string::npos) << seen_;
}

// While a set-up is open on a connection, others may come on it, whenever SIGTERM was: each has its answer.
TEST_F(Platform, TermAnswersWhatComesOnAConnectionWithAnOpenSetUp) {
  start();
  play(kBothUp);
  // A call that is still open after the pause: one of a short aim may be refused by then.
  play("c open sip\nc send INVITE #1 Subject:patient X-Patience:9000 X-Facts:dest:0 | d\na expect START #1");
  ::kill(child_, SIGTERM);
  net::pause_until(net::now() + 1800ms);  // idle connections are ended from 1.5 s on
  StandIn& c = peers_.at("c");
  c.send("INVITE 0000000000000002 Subject:voice X-Patience:9000 X-Facts:dest:1 | d");
  const std::string answers = c.next() + c.next();  // by the offices or, from 3.35 s on, without them
  for (const char* id : {"0000000000000001", "0000000000000002"})
    EXPECT_NE(answers.find(std::string("Call-ID: ") + id), std::string::npos) << answers;
  EXPECT_EQ(c.next(), "end");
}

// A handover: a second program starts beside the first on the same ports; the first, told to end, answers
// what it took; the second takes what comes after. Each request has one final answer, from one of them.
TEST_F(Platform, ASecondProgramBesideTheFirstTakesOverAndNothingTakenIsLost) {
  mgmt_ = true;
  start();
  play(kBothUp);
  play(kCallOpenAtA);
  net::Fd second_log;
  std::string second_seen;
  const pid_t second = launch(second_log);
  ASSERT_GT(second, 0);
  ASSERT_TRUE(read_until(second_log, "is up with", second_seen)) << second_seen;  // it did not fail to listen
  ::kill(child_, SIGTERM);
  play(R"(
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 by a
  )");
  stop();  // the first has ended by itself, well
  EXPECT_NE(seen_.find("1 requests, 1 stood"), std::string::npos) << seen_;
  // Only the second listens now: it is ready, and serves a new caller.
  EXPECT_EQ(ask_mgmt("READY\n"), "OK ready\n");
  play(R"(
    d open sip
    d send INVITE #2 Subject:voice X-Patience:3000 X-Facts:dest:1 | d
  )");
  peers_["b2"] = StandIn(StandIn::Kind::lines, net::accept_one(offices_.at("b"), soon()));
  play(R"(
    b2 expect START #2
    b2 send {"verb":"STARTED","tag":"#2","opts":{},"blob":"by the second"}
    d expect 200 #2 by the second
  )");
  end_well(second, second_log, second_seen);
  EXPECT_NE(second_seen.find("1 requests, 1 stood"), std::string::npos) << second_seen;
}

// The kill follows the longest deadline, counted as 3 s, by 0.7 s: what waits longer is answered before.
TEST_F(Platform, TermLeavesNothingForTheKill) {
  start();
  play(kBothUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:patient X-Patience:3000000 X-Facts:dest:0 | d
    a expect START #1
  )");
  ::kill(child_, SIGTERM);
  play("c expect 500 #1");  // by itself only after 50 minutes
}

}  // namespace
}  // namespace reeltack::test
