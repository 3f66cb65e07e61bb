// The five rules. Gateway checks them on every action; these tests create situations that could break a rule.
#include <cmath>
#include <random>

#include "gateway.h"

namespace reeltack::test {
namespace {

TEST(Rule1, EveryCallIsAnsweredBeforeItsCallerLeaves) {
  Gateway g;
  g.receive_list({});
  g.arrive(1, 0, 0, 400ms);  // no server to send it to
  g.receive_list({ready(10, 0)});
  g.arrive(2, 0, 0, 3s);  // sent; ended by its time-out alone
  g.arrive(3, 0, 0, 1s);  // waits behind it
  g.advance(5s);
  EXPECT_FALSE(g.calls()[CallId{1}].open && !g.calls()[CallId{1}].pending);
  EXPECT_FALSE(g.calls()[CallId{3}].open);
  ASSERT_EQ(g.sends.size(), 1U);
}

TEST(Rule1, ATimeOutAtTheDeadlineIsAnsweredAtOnce) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  g.arrive(1, 0, 0, 300ms);
  ASSERT_EQ(g.sends.size(), 1U);
  EXPECT_LE(g.sends[0].expires_at, g.now + 300ms);
  g.advance(300ms);
  g.end_attempt(1, AttemptOutcome::timeout);
  EXPECT_EQ(g.failed, std::vector<std::uint64_t>{1});
}

TEST(Rule2, NoSecondAttemptWhileOneIsPending) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.arrive(1);
  g.advance(500ms);
  EXPECT_EQ(g.sent_count(1), 1U);  // though the other server is idle all the time
}

TEST(Rule3, NoNewSetUpsToADrainingOrGoneServer) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.arrive(1, 0, 0);
  g.arrive(2, 0, 0);
  g.arrive(3, 0, 0);
  auto draining = ready(10, 0);
  draining.state = ServerState::draining;
  g.receive_list({draining}, false);
  g.advance(50ms);
  g.establish(1);
  g.arrive(4, 0, 0);
  g.advance(100ms);
  for (std::uint64_t id = 2; id <= 4; ++id) EXPECT_FALSE(g.sent_to(id, 10)) << id;
  EXPECT_TRUE(g.sent_to(2, 11));
}

TEST(Rule3, AServerMissingFromACompleteListIsGone) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.receive_list({ready(11, 1)});
  g.arrive(1, 0, 0);
  EXPECT_TRUE(g.sent_to(1, 11));
}

TEST(Rule4, AColdServerGetsNoBurst) {
  Gateway g;
  auto cold = ready(10, 0);
  cold.started_at = g.now;
  g.receive_list({cold});
  std::size_t sent = 0;
  const Time start = g.now;
  for (std::uint64_t id = 1; g.now < start + 1500ms;
       ++id) {  // answers come at once: only the budget limits the sends
    g.arrive(id);
    while (g.sends.size() > sent) {
      sent = g.sends.size();
      g.establish(static_cast<std::uint64_t>(g.sends.back().call));
    }
    g.advance(10ms);
  }
  EXPECT_LE(sent, 2U);  // no throughput observed yet: at most one set-up per fall_span and gateway
}

TEST(Rule4, AWarmServerIsNotHeldBack) {
  Gateway g;
  auto warm = ready(10, 0);
  warm.started_at = g.now - 15s;
  g.receive_list({warm});
  for (std::uint64_t id = 1; id <= 100; ++id) {
    g.arrive(id);
    ASSERT_EQ(g.sent_count(id), 1U);
    g.establish(id);
    g.advance(10ms);
  }
}

TEST(Rule5, SentAgainOnlyAfterTheReleaseGuard) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.arrive(1);
  g.advance(300ms);
  g.end_attempt(1, AttemptOutcome::timeout);
  g.advance(499ms);
  EXPECT_EQ(g.sent_count(1), 1U);
  g.advance(60ms);
  EXPECT_EQ(g.sent_count(1), 2U);
}

TEST(Rules, OnceAndKeyedClassesAreNotSentAgainOnceTheyMayHaveRun) {
  for (const Effect effect : {Effect::once, Effect::by_key}) {
    Settings s = plain_settings();
    s.classes[0].effect = effect;
    Gateway g(s);
    g.receive_list({ready(10, 0), ready(11, 1)});
    g.arrive(1);
    g.advance(200ms);
    g.end_attempt(1, AttemptOutcome::timeout);
    g.advance(3s);
    EXPECT_EQ(g.sent_count(1), 1U);
    EXPECT_EQ(g.failed, std::vector<std::uint64_t>{1});  // failed, not refused: it may have had its effect
  }
}

