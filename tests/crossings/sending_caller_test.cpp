// Callers that send without a pause, so that bytes of theirs are under way whenever our side could close.
#include <atomic>

#include "connection.h"
#include "program.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

// A connection whose kernel holds a further whole line after each read.
class NeverPauses : public ::testing::Test {
 protected:
  void SetUp() override {
    c_.near->before_it_takes = [this] { c_.send("line\n"); };
    c_.send("line\n");
  }
  void turn() { c_.near->handle_event(true); }
  void expect_each_line_answered(const std::string& last, const std::string& end) const {
    ASSERT_TRUE(await_kernel([this] { return c_.far.far_end_closed(); })) << "it is not closed";
    std::string expected;
    for (int n = 0; n < c_.near->lines; ++n) expected += "line\n";
    EXPECT_EQ(c_.read_to_end(), expected + last + end);
  }
  Connection c_;
};

// What was read is answered; what comes later crosses our close; the far end closes in turn.
TEST_F(NeverPauses, IsReadWithinABoundAnsweredAndClosed) {
  c_.near->opened(CallId{1});
  c_.near->close_by(net::kNever);
  turn();
  const int lines = c_.near->lines;
  EXPECT_GT(lines, 0);
  for (int turns = 0; turns < 20; ++turns) {
    c_.send("line\n");
    turn();
  }
  EXPECT_EQ(c_.near->lines, lines) << "read after the last time";
  EXPECT_FALSE(c_.over) << "a set-up is open";
  EXPECT_EQ(c_.near->lefts, 0);
  ASSERT_TRUE(c_.near->push("answer\n"));
  c_.near->closed(CallId{1});
  c_.send("line\n");
  turn();
  expect_each_line_answered("answer\n", "|end");
  EXPECT_FALSE(c_.over) << "closing both ways now would reset the answers";
  c_.close_far();
  turn();
  EXPECT_TRUE(c_.over);
  EXPECT_EQ(c_.near->lines, lines);
  EXPECT_EQ(c_.near->end_reason(), net::Peer::EndReason::local);
}

// It sends on after our close: the connection is over by the time that was told, not before its answers.
TEST_F(NeverPauses, IsOverInTimeThoughItSendsOn) {
  c_.near->opened(CallId{1});
  c_.near->close_by(net::now());
  turn();
  turn();
  EXPECT_FALSE(c_.over) << "a set-up is open";
  ASSERT_TRUE(c_.near->push("answer\n"));
  c_.near->closed(CallId{1});
  turn();
  ASSERT_TRUE(c_.over);
  c_.near.reset();  // with its descriptor
  const std::string read = c_.read_to_end();
  EXPECT_NE(read.find("answer\n|"), std::string::npos) << read;
}

// Nor does one that reads nothing keep the connection.
TEST_F(NeverPauses, IsOverInTimeThoughItReadsNothing) {
  const std::string much(8000, 'x');
  for (int n = 0; n < 5000 && !c_.near->behind(); ++n) {
    ASSERT_TRUE(c_.near->push(much));
  }
  ASSERT_TRUE(c_.near->behind());
  c_.near->close_by(net::now());
  turn();
  turn();
  EXPECT_TRUE(c_.over);
}

// The whole program: it ends by itself, and all the requests that it has taken are answered.
class NeverPausingCaller : public Program {};

TEST_F(NeverPausingCaller, DoesNotKeepTheProgramFromItsEnd) {
  start_with(R"([{"Name":"quick","GoalTimeNs":100000000,"DeadlineNs":400000000}])");
  play(kEndpointsUp);
  StandIn& c = open("c", "sip");
  std::atomic<bool> ended{false};
  std::atomic<bool> begun{false};
  base::Thread sender([&] {
    for (std::uint64_t call = 1; !ended; ++call) {
      c.send("INVITE " + net::hex16(call) + " Subject:quick X-Patience:0 | d");
      begun = true;
    }
  });
  EXPECT_TRUE(await_kernel([&] { return begun.load(); }));
  signal(SIGTERM);
  int late = 0;
  int without_memory = 0;
  std::string answer = c.next();
  for (const Time by = soon(); net::now() < by; answer = c.next()) {
    if (answer.rfind("SIP/2.0 408", 0) == 0) {
      ++late;
    } else if (answer.rfind("SIP/2.0 503", 0) == 0) {
      ++without_memory;
    } else {
      break;
    }
  }
  EXPECT_EQ(answer, "end");
  ended = true;
  if (answer != "end") signal(SIGKILL);  // else its sender would wait for ever
  sender.join();
  expect_ends_well();
  EXPECT_TRUE(logged("ended: " + std::to_string(late) + " requests")) << late << " " << seen_;
  // Where the core waits for a processor, requests fill the caller's share of the memory; no other is
  // refused.
  EXPECT_TRUE(logged(" " + std::to_string(without_memory) + " refused for want of memory"))
      << without_memory << " " << seen_;
}

}  // namespace
}  // namespace reeltack::test
