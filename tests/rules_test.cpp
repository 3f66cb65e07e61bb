// The five rules. Gateway checks them on every action; these tests bring about what could break them.
#include <cmath>
#include <random>

#include "gateway.h"

namespace reeltack::test {
namespace {

TEST(Rule1, EveryCallIsAnsweredBeforeItsCallerLeaves) {
  Gateway g;
  g.list({});
  g.arrive(1, 0, 0, 400ms);  // nobody to send it to
  g.list({ready(10, 0)});
  g.arrive(2, 0, 0, 3s);  // sent, never answered but by the time-out
  g.arrive(3, 0, 0, 1s);  // waits behind it
  g.pass(5s);
  EXPECT_FALSE(g.book()[CallId{1}].open && !g.book()[CallId{1}].out);
  EXPECT_FALSE(g.book()[CallId{3}].open);
  ASSERT_EQ(g.sends.size(), 1U);
}

TEST(Rule1, ATimeOutAtTheDeadlineIsAnsweredAtOnce) {
  Gateway g;
  g.list({ready(10, 0)});
  g.arrive(1, 0, 0, 300ms);
  ASSERT_EQ(g.sends.size(), 1U);
  EXPECT_LE(g.sends[0].expires_at, g.now + 300ms);
  g.pass(300ms);
  g.ends(1, AttemptOutcome::timeout);
  EXPECT_EQ(g.failed, std::vector<std::uint64_t>{1});
}

TEST(Rule2, NoSecondAttemptWhileOneIsOut) {
  Gateway g;
  g.list({ready(10, 0), ready(11, 1)});
  g.arrive(1);
  g.pass(500ms);
  EXPECT_EQ(g.sent_count(1), 1U);  // the other server stands idle all the while
}

TEST(Rule3, NothingNewToADrainingOrGoneServer) {
  Gateway g;
  g.list({ready(10, 0), ready(11, 1)});
  g.arrive(1, 0, 0);
  g.arrive(2, 0, 0);
  g.arrive(3, 0, 0);
  auto draining = ready(10, 0);
  draining.state = ServerState::draining;
  g.list({draining}, false);
  g.pass(50ms);
  g.stands(1);
  g.arrive(4, 0, 0);
  g.pass(100ms);
  for (std::uint64_t id = 2; id <= 4; ++id) EXPECT_FALSE(g.sent_to(id, 10)) << id;
  EXPECT_TRUE(g.sent_to(2, 11));
}

TEST(Rule3, AServerMissingFromACompleteListIsGone) {
  Gateway g;
  g.list({ready(10, 0), ready(11, 1)});
  g.list({ready(11, 1)});
  g.arrive(1, 0, 0);
  EXPECT_TRUE(g.sent_to(1, 11));
}

TEST(Rule4, AColdServerGetsNoBurst) {
  Gateway g;
  auto cold = ready(10, 0);
  cold.started_at = g.now;
  g.list({cold});
  std::size_t sent = 0;
  const Time start = g.now;
  for (std::uint64_t id = 1; g.now < start + 1500ms;
       ++id) {  // answers come at once: only the budget holds back
    g.arrive(id);
    while (g.sends.size() > sent) {
      sent = g.sends.size();
      g.stands(static_cast<std::uint64_t>(g.sends.back().call));
    }
    g.pass(10ms);
  }
  EXPECT_LE(sent, 2U);  // no throughput seen yet: one set-up a span and gateway at the most
}

TEST(Rule4, AWarmedServerIsNotHeldBack) {
  Gateway g;
  auto warm = ready(10, 0);
  warm.started_at = g.now - 15s;
  g.list({warm});
  for (std::uint64_t id = 1; id <= 100; ++id) {
    g.arrive(id);
    ASSERT_EQ(g.sent_count(id), 1U);
    g.stands(id);
    g.pass(10ms);
  }
}

TEST(Rule5, SentAgainOnlyAfterTheReleaseGuard) {
  Gateway g;
  g.list({ready(10, 0), ready(11, 1)});
  g.arrive(1);
  g.pass(300ms);
  g.ends(1, AttemptOutcome::timeout);
  g.pass(499ms);
  EXPECT_EQ(g.sent_count(1), 1U);
  g.pass(60ms);
  EXPECT_EQ(g.sent_count(1), 2U);
}

TEST(Rules, OnceAndKeyedClassesAreNotSentAgainOnceTheyMayHaveRun) {
  for (const Effect effect : {Effect::once, Effect::by_key}) {
    Settings s = plain_settings();
    s.classes[0].effect = effect;
    Gateway g(s);
    g.list({ready(10, 0), ready(11, 1)});
    g.arrive(1);
    g.pass(200ms);
    g.ends(1, AttemptOutcome::timeout);
    g.pass(3s);
    EXPECT_EQ(g.sent_count(1), 1U);
    EXPECT_EQ(g.failed, std::vector<std::uint64_t>{1});  // failed, not refused: it may have had its effect
  }
}

TEST(Rules, InAMeshNothingGoesToTheOwnExchangeAndTransitOnlyToItsEnd) {
  Settings s = plain_settings();
  s.shape = Shape::mesh;
  s.own_place = 0;
  Gateway g(s);
  g.list({ready(10, 0), ready(11, 1), ready(12, 2)});
  CallArrived call{.call = CallId{1}, .caller_leaves_at = g.now + 3s, .destination = 0};
  CallArrived transit{
      .call = CallId{2}, .caller_leaves_at = g.now + 3s, .destination = 2, .in_transit = true};
  g.arrive(transit);
  g.arrive(call);  // to the own exchange: over none
  EXPECT_FALSE(g.sent_to(1, 10));
  EXPECT_TRUE(g.sent_to(2, 12));
}

TEST(Hostile, NewsOfUnknownThingsChangesNothing) {
  Gateway g;
  g.list({ready(10, 0)});
  g.arrive(1);
  g.on(CallEstablished{CallId{99}, 0, ServerId{10}, 1ms});
  g.on(AttemptEnded{.call = CallId{98}, .server = ServerId{77}, .outcome = AttemptOutcome::reset});
  g.on(
      AttemptEnded{.call = CallId{1}, .attempt = 9, .server = ServerId{10}, .outcome = AttemptOutcome::full});
  g.on(CallerLeft{CallId{97}});
  g.on(TimerFired{TimerToken{12345}});
  g.on(ServerReported{.server = ServerId{55}, .report = {.free_lines = 0.0}});
  g.on(ServerReported{.server = ServerId{10}, .report = {.free_lines = std::nan(""), .wait_ms = -4.0}});
  g.on(PeerMessageReceived{3, {1, 2, 3}});
  g.on(ServerListFailed{});
  g.arrive(2);
  EXPECT_EQ(g.sends.size(), 1U);
  g.pass(80ms);
  g.stands(1);
  EXPECT_TRUE(g.sent_to(2, 10));
}

// Random, late, repeated and hostile events; Gateway checks the rules on all that comes of them.
class Storm : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Storm, KeepsTheRules) {
  std::mt19937_64 random(GetParam());
  const auto below = [&](std::uint64_t n) { return random() % n; };
  Settings s = plain_settings();
  s.attempts_cap = 3;
  if (GetParam() % 3 == 0) s.classes[1].effect = Effect::once;
  if (GetParam() % 4 == 0) s.must_ask_for_list = true;
  Gateway g(s, GetParam());
  std::vector<ServerEntry> servers;
  for (std::uint32_t i = 0; i < 4; ++i) servers.push_back(ready(10 + i, i));
  g.list(servers);
  std::uint64_t next = 1;
  const auto end_overdue = [&g] {  // attempts past their time end, as the gateway's network would tell
    for (auto& [id, e] : g.book()) {
      if (e.out && e.leaves <= g.now) g.ends(static_cast<std::uint64_t>(id), AttemptOutcome::timeout);
    }
  };
  for (int step = 0; step < 4000; ++step) {
    g.pass(std::chrono::microseconds{below(20000)});
    end_overdue();
    const std::uint64_t what = below(100);
    if (what < 45) {
      g.arrive(next, static_cast<std::uint32_t>(below(3)), static_cast<std::uint32_t>(below(5)),
               std::chrono::milliseconds{below(4000)}, below(50), below(2) == 0);
      ++next;
    } else if (what < 80) {
      for (auto& [id, e] : g.book()) {
        if (!e.out) continue;
        const auto call = static_cast<std::uint64_t>(id);
        const AttemptOutcome endings[] = {AttemptOutcome::busy_or_error, AttemptOutcome::full,
                                          AttemptOutcome::timeout,       AttemptOutcome::connect_failed,
                                          AttemptOutcome::reset,         AttemptOutcome::full,
                                          AttemptOutcome::not_sent,      AttemptOutcome::cancelled};
        const std::uint64_t how = below(30);
        how < 8 ? g.ends(call, endings[how], static_cast<FullReason>(below(4)), how == 0) : g.stands(call);
        break;
      }
    } else if (what < 82) {
      ServerEntry& e = servers[below(servers.size())];
      e.state = below(2) == 0 ? ServerState::ready : static_cast<ServerState>(below(3));
      if (e.state == ServerState::ready && below(2) == 0) e.started_at = g.now - 1s;
      g.list({e}, false);
    } else if (what < 84) {
      g.list(below(3) == 0 ? std::vector<ServerEntry>{} : servers);
    } else if (what < 94) {
      g.lines(static_cast<std::uint32_t>(10 + below(6)), static_cast<double>(below(9)) - 1.0);
    } else if (what < 96) {
      g.on(ServerListFailed{});
    } else if (what < 98 && !g.sends.empty()) {  // an old answer comes a second time
      const SendSetUp& old = g.sends[below(g.sends.size())];
      const auto e = g.book().find(old.call);
      if (e != g.book().end() && !e->second.open && !e->second.out)
        g.on(CallEstablished{old.call, 0, old.server, 3ms});
    } else {
      for (auto& [id, e] : g.book()) {
        if (!e.open || e.out) continue;
        g.leaves(static_cast<std::uint64_t>(id));
        break;
      }
    }
    if (::testing::Test::HasFailure()) return;
    std::erase_if(g.book(), [&](const auto& entry) {
      return !entry.second.open && !entry.second.out && entry.second.leaves + 1s < g.now;
    });
  }
  for (int step = 0; step < 1000; ++step) {
    g.pass(10ms);
    end_overdue();
  }
  EXPECT_EQ(g.open_calls(), 0U);
  EXPECT_GT(g.sends.size(), 50U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Storm, ::testing::Range<std::uint64_t>(1, 25));

}  // namespace
}  // namespace reeltack::test
