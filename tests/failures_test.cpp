// One test for each known failure of servers; each fails without the code that handles it.
#include "gateway.h"

namespace reeltack::test {
namespace {

// Some set-ups are never answered; they must not stay pending until their callers leave.
TEST(LostSetUp, ExpiresFarBeyondTheMeasuredDelayAndIsSentAgain) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  warm_up(g, 0, 1, 80ms);
  g.arrive(100);
  const Time expires_at = g.sends.back().expires_at;
  EXPECT_LT(expires_at, g.now + 1s);
  EXPECT_GE(expires_at, g.now + 160ms);
  g.advance(expires_at - g.now);
  g.end_attempt(100, AttemptOutcome::timeout);
  g.advance(700ms);
  EXPECT_EQ(g.sent_count(100), 2U);
}

// A lost answer must not block a quick server for many times its delay.
TEST(LostSetUp, IsPendingAtAQuickServerNoLongerThanItsDelaysJustifyAndLongerEachTime) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  std::uint64_t id = 1;
  std::vector<Duration> patience;
  for (int n = 0; n < 26; ++n, ++id) {
    g.arrive(id, 0, 0, 8s);
    for (int i = 0; i < 100 && !g.calls()[CallId{id}].pending; ++i) g.advance(20ms);
    ASSERT_TRUE(g.calls()[CallId{id}].pending) << id;
    if (n >= 20) patience.push_back(g.sends.back().expires_at - g.now);
    g.advance(n < 20 || n == 23 ? 30ms : patience.back());
    n < 20 || n == 23 ? g.establish(id) : g.end_attempt(id, AttemptOutcome::timeout);
    if (n >= 20) g.caller_leaves(id);
  }
  EXPECT_LE(patience[0], 250ms);                // answers came within 30 ms, for an aim of 2 s
  EXPECT_GT(patience[1], patience[0] * 3 / 2);  // the server may be slow after all
  EXPECT_GT(patience[2], patience[1] * 3 / 2);
  EXPECT_LT(patience[4], patience[2]);  // back to the earlier value after an answer
}

// One loss must not count as a delay, nor keep other calls from a server that answers.
TEST(LostSetUp, DoesNotMakeTheServerLookSlow) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  warm_up(g, 0, 1, 80ms);
  g.arrive(100);
  g.advance(800ms);
  g.end_attempt(100, AttemptOutcome::timeout);
  g.advance(110ms);
  for (std::uint64_t id = 200; id < 212; ++id) g.arrive(id);  // drains in about 1 s at 80 ms each
  EXPECT_TRUE(g.refused.empty());
  EXPECT_EQ(g.sends.back().call, CallId{200});
}

TEST(StuckServer, CallsWaitingForItGoToAnIdleOne) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  warm_up(g, 0, 1, 80ms);
  warm_up(g, 1, 20, 80ms);
  g.arrive(100, 0, 0);
  g.arrive(101, 0, 0);
  g.advance(700ms);
  EXPECT_TRUE(g.sent_to(101, 11));
}

TEST(FailingServer, IsBackedOffLongerWithEachFailureAndThenGetsATrial) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  std::vector<Duration> gaps;
  Time ended = g.now;
  for (std::uint64_t id = 1; id < 400 && gaps.size() < 6; ++id) {
    g.arrive(id);
    if (g.calls()[CallId{id}].pending || (!g.sends.empty() && g.calls()[g.sends.back().call].pending)) {
      gaps.push_back(g.now - ended);
      g.end_attempt(static_cast<std::uint64_t>(g.sends.back().call), AttemptOutcome::connect_failed);
      ended = g.now;
    }
    g.advance(50ms);
  }
  ASSERT_EQ(gaps.size(), 6U);
  EXPECT_LT(gaps[1], gaps[3]);
  EXPECT_LT(gaps[3], gaps[5]);
  EXPECT_LE(gaps[5], 5s);
}

// A server that resets nearly half of the set-ups still establishes the others.
TEST(FailingServer, IsNotBackedOffLongWhileOtherCallsAreServed) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  warm_up(g, 0, 1, 80ms);
  std::size_t established = 0;
  for (std::uint64_t id = 100; id < 200; ++id) {  // five resets, then one success, repeatedly
    g.arrive(id, 0, 0, 3s);
    g.advance(50ms);
    for (auto& [call, record] : g.calls()) {
      if (!record.pending) continue;
      const bool succeeds = g.sends.size() % 6 == 0;
      succeeds ? g.establish(static_cast<std::uint64_t>(call))
               : g.end_attempt(static_cast<std::uint64_t>(call), AttemptOutcome::reset);
      established += succeeds ? 1 : 0;
      break;
    }
  }
  EXPECT_GT(g.sends.size(), 40U);
  EXPECT_GT(established, 6U);
}

TEST(FewLines, AMissingReportDoesNotExcludeAServerForGood) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  g.report_lines(10, 0.0);
  g.arrive(1);
  EXPECT_TRUE(g.sends.empty());
  g.advance(1600ms);
  EXPECT_TRUE(g.sent_to(1, 10));
}

// Calls must not wait for a server without a free line while another one can take them.
TEST(FewLines, CallsWaitingForAServerWithoutLinesAreRebound) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.arrive(1, 0, 0);
  g.arrive(2, 0, 1);
  g.arrive(3, 0, 0);
  g.report_lines(10, 0.0);
  g.advance(50ms);
  g.establish(2);
  EXPECT_TRUE(g.sent_to(3, 11));
}

// A paused server makes the pending set-up old; this must not shrink A (EQ 1) so that arrivals are refused.
TEST(ServerPause, IsNoReasonToRefuseArrivals) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  warm_up(g, 0, 1, 50ms);
  g.arrive(100);
  g.advance(500ms);  // the server is paused
  for (std::uint64_t id = 200; id < 210; ++id) g.arrive(id);
  EXPECT_TRUE(g.refused.empty());
  EXPECT_EQ(g.open_calls(), 11U);
}

}  // namespace
}  // namespace reeltack::test
