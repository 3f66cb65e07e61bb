// Links with each other: datagrams, exchanges, the core's queue, a late tick, stopping under load, a throwing
// driver.
#include <future>
#include <thread>

#include "fleet/link/core_queue.h"
#include "link_rig.h"

namespace reeltack::fleet::link {
namespace {

// Answers a summary with a summary, and the dialling side hangs up once it has the answer.
void answer_summary(const CoordinatorEvent& event, CoordinatorActions& actions) {
  const auto is_own = [](ConnectionId id) { return static_cast<std::uint64_t>(id) % 2 == 0; };
  if (const auto* up = std::get_if<Opened>(&event)) actions.push_back(SendExchange{up->id, summary(1)});
  if (const auto* received = std::get_if<ExchangeReceived>(&event)) {
    if (is_own(received->id))
      actions.push_back(CloseConnection{received->id});
    else
      actions.push_back(SendExchange{received->id, summary(2)});
  }
}

TEST(Link, ThreeLinksUseDatagramsAndExchanges) {
  Node b(2, {}, answer_summary), c(3, {}, answer_summary);
  // The configured address of member 2 overrides the one in the action.
  Node a(
      1, [](LinkSettings& s) { s.via[MemberId{2}] = own(2); }, answer_summary);
  a.script.act(*a.link,
               {SendMembership{own(9), MemberId{2}, ping(1, 7)}, Dial{ConnectionId{2}, own(9), MemberId{2}},
                SendMembership{own(3), MemberId{3}, ping(1, 8)}, Dial{ConnectionId{4}, own(3), MemberId{3}}});
  ASSERT_TRUE(b.script.wait<MembershipReceived>() && c.script.wait<MembershipReceived>());
  EXPECT_EQ(b.script.get<MembershipReceived>().message.sequence, 7U);
  EXPECT_EQ(c.script.get<MembershipReceived>().message.sequence, 8U);
  ASSERT_TRUE(a.script.wait<ExchangeReceived>(2) && b.script.wait<Closed>() && c.script.wait<Closed>());
  EXPECT_EQ(a.script.get<ExchangeReceived>().exchange.envelope.from, MemberId{2});
  EXPECT_EQ(b.script.get<Accepted>().id, ConnectionId{1});
  EXPECT_EQ(b.script.get<Closed>().id, ConnectionId{1});
  a.link->stop();
  EXPECT_EQ(a.script.count<Closed>(), 0U) << "Closed is reported after hanging up";
  const LinkFigures f = a.link->figures();
  EXPECT_EQ(std::tie(f.datagrams_out, f.dialled, f.exchange_frames_in, f.exchange_frames_out, f.connections),
            std::make_tuple(2U, 2U, 2U, 2U, 0U));
}

TEST(Link, AnAddressInUseIsNamedInTheError) {
  Node a(1);
  try {
    Node other(1);
    FAIL();
  } catch (const LinkError& error) {
    EXPECT_NE(std::string(error.what()).find(to_text(own(1))), std::string::npos) << error.what();
  }
}

// Models a frozen process that resumes: answers wait in its socket, and a tick is long due.
TEST(Link, WaitingAnswersAreReadBeforeALateTick) {
  constexpr std::size_t kDatagrams = 150;
  std::mutex mutex;
  std::condition_variable changed;
  bool sent = false, frozen = false;
  std::size_t before_tick = 0, ticks = 0, datagrams = 0;
  Node a(1, {}, [&](const CoordinatorEvent& event, CoordinatorActions&) {
    if (std::holds_alternative<MembershipReceived>(event)) ++datagrams;
    if (!std::holds_alternative<IncarnationPersisted>(event)) return;
    std::unique_lock lock(mutex);
    frozen = true;
    changed.notify_all();
    changed.wait_for(lock, kWait, [&] { return sent; });
  });
  a.script.ticking = [&] {
    const std::lock_guard lock(mutex);
    if (frozen && ticks++ == 0) before_tick = datagrams;
    changed.notify_all();
  };
  const RawSocket peer(SOCK_DGRAM, 2);
  ASSERT_TRUE(peer.connect(own(1)));
  std::unique_lock lock(mutex);
  a.script.every = 1'000'000;
  a.link->incarnation_persisted(5);
  ASSERT_TRUE(changed.wait_for(lock, kWait, [&] { return frozen; }));
  for (std::size_t i = 0; i < kDatagrams; ++i) ASSERT_TRUE(peer.send(encode(ping(2, i))));
  // Lets the tick become due, which it is in any case by the time the answers are read.
  std::this_thread::sleep_for(5ms);
  sent = true;
  changed.notify_all();
  ASSERT_TRUE(changed.wait_for(lock, kWait, [&] { return ticks > 0; }));
  EXPECT_EQ(before_tick, kDatagrams);
  lock.unlock();
  a.link->stop();
}

TEST(Link, StopUnderLoadLeavesInOrderAndFreesTheAddress) {
  Node b(2, {}, answer_summary);
  for (int round = 0; round < 5; ++round) {
    std::atomic<bool> stop = false;
    {
      Node a(1, {}, answer_summary);
      a.script.last = {SendMembership{own(2), MemberId{2}, ping(1, 1000)}};
      std::thread load([&] {
        const RawSocket peer(SOCK_DGRAM, 3);
        EXPECT_TRUE(peer.connect(own(1)));
        while (!stop) (void)peer.send(encode(ping(3, 1)));
      });
      for (std::uint64_t i = 1; i <= 20; ++i)
        a.script.act(*a.link, {Dial{ConnectionId{2 * i}, own(2), MemberId{2}}});
      EXPECT_TRUE(a.script.wait<MembershipReceived>(100));
      a.link->stop();
      EXPECT_EQ(a.link->figures().connections, 0U);
      a.link->from_core(recovery::SourceUnreachable{});  // after stop(): ignored
      stop = true;
      load.join();
    }
    EXPECT_TRUE(b.script.wait<MembershipReceived>(static_cast<std::size_t>(round) + 1))
        << "the last datagram";
  }
}

TEST(Link, ADriverThatThrowsEndsOnlyTheLink) {
  Node a(1, {}, [](const CoordinatorEvent&, CoordinatorActions&) { throw std::logic_error("an invariant"); });
  a.link->from_core(recovery::SourceUnreachable{});
  const auto until = std::chrono::steady_clock::now() + kWait;
  while (!a.link->figures().failed && std::chrono::steady_clock::now() < until) std::this_thread::yield();
  EXPECT_TRUE(a.link->figures().failed);
  a.link->from_core(recovery::SourceUnreachable{});
  a.link->stop();
}

TEST(Link, TheCoresQueueIsBounded) {
  CoreQueue queue(128);
  EXPECT_TRUE(queue.push(recovery::SourceUnreachable{}));
  for (int i = 1; i < 200; ++i)
    EXPECT_FALSE(queue.push(recovery::SourceUnreachable{})) << "woken more than once per batch";
  EXPECT_EQ(queue.dropped(), 200U - 128U);
  EXPECT_EQ(queue.take().size(), 128U);
  EXPECT_TRUE(queue.push(recovery::SourceUnreachable{})) << "not woken after take()";
}

// Calls from the core return at once while the link's thread is blocked, and none is missed afterwards.
TEST(Link, RescheduleDoesNotWaitForABlockedLinkAndTakesEffectLater) {
  std::promise<void> stuck, release;
  std::atomic<bool> stuck_now{true};
  Node a(1, {}, [&](const CoordinatorEvent& event, CoordinatorActions&) {
    if (!std::holds_alternative<IncarnationPersisted>(event)) return;
    stuck.set_value();
    release.get_future().wait_for(kWait);
    stuck_now = false;
  });
  std::atomic<int> ticks{0};
  a.script.ticking = [&] {
    a.script.every = 0;
    ++ticks;
  };
  a.link->incarnation_persisted(5);
  ASSERT_EQ(stuck.get_future().wait_for(kWait), std::future_status::ready);
  for (int i = 0; i < 100'000; ++i) {
    a.link->reschedule();
    a.link->from_core(recovery::OfficeLoad{});
  }
  EXPECT_TRUE(stuck_now) << "the link is not blocked, so this tests nothing";
  EXPECT_EQ(a.link->figures().core_dropped, 100'000 - a.settings.max_core_events);
  release.set_value();
  ASSERT_TRUE(a.script.wait<CoreEvent>(a.settings.max_core_events));
  for (int n = 1; n <= 2; ++n) {
    // Lets the link become idle, so that nothing else makes it read next().
    std::this_thread::sleep_for(20ms);
    a.script.every = 1;  // a tick is due, but the timer is not set for it
    a.link->reschedule();
    const auto until = std::chrono::steady_clock::now() + kWait;
    while (ticks < n && std::chrono::steady_clock::now() < until) std::this_thread::sleep_for(1ms);
    ASSERT_EQ(ticks, n);
  }
  a.link->stop();
}

}  // namespace
}  // namespace reeltack::fleet::link
