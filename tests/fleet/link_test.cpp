// Links among themselves: datagrams, exchanges, the core's queue, a late tick, stop under load, a broken
// driver.
#include <future>
#include <thread>

#include "fleet/link/core_queue.h"
#include "link_rig.h"

namespace reeltack::fleet::link {
namespace {

// Answers a summary with a summary, and hangs up when it has its own answer.
void answer(const CoordinatorEvent& event, CoordinatorActions& actions) {
  const auto is_own = [](ConnectionId id) { return static_cast<std::uint64_t>(id) % 2 == 0; };
  if (const auto* up = std::get_if<Opened>(&event)) actions.push_back(SendExchange{up->id, summary(1)});
  if (const auto* said = std::get_if<ExchangeReceived>(&event)) {
    if (is_own(said->id))
      actions.push_back(CloseConnection{said->id});
    else
      actions.push_back(SendExchange{said->id, summary(2)});
  }
}

TEST(Link, ThreeTalkByDatagramsAndExchanges) {
  Node b(2, {}, answer), c(3, {}, answer);
  // The way to 2 is not where an action names it.
  Node a(
      1, [](LinkSettings& s) { s.via[MemberId{2}] = own(2); }, answer);
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
  EXPECT_EQ(a.script.count<Closed>(), 0U) << "who hangs up is told nothing more";
  const LinkFigures f = a.link->figures();
  EXPECT_EQ(std::tie(f.datagrams_out, f.dialled, f.exchange_frames_in, f.exchange_frames_out, f.connections),
            std::make_tuple(2U, 2U, 2U, 2U, 0U));
}

TEST(Link, TheAddressThatCannotBeHadIsNamed) {
  Node a(1);
  try {
    Node other(1);
    FAIL();
  } catch (const LinkError& error) {
    EXPECT_NE(std::string(error.what()).find(to_text(own(1))), std::string::npos) << error.what();
  }
}

// What a frozen process finds when it goes on: answers in its socket, and a tick that is long due.
TEST(Link, AnswersThatCameMeanwhileAreReadBeforeALateTick) {
  constexpr std::size_t kCame = 150;
  std::mutex mutex;
  std::condition_variable changed;
  bool sent = false, frozen = false;
  std::size_t before_tick = 0, ticks = 0, seen = 0;
  Node a(1, {}, [&](const CoordinatorEvent& event, CoordinatorActions&) {
    if (std::holds_alternative<MembershipReceived>(event)) ++seen;
    if (!std::holds_alternative<IncarnationPersisted>(event)) return;
    std::unique_lock lock(mutex);
    frozen = true;
    changed.notify_all();
    changed.wait_for(lock, kWait, [&] { return sent; });
  });
  a.script.ticking = [&] {
    const std::lock_guard lock(mutex);
    if (frozen && ticks++ == 0) before_tick = seen;
    changed.notify_all();
  };
  const RawSocket peer(SOCK_DGRAM, 2);
  ASSERT_TRUE(peer.connect(own(1)));
  std::unique_lock lock(mutex);
  a.script.every = 1'000'000;
  a.link->incarnation_persisted(5);
  ASSERT_TRUE(changed.wait_for(lock, kWait, [&] { return frozen; }));
  for (std::size_t i = 0; i < kCame; ++i) ASSERT_TRUE(peer.send(encode(ping(2, i))));
  std::this_thread::sleep_for(5ms);  // so that the tick is due; it is in any case by the time it is read
  sent = true;
  changed.notify_all();
  ASSERT_TRUE(changed.wait_for(lock, kWait, [&] { return ticks > 0; }));
  EXPECT_EQ(before_tick, kCame);
  lock.unlock();
  a.link->stop();
}

TEST(Link, StopUnderLoadLeavesInOrderAndFreesTheAddress) {
  Node b(2, {}, answer);
  for (int round = 0; round < 5; ++round) {
    std::atomic<bool> over = false;
    {
      Node a(1, {}, answer);
      a.script.last = {SendMembership{own(2), MemberId{2}, ping(1, 1000)}};
      std::thread load([&] {
        const RawSocket peer(SOCK_DGRAM, 3);
        EXPECT_TRUE(peer.connect(own(1)));
        while (!over) (void)peer.send(encode(ping(3, 1)));
      });
      for (std::uint64_t i = 1; i <= 20; ++i)
        a.script.act(*a.link, {Dial{ConnectionId{2 * i}, own(2), MemberId{2}}});
      EXPECT_TRUE(a.script.wait<MembershipReceived>(100));
      a.link->stop();
      EXPECT_EQ(a.link->figures().connections, 0U);
      a.link->from_core(recovery::SourceUnreachable{});  // late, and harmless
      over = true;
      load.join();
    }
    EXPECT_TRUE(b.script.wait<MembershipReceived>(static_cast<std::size_t>(round) + 1)) << "the last word";
  }
}

TEST(Link, ADriverThatThrowsEndsTheLinkAlone) {
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
    EXPECT_FALSE(queue.push(recovery::SourceUnreachable{})) << "woken once a batch";
  EXPECT_EQ(queue.dropped(), 200U - 128U);
  EXPECT_EQ(queue.take().size(), 128U);
  EXPECT_TRUE(queue.push(recovery::SourceUnreachable{})) << "taken, so woken anew";
}

// The core's side while the link's thread stands still, and after: nothing waits, nothing is missed.
TEST(Link, WhoHurriesAStuckLinkIsNotHeldUpAndIsHeardAfter) {
  std::promise<void> stuck, free;
  std::atomic<bool> stands{true};
  Node a(1, {}, [&](const CoordinatorEvent& event, CoordinatorActions&) {
    if (!std::holds_alternative<IncarnationPersisted>(event)) return;
    stuck.set_value();
    free.get_future().wait_for(kWait);
    stands = false;
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
  EXPECT_TRUE(stands) << "the link is not stuck: this tests nothing";
  EXPECT_EQ(a.link->figures().core_dropped, 100'000 - a.settings.max_core_events);
  free.set_value();
  ASSERT_TRUE(a.script.wait<CoreEvent>(a.settings.max_core_events));
  for (int n = 1; n <= 2; ++n) {
    std::this_thread::sleep_for(20ms);  // so that the link has nothing else to do by which it would look
    a.script.every = 1;                 // due, and its timer does not know it
    a.link->reschedule();
    const auto until = std::chrono::steady_clock::now() + kWait;
    while (ticks < n && std::chrono::steady_clock::now() < until) std::this_thread::sleep_for(1ms);
    ASSERT_EQ(ticks, n);
  }
  a.link->stop();
}

}  // namespace
}  // namespace reeltack::fleet::link
