// SIGTERM to the real program, crossing what its callers, its endpoints and other signals do.
#include "program.h"

namespace reeltack::test {
namespace {

class ShutdownCrossings : public Program {
 protected:
  // A FIFO that stays would hold up the next test with the same folder.
  void TearDown() override {
    std::filesystem::remove(dir() + "/fronts.json");
    Program::TearDown();
  }
  void terminate() {
    signal(SIGTERM);
    ASSERT_TRUE(read_log("asked to end")) << seen_;
  }
};

// As /proc/PID/status writes a set of signals.
constexpr std::uint64_t signal_bit(int which) { return std::uint64_t{1} << (which - 1); }

// The write end of the FIFO at `path`, once a reader has opened it.
net::Fd open_for_reader(const std::string& path) {
  const Time by = soon();
  net::Fd out(::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC));
  while (!out && net::now() < by) {
    net::pause_until(net::now() + 1ms);
    out = net::Fd(::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC));
  }
  return out;
}

// The signal is there before the program can take it.
TEST_F(ShutdownCrossings, TermBeforeTheProgramIsUpEndsItWell) {
  // The program waits for its fronts file until the test writes it: a program that is up waits in sigwait,
  // and the kernel shows the signals waited for there as not blocked.
  const std::string fronts = dir() + "/fronts.json";
  ::mkdir(dir().c_str(), 0700);
  configure_with(kVoice, kUsualRest);
  ASSERT_EQ(::mkfifo(fronts.c_str(), 0600), 0);
  child_ = launch(log_);
  ASSERT_GT(child_, 0);
  // It blocks these signals first of all; before that the default action would end it. Just these: a
  // sanitizer's runtime blocks every signal for a moment before main begins.
  const std::string status = "/proc/" + std::to_string(child_) + "/status";
  const auto blocks_its_signals = [&status] {
    const std::uint64_t expected = signal_bit(SIGTERM) | signal_bit(SIGINT) | signal_bit(SIGHUP);
    std::ifstream in(status);
    for (std::string line; std::getline(in, line);) {
      if (line.rfind("SigBlk:", 0) == 0) return std::stoull(line.substr(7), nullptr, 16) == expected;
    }
    return false;
  };
  const Time by = soon();
  bool blocked = blocks_its_signals();
  for (; !blocked && net::now() < by; blocked = blocks_its_signals()) net::pause_until(net::now() + 1ms);
  ASSERT_TRUE(blocked);
  signal(SIGHUP);
  signal(SIGTERM);
  net::Fd file = open_for_reader(fronts);
  ASSERT_TRUE(static_cast<bool>(file));
  std::filesystem::remove(fronts);  // both ends are open
  constexpr std::string_view kFronts = R"({"websocket":{"on":false}})";
  ASSERT_EQ(::write(file.get(), kFronts.data(), kFronts.size()), static_cast<ssize_t>(kFronts.size()));
  file.reset();
  expect_ends_well();
  EXPECT_TRUE(logged("ended: 0 requests")) << seen_;
}

TEST_F(ShutdownCrossings, TermRightAfterTheStartAnswersTheFirstRequest) {
  start_with(kVoice);
  StandIn& c = open("c", "sip");
  c.send("INVITE 0000000000000001 Subject:voice X-Patience:3000 X-Facts:dest:0 | d");
  terminate();
  play(R"(
    a wait
    a expect START #1
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 by a
  )");
  expect_ends_well();
}

// Let in before the signal, and heard of only after it.
TEST_F(ShutdownCrossings, RequestOnAConnectionThatSaidNothingBeforeTermIsAnswered) {
  start_with(kVoice);
  play(kEndpointsUp);
  open("silent", "sip");
  play("d open sip\n d send OPTIONS #9\n d expect 200 OPTIONS\n");  // so the one before it is let in
  terminate();
  play(R"(
    silent send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0 | d
    a expect START #1
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    silent expect 200 #1 by a
  )");
  expect_ends_well();
}

TEST_F(ShutdownCrossings, SecondTermAndReloadsMeanwhileChangeNothing) {
  start_with(kVoice);
  play(kEndpointsUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0 | d
    a expect START #1
  )");
  terminate();
  std::ofstream(dir() + "/config.json") << "{}";
  for (const int which : {SIGHUP, SIGTERM, SIGINT, SIGHUP}) signal(which);
  play(R"(
    d open sip
    d send INVITE #2 Subject:voice X-Patience:3000 X-Facts:dest:1 | d
    b expect START #2
    b send {"verb":"STARTED","tag":"#2","opts":{},"blob":"by b"}
    d expect 200 #2 by b
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 by a
  )");
  expect_ends_well();
  EXPECT_FALSE(logged("reload:")) << seen_;
  EXPECT_TRUE(logged("2 requests, 2 stood")) << seen_;
}

