// Failures that appear only with many gateways, or after a pause of the gateway itself. Each test fails
// without the code that handles its failure.
#include <cmath>
#include <map>

#include "gateway.h"

namespace reeltack::test {
namespace {

TEST(EqualStarts, GatewaysWithDifferentSeedsDoNotAllStartWithTheSameServer) {
  std::map<ServerId, int> first;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Gateway g(plain_settings(), seed);
    g.receive_list({ready(10, 0), ready(11, 1), ready(12, 2), ready(13, 3)});
    g.arrive(1, 0, 99);  // no first choice among them
    ASSERT_EQ(g.sends.size(), 1U);
    ++first[g.sends.back().server];
  }
  for (const std::uint32_t id : {10U, 11U, 12U, 13U}) {
    EXPECT_GT(first[ServerId{id}], 25);
    EXPECT_LT(first[ServerId{id}], 85);
  }
}

// Servers may differ twentyfold in lines, so the rotation must not treat them alike.
TEST(Sizes, TheRotationIsWeightedByReportedLines) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.on(ServerReported{.server = ServerId{10}, .report = {.free_lines = 900.0, .lines = 900.0}});
  g.on(ServerReported{.server = ServerId{11}, .report = {.free_lines = 100.0, .lines = 100.0}});
  std::map<ServerId, int> taken;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    g.arrive(id, 0, 99);
    g.advance(100ms);
    ++taken[g.sends.back().server];
    g.establish(id);
  }
  EXPECT_GT(taken[ServerId{10}], 80);
  EXPECT_GT(taken[ServerId{11}], 4);
}

// All gateways competed for the last free line of a server.
TEST(FewLines, AServerThatFillsUpIsNoLongerTheFirstChoice) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  int sent_there = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    g.on(ServerReported{.server = ServerId{10}, .report = {.free_lines = 5.0, .lines = 500.0}});
    g.on(ServerReported{.server = ServerId{11}, .report = {.free_lines = 300.0, .lines = 500.0}});
    g.arrive(id, 0, 0);
    g.advance(50ms);
    sent_there += g.sends.back().server == ServerId{10} ? 1 : 0;
    g.establish(id);
  }
  EXPECT_LT(sent_there, 30);
}

// A server that fails at once looks idle and quick; such a server attracted two thirds of all attempts.
TEST(QuickErrors, DoNotAttractCallsToAServer) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  std::size_t errors = 0;
  for (std::uint64_t id = 1; id <= 150; ++id) {
    g.arrive(id, 0, static_cast<std::uint32_t>(id % 2));
    for (int check = 0; check < 40; ++check) {
      g.advance(20ms);
      for (auto& [call, record] : g.calls()) {
        if (!record.pending) continue;
        if (record.server == ServerId{10} && g.now >= record.sent_at + 20ms) {
          ++errors;
          g.end_attempt(static_cast<std::uint64_t>(call), AttemptOutcome::busy_or_error);
        } else if (record.pending && g.now >= record.sent_at + 200ms) {
          g.establish(static_cast<std::uint64_t>(call));
        }
      }
    }
  }
  EXPECT_LT(errors, 60U);
}

// Set-ups may wait in queues that are not visible from here; if they expire there, the server works in vain.
TEST(Patience, IsAnAimAtAServerNotKnownToBeQuick) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  g.arrive(1);
  EXPECT_GE(g.sends.back().expires_at, g.now + 2s);
  g.advance(50ms);
  g.establish(1);
  g.arrive(2);
  EXPECT_LT(g.sends.back().expires_at, g.now + 1s);
}

TEST(ImpatientCallers, AreNotSentWhereTheAnswerWouldComeTooLate) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  for (std::uint64_t id = 1; id <= 5; ++id) {
    g.arrive(id);
    g.advance(500ms);
    g.establish(id);
    g.advance(2s);
  }
  g.arrive(100, 0, 0, 300ms);
  EXPECT_EQ(g.sent_count(100), 0U);
}

// Redials past their aim took the last lines of the quick servers.
TEST(LateCallers, TakeNoScarceLinesAndWithManyGatewaysOnlyQuickServers) {
  struct Case {
    std::uint32_t gateways;
    Duration delay;
    double free_lines;
    std::size_t sent;
  };
  for (const Case c : {Case{4, 50ms, 400, 1}, Case{4, 50ms, 2, 0}, Case{4, 500ms, 400, 1},
                       Case{80, 50ms, 400, 1}, Case{80, 50ms, 2, 0}, Case{80, 500ms, 400, 0}}) {
    Settings s = plain_settings();
    s.gateways = c.gateways;
    Gateway g(s);
    g.receive_list({ready(10, 0)});
    g.arrive(1, 0, 0, 3s, 11);
    g.advance(50ms);
    g.arrive(2, 0, 0, 1500ms, 12);
    g.advance(1600ms);  // call 2 waits behind call 1 until its caller leaves
    ASSERT_TRUE(g.was_refused(2));
    g.establish(1);
    for (std::uint64_t id = 3; id < 30; ++id) {
      g.arrive(id);
      g.advance(c.delay);
      for (auto& [call, record] : g.calls()) {
        if (record.pending) g.establish(static_cast<std::uint64_t>(call));
      }
      g.advance(50ms);
    }
    g.on(ServerReported{.server = ServerId{10}, .report = {.free_lines = c.free_lines, .lines = 500.0}});
    g.arrive(50, 0, 0, 3s, 12, true);
    g.advance(1s);
    EXPECT_EQ(g.sent_count(50), c.sent) << c.gateways << " gateways, " << c.free_lines << " free lines";
  }
}

class Steps : public ::testing::TestWithParam<int> {};

// A gateway that was paused finds answers, arrivals and departures of callers in one step, in any order.
TEST_P(Steps, NothingIsSentForACallThatTheSameStepEnds) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.arrive(1, 0, 0);
  g.advance(50ms);
  g.establish(1);
  g.arrive(2, 0, 0);
  g.pause(1900ms);
  const CallArrived leaving{.call = CallId{3}, .caller_leaves_at = g.now + 1s, .destination = 0};
  const CallArrived staying{.call = CallId{4}, .caller_leaves_at = g.now + 2900ms, .destination = 0};
  const Event answer = CallEstablished{CallId{2}, 0, ServerId{10}, 1900ms};
  const Event left = CallerLeft{CallId{3}};
  std::vector<std::vector<Event>> orders{
      {leaving, left, staying, answer}, {answer, leaving, staying, left}, {staying, leaving, answer, left}};
  g.step(orders[static_cast<std::size_t>(GetParam())]);
  g.advance(100ms);
  EXPECT_EQ(g.sent_count(3), 0U);
  EXPECT_EQ(g.sent_count(4), 1U);
}

INSTANTIATE_TEST_SUITE_P(Orders, Steps, ::testing::Values(0, 1, 2));

TEST(OwnPause, IsNotAttributedToTheServersDelay) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  for (std::uint64_t id = 1; id <= 5; ++id) {
    g.arrive(id);
    g.advance(50ms);
    g.establish(id);
  }
  g.arrive(100);
  g.pause(1900ms);
  g.step({CallEstablished{CallId{100}, 0, ServerId{10}, 1900ms}});
  for (std::uint64_t id = 200; id < 220; ++id) g.arrive(id);  // 1 s of work at 50 ms each, 40 s at 2 s each
  EXPECT_TRUE(g.refused.empty());
}

}  // namespace
}  // namespace reeltack::test