TEST(Rules, InAMeshNothingGoesToTheOwnExchangeAndTransitOnlyToItsDestination) {
  Settings s = plain_settings();
  s.shape = Shape::mesh;
  s.own_place = 0;
  Gateway g(s);
  g.receive_list({ready(10, 0), ready(11, 1), ready(12, 2)});
  CallArrived call{.call = CallId{1}, .caller_leaves_at = g.now + 3s, .destination = 0};
  CallArrived transit{
      .call = CallId{2}, .caller_leaves_at = g.now + 3s, .destination = 2, .in_transit = true};
  g.arrive(transit);
  g.arrive(call);  // to the own exchange: may be sent to no server
  EXPECT_FALSE(g.sent_to(1, 10));
  EXPECT_TRUE(g.sent_to(2, 12));
}

TEST(HostileEvents, ReportsOfUnknownCallsAndServersChangeNothing) {
  Gateway g;
  g.receive_list({ready(10, 0)});
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
  g.advance(80ms);
  g.establish(1);
  EXPECT_TRUE(g.sent_to(2, 10));
}

// Random, late, repeated and hostile events; Gateway checks the rules on all resulting actions.
class RandomEvents : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomEvents, KeepTheRules) {
  std::mt19937_64 random(GetParam());
  const auto below = [&](std::uint64_t n) { return random() % n; };
  Settings s = plain_settings();
  s.attempts_cap = 3;
  if (GetParam() % 3 == 0) s.classes[1].effect = Effect::once;
  if (GetParam() % 4 == 0) s.must_ask_for_list = true;
  Gateway g(s, GetParam());
  std::vector<ServerEntry> servers;
  for (std::uint32_t i = 0; i < 4; ++i) servers.push_back(ready(10 + i, i));
  g.receive_list(servers);
  std::uint64_t next = 1;
  const auto end_overdue = [&g] {  // ends attempts whose callers have left, as the gateway's network would
    for (auto& [id, record] : g.calls()) {
      if (record.pending && record.leaves_at <= g.now)
        g.end_attempt(static_cast<std::uint64_t>(id), AttemptOutcome::timeout);
    }
  };
  for (int step = 0; step < 4000; ++step) {
    g.advance(std::chrono::microseconds{below(20000)});
    end_overdue();
    const std::uint64_t kind = below(100);
    if (kind < 45) {
      g.arrive(next, static_cast<std::uint32_t>(below(3)), static_cast<std::uint32_t>(below(5)),
               std::chrono::milliseconds{below(4000)}, below(50), below(2) == 0);
      ++next;
    } else if (kind < 80) {
      for (auto& [id, record] : g.calls()) {
        if (!record.pending) continue;
        const auto call = static_cast<std::uint64_t>(id);
        const AttemptOutcome outcomes[] = {AttemptOutcome::busy_or_error, AttemptOutcome::full,
                                           AttemptOutcome::timeout,       AttemptOutcome::connect_failed,
                                           AttemptOutcome::reset,         AttemptOutcome::full,
                                           AttemptOutcome::not_sent,      AttemptOutcome::cancelled};
        const std::uint64_t fate = below(30);
        fate < 8 ? g.end_attempt(call, outcomes[fate], static_cast<FullReason>(below(4)), fate == 0)
                 : g.establish(call);
        break;
      }
    } else if (kind < 82) {
      ServerEntry& e = servers[below(servers.size())];
      e.state = below(2) == 0 ? ServerState::ready : static_cast<ServerState>(below(3));
      if (e.state == ServerState::ready && below(2) == 0) e.started_at = g.now - 1s;
      g.receive_list({e}, false);
    } else if (kind < 84) {
      g.receive_list(below(3) == 0 ? std::vector<ServerEntry>{} : servers);
    } else if (kind < 94) {
      g.report_lines(static_cast<std::uint32_t>(10 + below(6)), static_cast<double>(below(9)) - 1.0);
    } else if (kind < 96) {
      g.on(ServerListFailed{});
    } else if (kind < 98 && !g.sends.empty()) {  // an old answer arrives a second time
      const SendSetUp& old = g.sends[below(g.sends.size())];
      const auto found = g.calls().find(old.call);
      if (found != g.calls().end() && !found->second.open && !found->second.pending)
        g.on(CallEstablished{old.call, 0, old.server, 3ms});
    } else {
      for (auto& [id, record] : g.calls()) {
        if (!record.open || record.pending) continue;
        g.caller_leaves(static_cast<std::uint64_t>(id));
        break;
      }
    }
    if (::testing::Test::HasFailure()) return;
    std::erase_if(g.calls(), [&](const auto& entry) {
      return !entry.second.open && !entry.second.pending && entry.second.leaves_at + 1s < g.now;
    });
  }
  for (int step = 0; step < 1000; ++step) {
    g.advance(10ms);
    end_overdue();
  }
  EXPECT_EQ(g.open_calls(), 0U);
  EXPECT_GT(g.sends.size(), 50U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range<std::uint64_t>(1, 25));

}  // namespace
}  // namespace reeltack::test