// Both endpoints hang from before the signal to the end: a call sent, one queued behind it, one on a
// connection that only then speaks. Each has one answer, and the program ends by itself.
TEST_F(ShutdownCrossings, EndpointsThatHangThroughoutDoNotKeepAnyCall) {
  // An aim so long that nothing but the end of the program's time ends the calls.
  start_with(R"([{"Name":"voice","GoalTimeNs":60000000000,"DeadlineNs":90000000000}])");
  play(kEndpointsUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:900000 X-Facts:dest:0 | d
    a expect START #1
    c send INVITE #2 Subject:voice X-Patience:900000 X-Facts:dest:1 | d
    b expect START #2
    c send INVITE #3 Subject:voice X-Patience:900000 X-Facts:dest:0 | d
    d open sip
    d send OPTIONS #9
    d expect 200 OPTIONS
  )");
  terminate();
  play("d send INVITE #4 Subject:voice X-Patience:400 | d\n d expect SIP/2.0 #4\n");
  std::string answers;
  for (int n = 0; n < 3; ++n) answers += peers_.at("c").next();
  for (const char* id : {"1", "2", "3"}) {
    const std::string line = std::string("Call-ID: 000000000000000") + id;
    const std::size_t at = answers.find(line);
    EXPECT_NE(at, std::string::npos) << answers;
    EXPECT_EQ(answers.find(line, at + 1), std::string::npos) << answers;
  }
  EXPECT_EQ(peers_.at("c").next(), "end");
  expect_ends_well();
}

// A connection resets under its attempt, and the signal falls into the wait before the retry.
TEST_F(ShutdownCrossings, CallThatAwaitsItsReleaseAtTermIsRetriedAndAnswered) {
  start_with(kVoice);
  play(kEndpointsUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:8000 X-Facts:dest:0 | d
    a expect START #1
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":41}
    a down
    a close
  )");
  terminate();
  play(R"(
    b expect START #1
    b send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by b"}
    c expect 200 #1 by b
  )");
  expect_ends_well();
}

TEST_F(ShutdownCrossings, ReleaseOfAStandingCallIsPassedOnBeforeTheEnd) {
  start_with(kVoice);
  play(kEndpointsUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0 | d
    a expect START #1
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 by a
  )");
  terminate();
  play(R"(
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16}
    c expect BYE #1 cause=16
    c expect end
  )");
  expect_ends_well();
}

// Requests go on coming on a kept connection until it closes, each with its answer: none is read and dropped.
TEST_F(ShutdownCrossings, EveryRequestOnAKeptConnectionUntilItsCloseIsAnswered) {
  start_with(kVoice);
  play(kEndpointsUp);
  StandIn& c = open("c", "sip");
  c.send("OPTIONS 0000000000000001");
  EXPECT_EQ(c.next().rfind("SIP/2.0 200", 0), 0U);
  terminate();
  int asked = 0;
  std::string answer;
  // One at a time, so that a close crosses no request but the last, and that one unanswered.
  for (const Time by = soon(); net::now() < by && answer != "end"; ++asked) {
    c.send("INVITE " + net::hex16(static_cast<std::uint64_t>(100 + asked)) +
           " Subject:voice X-Patience:0 | d");
    answer = c.next();
    if (answer != "end") {
      EXPECT_NE(answer.find("SIP/2.0 408"), std::string::npos) << answer;
    }
  }
  EXPECT_EQ(answer, "end");
  expect_ends_well();
  // All but the one that crossed the close were taken, and all that were taken were answered.
  EXPECT_TRUE(logged("ended: " + std::to_string(asked - 1) + " requests")) << asked << " " << seen_;
}

// Deadlines far below the usual ones: the end is asked for sooner, and waits for no more than they allow.
TEST_F(ShutdownCrossings, ShortDeadlinesOfAnotherCustomerAreKept) {
  start_with(R"([{"Name":"quick","GoalTimeNs":100000000,"DeadlineNs":400000000}])");
  play(kEndpointsUp);
  play(R"(
    c open sip
    c send INVITE #1 Subject:quick X-Patience:900000 X-Facts:dest:0 | d
    a expect START #1
  )");
  terminate();
  play("c expect SIP/2.0 #1\n c expect end\n");
  expect_ends_well();
}

}  // namespace
}  // namespace reeltack::test
