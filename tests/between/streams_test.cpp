// The relay on sockets: what each fault does to connections and their bytes.
#include "on_sockets.h"

namespace reeltack::standin {
namespace {

TEST_F(OnSockets, DatagramsAndStreamsPass) {
  say("a", "b", "ping");
  EXPECT_EQ(hear("b"), "ping");
  say("b", "a", "pong");
  EXPECT_EQ(hear("a"), "pong");
  Ends ends = connect("a", "b");
  const std::string big(1 << 20, 'x');
  std::thread writer([&] { net::write_all(ends.dialled, big); });
  EXPECT_EQ(read(ends.taken, big.size()), big);
  writer.join();
  net::write_all(ends.taken, "answer");
  EXPECT_EQ(read(ends.dialled, 6), "answer");
  ends.dialled.shut_write();
  EXPECT_EQ(read(ends.taken, 1), "|end");
  EXPECT_EQ(between_->counts("a", "b").stream_bytes, big.size());
}

TEST_F(OnSockets, ACutLeavesStreamsHalfOpenAndTheirBytesComeWhenItHeals) {
  Ends ends = connect("a", "b");
  between_->set(there_, {.cut = true});
  net::write_all(ends.dialled, "held");
  ends.dialled.shut_write();
  net::write_all(ends.taken, "back");
  EXPECT_EQ(read(ends.dialled, 4), "back");
  EXPECT_TRUE(quiet(ends.taken));
  between_->heal();
  EXPECT_EQ(read(ends.taken, 5), "held|end");
}

TEST_F(OnSockets, ACutHidesAResetToo) {
  Ends ends = connect("a", "b");
  between_->set(there_, {.cut = true});
  const linger at_once{1, 0};
  ::setsockopt(ends.dialled.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ends.dialled.reset();
  for (int i = 0; i < 2; ++i) net::write_all(ends.taken, "into nothing");
  say("c", "b", "later");
  EXPECT_EQ(hear("b"), "later");
  EXPECT_TRUE(quiet(ends.taken));
  between_->heal();
  EXPECT_EQ(read(ends.taken, 1), "|reset");
}

TEST_F(OnSockets, NewConnectionsHangWhileEitherWayIsCut) {
  for (const LinkSet& cut : {there_, LinkSet{{"b"}, {"a"}}}) {
    between_->set(cut, {.cut = true});
    net::Dial how{};
    const net::Fd waiting = net::begin_dial(between_->relay("a", "b"), how);
    EXPECT_EQ(how, net::Dial::pending);
    connect("c", "b");
    EXPECT_EQ(net::dial_state(waiting), net::Dial::pending);
    between_->heal();
    // The kernel sends its SYN again after a second.
    EXPECT_TRUE(eventually([&] { return net::dial_state(waiting) == net::Dial::up; }));
    EXPECT_TRUE(static_cast<bool>(net::accept_one(peers_["b"].listener, soon())));
  }
}

TEST_F(OnSockets, ConnectionsAreRefusedAndThenTaken) {
  const Ends before = connect("a", "b");
  between_->set(there_, {.refuse = true});
  EXPECT_EQ(net::dial(between_->relay("a", "b"), soon()).how, net::Dial::refused);
  connect("b", "a");
  between_->clear(there_);
  connect("a", "b");
  net::write_all(before.dialled, "stands");
  EXPECT_EQ(read(before.taken, 6), "stands");
}

TEST_F(OnSockets, AResetBreaksBothEndsAndNewOnesWhileItLasts) {
  Ends ends = connect("a", "b");
  between_->reset(there_);
  EXPECT_EQ(read(ends.dialled, 1), "|reset");
  EXPECT_EQ(read(ends.taken, 1), "|reset");
  ends = connect("a", "b");
  between_->set(there_, {.reset = true});
  EXPECT_EQ(read(ends.dialled, 1), "|reset");
  const net::Dialled fresh = net::dial(between_->relay("a", "b"), soon());
  EXPECT_TRUE(fresh.how != net::Dial::up || read(fresh.fd, 1) == "|reset");
  EXPECT_GE(between_->counts("a", "b").resets, 2U);
}

TEST_F(OnSockets, AStreamIsBrokenInTheMiddle) {
  between_->set(there_, {.cut_after = 40});
  Ends ends = connect("a", "b");
  net::write_all(ends.dialled, std::string(100, 'x'));
  EXPECT_EQ(read(ends.taken, 100), std::string(40, 'x') + "|reset");
}

TEST_F(OnSockets, WhoDialsADeadPeerIsReset) {
  peers_["b"].listener.reset();
  const net::Dialled up = net::dial(between_->relay("a", "b"), soon());
  ASSERT_EQ(up.how, net::Dial::up);
  EXPECT_EQ(read(up.fd, 1), "|reset");
}

TEST_F(OnSockets, AThrottledStreamTakesItsTimeAndLosesNothing) {
  between_->set(there_, {.throttle = 20'000});
  Ends ends = connect("a", "b");
  std::string sent;
  for (int i = 0; i < 10'000; ++i) sent += static_cast<char>('a' + i % 26);
  const auto began = std::chrono::steady_clock::now();
  net::write_all(ends.dialled, sent);
  EXPECT_EQ(read(ends.taken, sent.size()), sent);
  EXPECT_GE(std::chrono::steady_clock::now() - began, 490ms);
}

}  // namespace
}  // namespace reeltack::standin
