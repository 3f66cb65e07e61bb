// What a faulty peer may do to a link: stay silent, send too much or too slowly, read nothing, connect too
// often.
#include <thread>

#include "link_rig.h"

namespace reeltack::fleet::link {
namespace {

void use_short_timeouts(LinkSettings& s) { s.dial_timeout = s.idle_timeout = 200ms; }

TEST(LinkPeer, UnansweredDialsAndSilentConnectionsAreClosed) {
  Node a(1, use_short_timeouts);
  a.script.act(*a.link, {Dial{ConnectionId{2}, own(9), MemberId{9}}});  // refused
  ASSERT_TRUE(a.script.wait<Closed>());
  // The first connection fills this listener's backlog: a further one is neither accepted nor refused.
  const RawSocket full(SOCK_STREAM, 3);
  const Endpoint at = full.listen(0);
  const RawSocket first(SOCK_STREAM, 4);
  ASSERT_TRUE(first.connect(at));
  a.script.act(*a.link, {Dial{ConnectionId{4}, at, MemberId{3}}});
  ASSERT_TRUE(a.script.wait<Closed>(2));
  EXPECT_EQ(a.script.count<Opened>(), 0U);
  // Half-open: the kernel accepts the connection, but the peer never sends.
  const RawSocket silent(SOCK_STREAM, 5);
  a.script.act(*a.link, {Dial{ConnectionId{6}, silent.listen(8), MemberId{5}}});
  ASSERT_TRUE(a.script.wait<Opened>() && a.script.wait<Closed>(3));
  EXPECT_EQ(a.script.get<Closed>(2).id, ConnectionId{6});
}

TEST(LinkPeer, FramesThatAreTooLongOrTooSlowEndTheConnection) {
  Node a(1, use_short_timeouts);
  const RawSocket large(SOCK_STREAM, 2);
  ASSERT_TRUE(large.connect(own(1)) && large.send("\x7f\xff\xff\xff"));
  EXPECT_TRUE(large.closed());
  ASSERT_TRUE(a.script.wait<Malformed>() && a.script.wait<Closed>());
  // Only a complete frame extends the deadline, not single bytes.
  const RawSocket slow(SOCK_STREAM, 3);
  ASSERT_TRUE(slow.connect(own(1)));
  const std::string frame = encode(summary(3));
  EXPECT_TRUE(slow.send(frame));
  ASSERT_TRUE(a.script.wait<ExchangeReceived>());
  std::size_t sent = 0;
  for (; sent < frame.size() && slow.send(frame.substr(sent, 1)); ++sent) std::this_thread::sleep_for(20ms);
  EXPECT_LT(sent, frame.size()) << "the frame was accepted although it took too long";
  ASSERT_TRUE(a.script.wait<Closed>(2));
  EXPECT_EQ(a.script.count<ExchangeReceived>(), 1U);
}

TEST(LinkPeer, APeerThatSendsTooManyFramesIsDisconnected) {
  Node a(1);
  const RawSocket peer(SOCK_STREAM, 2);
  ASSERT_TRUE(peer.connect(own(1)));
  const std::string frame = encode(summary(2));
  for (std::size_t i = 0; i <= a.settings.max_frames; ++i) (void)peer.send(frame);
  EXPECT_TRUE(peer.closed());
  ASSERT_TRUE(a.script.wait<Closed>());
  EXPECT_EQ(a.script.count<ExchangeReceived>(), a.settings.max_frames);
}

TEST(LinkPeer, APeerThatReadsNothingIsDisconnected) {
  Node a(1, [](LinkSettings& s) { s.idle_timeout = 60s; });
  Node b(2, {}, [](const CoordinatorEvent& event, CoordinatorActions& actions) {
    if (const auto* up = std::get_if<Opened>(&event)) actions.push_back(SendExchange{up->id, summary(2)});
  });
  const RawSocket non_reading(SOCK_STREAM, 3);
  ASSERT_TRUE(non_reading.connect(own(1)));
  ASSERT_TRUE(a.script.wait<Accepted>());
  const Exchange exchange = large(1);
  const ConnectionId id = a.script.get<Accepted>().id;
  // One at a time, so that the queue grows only once the kernel's buffers are full.
  std::uint64_t sent_count = 0;
  for (; sent_count < 20000 && a.script.count<Closed>() == 0; ++sent_count) {
    a.script.act(*a.link, {SendExchange{id, exchange}});
    for (int i = 0; i < 1000 && a.link->figures().exchange_frames_out <= sent_count; ++i)
      std::this_thread::yield();
  }
  ASSERT_TRUE(a.script.wait<Closed>());
  const LinkFigures f = a.link->figures();
  EXPECT_EQ(f.overflowed, 1U);
  // What fits into the queue's bound, the frame beyond it, and what was sent until the end of the connection
  // was noticed.
  const std::uint64_t held =
      f.exchange_frames_out + a.settings.max_queued_bytes / encode(exchange).size() + 1;
  EXPECT_GE(sent_count, held);
  EXPECT_LE(sent_count, held + 16);
  b.script.act(*b.link, {Dial{ConnectionId{2}, own(1), MemberId{1}}});
  EXPECT_TRUE(a.script.wait<ExchangeReceived>()) << "other peers are still served";
}

TEST(LinkPeer, AcceptedConnectionsAreBoundedAndSomeReservedForDialling) {
  Node a(1, [](LinkSettings&s) { s.idle_timeout = 60s; }), b(2);
  std::vector<RawSocket> taken;
  const auto connect_from = [&taken](unsigned from) {
    taken.emplace_back(SOCK_STREAM, from);
    EXPECT_TRUE(taken.back().connect(own(1)));
  };
  for (int i = 0; i < 4; ++i) connect_from(10);
  ASSERT_TRUE(a.script.wait<Accepted>(4));
  {
    const RawSocket fifth(SOCK_STREAM, 10);
    ASSERT_TRUE(fifth.connect(own(1)));
    EXPECT_TRUE(fifth.closed()) << "the fifth of one address";
  }
  for (unsigned i = 0; i < 20; ++i) connect_from(11 + i / 4);
  ASSERT_TRUE(a.script.wait<Accepted>(24));
  const RawSocket more(SOCK_STREAM, 20);
  ASSERT_TRUE(more.connect(own(1)));
  EXPECT_TRUE(more.closed()) << "the 25th of all";
  EXPECT_EQ(a.link->figures().refused, 2U);
  CoordinatorActions dials;
  for (std::uint64_t i = 1; i <= 9; ++i) dials.push_back(Dial{ConnectionId{2 * i}, own(2), MemberId{2}});
  a.script.act(*a.link, std::move(dials));
  ASSERT_TRUE(a.script.wait<Closed>()) << "the 33rd";
  EXPECT_EQ(a.script.get<Closed>().id, ConnectionId{18});
  taken.pop_back();
  ASSERT_TRUE(a.script.wait<Closed>(2));
  connect_from(21);
  EXPECT_TRUE(a.script.wait<Accepted>(25)) << "a freed slot is reused";
}

TEST(LinkPeer, AFloodOfDatagramsHoldsUpNeitherTicksNorExchanges) {
  std::atomic<std::size_t> since_tick = 0, max_between_ticks = 0, ticks = 0;
  Node a(1, {}, [&](const CoordinatorEvent& event, CoordinatorActions&) {
    const bool flood =
        std::holds_alternative<MembershipReceived>(event) || std::holds_alternative<Malformed>(event);
    if (flood && ++since_tick > max_between_ticks) max_between_ticks = since_tick.load();
    if (flood) std::this_thread::sleep_for(50us);  // slower than the flood arrives
  });
  a.script.ticking = [&] { since_tick = 0, ++ticks; };
  Node b(2, {}, [](const CoordinatorEvent& event, CoordinatorActions& actions) {
    if (const auto* up = std::get_if<Opened>(&event)) actions.push_back(SendExchange{up->id, summary(2)});
  });
  std::atomic<bool> stop = false;
  std::thread flood([&] {
    const RawSocket peer(SOCK_DGRAM, 3);
    EXPECT_TRUE(peer.connect(own(1)));
    const std::string good = encode(ping(3, 1));
    while (!stop) (void)(peer.send(good) && peer.send(good.substr(0, 9)));
  });
  a.script.every = 1'000'000;
  a.script.act(*a.link, {});
  EXPECT_TRUE(a.script.wait<Malformed>(2000));
  const std::size_t before = ticks;
  b.script.act(*b.link, {Dial{ConnectionId{2}, own(1), MemberId{1}}});
  EXPECT_TRUE(a.script.wait<ExchangeReceived>());
  EXPECT_TRUE(a.script.wait<Malformed>(4000));
  EXPECT_GT(ticks, before);
  stop = true;
  flood.join();
  a.link->stop();
  // Between two ticks only a few reads and the reads before the tick are allowed.
  EXPECT_LE(max_between_ticks, 4 * a.settings.max_datagrams_per_read + a.settings.max_datagrams_before_tick);
}

}  // namespace
}  // namespace reeltack::fleet::link
