// Known failures of the queues: redials, busy numbers, levels and worth. Each test fails without the code
// that handles it.
#include "gateway.h"

namespace reeltack::test {
namespace {

// In every overload, redials whose aim had passed took the place of calls that could still earn their worth.
TEST(Redials, TheAimRunsFromTheFirstTry) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  warm_up(g, 0, 1, 200ms);
  g.arrive(100, 0, 0, 3s, 555);
  g.arrive(101, 0, 0, 3s, 556);
  g.advance(1s);  // the set-up of call 100 stays pending: call 101 is refused
  ASSERT_TRUE(g.was_refused(101));
  g.establish(100);
  g.advance(1s);
  g.arrive(300, 0, 0, 3s, 600);
  g.arrive(301, 0, 0, 3s, 556, true);  // the redial of call 101, 2 s after its first try: late
  for (std::uint64_t id = 302; id < 309; ++id) g.arrive(id, 0, 0, 3s, id);
  g.advance(200ms);
  const std::size_t before = g.sends.size();
  g.establish(300);  // eight calls wait; only those that can still earn their worth may be sent
  g.advance(600ms);  // until the next send slot, since the server did not answer quickly
  ASSERT_GT(g.sends.size(), before);
  EXPECT_EQ(g.sends[before].call, CallId{302});
  EXPECT_EQ(g.sent_count(301), 0U);
}

TEST(Redials, AreForgottenAfterTheDeadline) {
  Gateway g;
  g.receive_list({});
  for (std::uint64_t id = 1; id <= 50; ++id) g.arrive(id, 0, 0, 500ms, 1000 + id);
  g.advance(1s);
  ASSERT_EQ(g.refused.size(), 50U);
  g.receive_list({ready(10, 0)});
  g.advance(20s);
  warm_up(g, 0, 100, 50ms);
  g.arrive(500, 0, 0, 3s, 1001, true);
  EXPECT_EQ(g.sends.back().call, CallId{500});
}

// While lines are scarce, the delay stays small although the queue hardly moves; the levels must take effect
// all the same.
TEST(SlowDrain, LevelsTakeEffectWhenSendsAreRareThoughAnswersAreQuick) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  std::uint64_t id = 1;
  for (; id <= 20; ++id) g.arrive(id);
  for (std::uint64_t n = 1; n <= 8; ++n) {  // answers take 20 ms, but a line becomes free only every 200 ms
    g.advance(20ms);
    if (g.calls()[CallId{n}].pending) g.establish(n);
    g.report_lines(10, 0.0);
    g.advance(180ms);
    g.report_lines(10, 6.0);
    g.report_lines(10, 6.0);
  }
  const std::size_t before = g.sends.size();
  ASSERT_GE(before, 5U);
  for (; id <= 60; ++id) g.arrive(id);
  EXPECT_GT(g.refused.size(), 10U);  // at 20 ms each, all would have been accepted
}

// Many calls to one busy number occupied the servers with set-ups that were all answered busy.
TEST(BusyNumber, FurtherCallsToItAreRefusedForAnAimAndThenWaitBehindAllOthers) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  warm_up(g, 0, 1, 200ms);
  g.arrive(100, 0, 0, 3s, 777);
  g.advance(200ms);
  g.end_attempt(100, AttemptOutcome::busy_or_error, FullReason::unknown, true);
  g.arrive(101, 1, 0, 3s, 777);
  EXPECT_TRUE(g.was_refused(101));
  g.advance(1600ms);
  g.arrive(300, 0, 0, 3s, 600);
  g.arrive(301, 1, 0, 3s, 777);
  EXPECT_FALSE(g.was_refused(301));
  for (std::uint64_t id = 302; id < 310; ++id) g.arrive(id, 0, 0, 3s, id);
  g.advance(200ms);
  g.establish(300);
  EXPECT_EQ(g.sends.back().call, CallId{302});
}

// Calls of worth 1 that had waited long were sent before those of worth 3, a tenth of which ran out of time.
TEST(LongQueue, OfLittleWorthDoesNotDelayACallOfMoreWorth) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  warm_up(g, 0, 1, 80ms);
  for (std::uint64_t id = 100; id < 110; ++id) g.arrive(id);  // 0.8 s of work before the next
  g.arrive(200, 1);
  g.advance(80ms);
  g.establish(100);
  EXPECT_EQ(g.sends.back().call, CallId{200});
}

// Of two classes of equal worth, the one with the shorter aim was hardly served at all.
TEST(LongQueue, DoesNotStarveAClassOfEqualWorthWithAShorterAim) {
  Settings settings = plain_settings();
  settings.classes = {{.aim = 2500ms, .deadline = 9s, .worth = 1.0},
                      {.aim = 1500ms, .deadline = 9s, .worth = 1.0}};
  Gateway g(settings);
  g.receive_list({ready(10, 0)});
  std::map<std::uint32_t, int> established;  // by class
  for (std::uint64_t id = 1; id < 1200;
       ++id) {  // each class offers more than the 20 calls per second of the server
    g.arrive(id, static_cast<std::uint32_t>(id % 2));
    g.advance(20ms);
    const CallId latest = g.sends.back().call;
    if (id % 3 != 0 || !g.calls()[latest].pending) continue;
    ++established[static_cast<std::uint32_t>(static_cast<std::uint64_t>(latest) % 2)];
    g.establish(static_cast<std::uint64_t>(latest));
  }
  EXPECT_GT(established[1], established[0] / 2);
  EXPECT_GT(established[0], established[1] / 2);
}

}  // namespace
}  // namespace reeltack::test
