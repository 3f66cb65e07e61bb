// Failures found in the queue of calls: redials, busy numbers, levels and worth; each test fails without its
// answer.
#include "gateway.h"

namespace reeltack::test {
namespace {

// Found on i2c5d13 and in every overload: redials whose aim was over took the place of calls that could earn.
TEST(Redials, TheAimRunsFromTheFirstTry) {
  Gateway g;
  g.list({ready(10, 0)});
  warm_up(g, 0, 1, 200ms);
  g.arrive(100, 0, 0, 3s, 555);
  g.arrive(101, 0, 0, 3s, 556);
  g.pass(1s);  // the slot stays taken: 101 is refused
  ASSERT_TRUE(g.was_refused(101));
  g.stands(100);
  g.pass(1s);
  g.arrive(300, 0, 0, 3s, 600);
  g.arrive(301, 0, 0, 3s, 556, true);  // the redial of 101, 2 s after its first try: late
  for (std::uint64_t id = 302; id < 309; ++id) g.arrive(id, 0, 0, 3s, id);
  g.pass(200ms);
  const std::size_t before = g.sends.size();
  g.stands(300);  // eight wait; only those that can still earn their worth may go
  g.pass(600ms);  // for a turn, as the server did not answer soon
  ASSERT_GT(g.sends.size(), before);
  EXPECT_EQ(g.sends[before].call, CallId{302});
  EXPECT_EQ(g.sent_count(301), 0U);
}

TEST(Redials, AreForgottenAfterTheDeadline) {
  Gateway g;
  g.list({});
  for (std::uint64_t id = 1; id <= 50; ++id) g.arrive(id, 0, 0, 500ms, 1000 + id);
  g.pass(1s);
  ASSERT_EQ(g.refused.size(), 50U);
  g.list({ready(10, 0)});
  g.pass(20s);
  warm_up(g, 0, 100, 50ms);
  g.arrive(500, 0, 0, 3s, 1001, true);
  EXPECT_EQ(g.sends.back().call, CallId{500});
}

// Found on i7b26a4: with lines short the delay stayed small while the queue hardly moved, so levels did not
// act.
TEST(SlowDrain, LevelsActWhenSendsAreFarApartThoughAnswersAreQuick) {
  Gateway g;
  g.list({ready(10, 0)});
  std::uint64_t id = 1;
  for (; id <= 20; ++id) g.arrive(id);
  for (std::uint64_t n = 1; n <= 8; ++n) {  // answers take 20 ms, but lines for one set-up come each 200 ms
    g.pass(20ms);
    if (g.book()[CallId{n}].out) g.stands(n);
    g.lines(10, 0.0);
    g.pass(180ms);
    g.lines(10, 6.0);
    g.lines(10, 6.0);
  }
  const std::size_t before = g.sends.size();
  ASSERT_GE(before, 5U);
  for (; id <= 60; ++id) g.arrive(id);
  EXPECT_GT(g.refused.size(), 10U);  // at 20 ms each all would have been taken
}

// Found on i60e509: a crowd calling one busy number filled the slots with set-ups that all came back busy.
TEST(BusyNumber, FurtherCallsToItAreRefusedForAnAimAndThenWaitBehindAllOthers) {
  Gateway g;
  g.list({ready(10, 0)});
  warm_up(g, 0, 1, 200ms);
  g.arrive(100, 0, 0, 3s, 777);
  g.pass(200ms);
  g.ends(100, AttemptOutcome::busy_or_error, FullReason::unknown, true);
  g.arrive(101, 1, 0, 3s, 777);
  EXPECT_TRUE(g.was_refused(101));
  g.pass(1600ms);
  g.arrive(300, 0, 0, 3s, 600);
  g.arrive(301, 1, 0, 3s, 777);
  EXPECT_FALSE(g.was_refused(301));
  for (std::uint64_t id = 302; id < 310; ++id) g.arrive(id, 0, 0, 3s, id);
  g.pass(200ms);
  g.stands(300);
  EXPECT_EQ(g.sends.back().call, CallId{302});
}

// Found on a calm day of the real program (seed 3): calls of worth 1 that had queued long went before those
// of worth 3, a tenth of which ran out of time.
TEST(LongQueue, OfLittleWorthHoldsUpNoCallOfMore) {
  Gateway g;
  g.list({ready(10, 0)});
  warm_up(g, 0, 1, 80ms);
  for (std::uint64_t id = 100; id < 110; ++id) g.arrive(id);  // 0.8 s of work before the next
  g.arrive(200, 1);
  g.pass(80ms);
  g.stands(100);
  EXPECT_EQ(g.sends.back().call, CallId{200});
}

// Found on the same day: of two classes of like worth, the one with the shorter aim was hardly served at all.
TEST(LongQueue, DoesNotStarveTheClassOfLikeWorthThatIsServedWorst) {
  Settings settings = plain_settings();
  settings.classes = {{.aim = 2500ms, .deadline = 9s, .worth = 1.0},
                      {.aim = 1500ms, .deadline = 9s, .worth = 1.0}};
  Gateway g(settings);
  g.list({ready(10, 0)});
  std::map<std::uint32_t, int> stood;
  for (std::uint64_t id = 1; id < 1200; ++id) {  // each of the two offers more than the server's 20 a second
    g.arrive(id, static_cast<std::uint32_t>(id % 2));
    g.pass(20ms);
    const CallId out = g.sends.back().call;
    if (id % 3 != 0 || !g.book()[out].out) continue;
    ++stood[static_cast<std::uint32_t>(static_cast<std::uint64_t>(out) % 2)];
    g.stands(static_cast<std::uint64_t>(out));
  }
  EXPECT_GT(stood[1], stood[0] / 2);
  EXPECT_GT(stood[0], stood[1] / 2);
}

}  // namespace
}  // namespace reeltack::test
