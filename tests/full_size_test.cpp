// What shows only with many gateways, or after a gateway's own pause. Each test fails without its code.
#include <cmath>
#include <map>

#include "gateway.h"

namespace reeltack::test {
namespace {

TEST(EqualStarts, GatewaysWithDifferentSeedsDoNotAllStartWithTheSameServer) {
  std::map<ServerId, int> first;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Gateway g(plain_settings(), seed);
    g.list({ready(10, 0), ready(11, 1), ready(12, 2), ready(13, 3)});
    g.arrive(1, 0, 99);  // no first choice among them
    ASSERT_EQ(g.sends.size(), 1U);
    ++first[g.sends.back().server];
  }
  for (const std::uint32_t id : {10U, 11U, 12U, 13U}) {
    EXPECT_GT(first[ServerId{id}], 25);
    EXPECT_LT(first[ServerId{id}], 85);
  }
}

// Found on guate big-1: servers differ twentyfold in lines, and the rotation gave all alike.
TEST(Sizes, TheRotationGoesByToldLines) {
  Gateway g;
  g.list({ready(10, 0), ready(11, 1)});
  g.on(ServerReported{.server = ServerId{10}, .report = {.free_lines = 900.0, .lines = 900.0}});
  g.on(ServerReported{.server = ServerId{11}, .report = {.free_lines = 100.0, .lines = 100.0}});
  std::map<ServerId, int> taken;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    g.arrive(id, 0, 99);
    g.pass(100ms);
    ++taken[g.sends.back().server];
    g.stands(id);
  }
  EXPECT_GT(taken[ServerId{10}], 80);
  EXPECT_GT(taken[ServerId{11}], 4);
}

// Found on holzlager quiet: the last free line was fought for by all gateways.
TEST(FewLines, AServerThatFillsUpIsFirstChoiceNoLonger) {
  Gateway g;
  g.list({ready(10, 0), ready(11, 1)});
  int there = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    g.on(ServerReported{.server = ServerId{10}, .report = {.free_lines = 5.0, .lines = 500.0}});
    g.on(ServerReported{.server = ServerId{11}, .report = {.free_lines = 300.0, .lines = 500.0}});
    g.arrive(id, 0, 0);
    g.pass(50ms);
    there += g.sends.back().server == ServerId{10} ? 1 : 0;
    g.stands(id);
  }
  EXPECT_LT(there, 30);
}

// Found on ibeedb0: one server failed at once, looked idle and quick, and drew two thirds of all attempts.
TEST(QuickErrors, DoNotMakeAServerTheFavourite) {
  Gateway g;
  g.list({ready(10, 0), ready(11, 1)});
  std::size_t failing = 0;
  for (std::uint64_t id = 1; id <= 150; ++id) {
    g.arrive(id, 0, static_cast<std::uint32_t>(id % 2));
    for (int looks = 0; looks < 40; ++looks) {
      g.pass(20ms);
      for (auto& [call, e] : g.book()) {
        if (!e.out) continue;
        if (e.server == ServerId{10} && g.now >= e.sent + 20ms) {
          ++failing;
          g.ends(static_cast<std::uint64_t>(call), AttemptOutcome::busy_or_error);
        } else if (e.out && g.now >= e.sent + 200ms) {
          g.stands(static_cast<std::uint64_t>(call));
        }
      }
    }
  }
  EXPECT_LT(failing, 60U);
}

// Found on i3d7439: set-ups were given up in queues that were not seen from here, and worked on in vain.
TEST(Patience, IsAnAimAtAServerNotKnownToBeQuick) {
  Gateway g;
  g.list({ready(10, 0)});
  g.arrive(1);
  EXPECT_GE(g.sends.back().expires_at, g.now + 2s);
  g.pass(50ms);
  g.stands(1);
  g.arrive(2);
  EXPECT_LT(g.sends.back().expires_at, g.now + 1s);
}

TEST(ShortCallers, AreNotSentWhereTheAnswerWouldComeTooLate) {
  Gateway g;
  g.list({ready(10, 0)});
  for (std::uint64_t id = 1; id <= 5; ++id) {
    g.arrive(id);
    g.pass(500ms);
    g.stands(id);
    g.pass(2s);
  }
  g.arrive(100, 0, 0, 300ms);
  EXPECT_EQ(g.sent_count(100), 0U);
}

// Found on holzlager ageing days: redials past their aim took the last lines of the quick servers.
TEST(LateCallers, TakeNoShortLinesAndWithManyGatewaysOnlyWhereAServerIsQuick) {
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
    g.list({ready(10, 0)});
    g.arrive(1, 0, 0, 3s, 11);
    g.pass(50ms);
    g.arrive(2, 0, 0, 1500ms, 12);
    g.pass(1600ms);  // 2 waits behind 1 until its caller leaves
    ASSERT_TRUE(g.was_refused(2));
    g.stands(1);
    for (std::uint64_t id = 3; id < 30; ++id) {
      g.arrive(id);
      g.pass(c.delay);
      for (auto& [call, e] : g.book()) {
        if (e.out) g.stands(static_cast<std::uint64_t>(call));
      }
      g.pass(50ms);
    }
    g.on(ServerReported{.server = ServerId{10}, .report = {.free_lines = c.free_lines, .lines = 500.0}});
    g.arrive(50, 0, 0, 3s, 12, true);
    g.pass(1s);
    EXPECT_EQ(g.sent_count(50), c.sent) << c.gateways << " gateways, " << c.free_lines << " free lines";
  }
}

class Turns : public ::testing::TestWithParam<int> {};

// A gateway that stood still finds answers, arrivals and callers who have left in one turn, in any order.
TEST_P(Turns, NothingIsSentForACallThatTheSameTurnEnds) {
  Gateway g;
  g.list({ready(10, 0), ready(11, 1)});
  g.arrive(1, 0, 0);
  g.pass(50ms);
  g.stands(1);
  g.arrive(2, 0, 0);
  g.stand_still(1900ms);
  const CallArrived gone{.call = CallId{3}, .caller_leaves_at = g.now + 1s, .destination = 0};
  const CallArrived stays{.call = CallId{4}, .caller_leaves_at = g.now + 2900ms, .destination = 0};
  const Event answer = CallEstablished{CallId{2}, 0, ServerId{10}, 1900ms};
  const Event left = CallerLeft{CallId{3}};
  std::vector<std::vector<Event>> orders{
      {gone, left, stays, answer}, {answer, gone, stays, left}, {stays, gone, answer, left}};
  g.turn(orders[static_cast<std::size_t>(GetParam())]);
  g.pass(100ms);
  EXPECT_EQ(g.sent_count(3), 0U);
  EXPECT_EQ(g.sent_count(4), 1U);
}

INSTANTIATE_TEST_SUITE_P(Orders, Turns, ::testing::Values(0, 1, 2));

TEST(OwnPause, IsNotTakenForTheServersDelay) {
  Gateway g;
  g.list({ready(10, 0)});
  for (std::uint64_t id = 1; id <= 5; ++id) {
    g.arrive(id);
    g.pass(50ms);
    g.stands(id);
  }
  g.arrive(100);
  g.stand_still(1900ms);
  g.turn({CallEstablished{CallId{100}, 0, ServerId{10}, 1900ms}});
  for (std::uint64_t id = 200; id < 220; ++id) g.arrive(id);  // a second at 50 ms each, forty at 2 s
  EXPECT_TRUE(g.refused.empty());
}

}  // namespace
}  // namespace reeltack::test
