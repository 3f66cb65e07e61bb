// A listener's connections, stepped by hand: what crosses their ends, from the far side and from ours.
#include "connection.h"

#include <atomic>
#include <future>

#include "net/connection_listener.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

// Where the processor is short, the loop comes to a message after its time is up: it came in time.
TEST(ConnectionCrossings, MessageThatLiesUnreadAtItsTimeLimitIsNotLate) {
  Connection first, rest, half;
  ASSERT_TRUE(net::write_all(rest.far, "begun "));
  ASSERT_TRUE(rest.await_unread());
  rest.near->handle_event(true);
  first.send("first\n");
  rest.send("and whole\n");
  half.send("half");
  net::pause_until(net::now() + 2100ms);  // the limit is 2 s
  for (Connection* c : {&first, &rest, &half}) c->near->handle_event(false);
  EXPECT_EQ(first.near->lines, 1);
  EXPECT_EQ(rest.near->lines, 1);
  EXPECT_FALSE(first.over || rest.over);
  EXPECT_EQ(half.near->lines, 0);  // its time runs from its first byte that was read
  EXPECT_FALSE(half.over);
}

TEST(ConnectionCrossings, ConnectionThatSaidNothingInTimeIsLateStill) {
  Connection silent, half;
  half.send("half");
  half.near->handle_event(true);
  net::pause_until(net::now() + 2100ms);
  silent.near->handle_event(false);
  half.near->handle_event(false);
  EXPECT_EQ(silent.near->end_reason(), net::Peer::EndReason::timeout);
  EXPECT_EQ(half.near->end_reason(), net::Peer::EndReason::timeout);
}

// What is open is answered first; a connection that can't answer is left at once.
TEST(ConnectionCrossings, HalfCloseWithAnOpenSetUpWaitsForItsAnswer) {
  Connection c;
  c.near->opened(CallId{1});
  ASSERT_EQ(::shutdown(c.far.get(), SHUT_WR), 0);
  ASSERT_TRUE(await_kernel([&] { return !c.near->reachable(); }));
  c.near->handle_event(true);
  EXPECT_EQ(c.near->open_at_leaving, std::set{CallId{1}});
  EXPECT_FALSE(c.over);
  EXPECT_FALSE(c.near->accepts_output());
  EXPECT_EQ(c.near->eviction_rank(), net::Peer::EvictionRank::in_use);
  ASSERT_TRUE(c.near->push("refused\n"));
  c.near->closed(CallId{1});
  c.near->handle_event(false);
  EXPECT_TRUE(c.over);
  EXPECT_EQ(c.near->lefts, 1);
  EXPECT_EQ(c.read_to_end(), "refused\n|end");
}

TEST(ConnectionCrossings, FrontThatDoesNotAnswerAfterTheEndLeavesAtOnce) {
  Connection c(false);
  c.near->opened(CallId{1});
  c.close_far();
  c.near->handle_event(true);
  EXPECT_EQ(c.near->open_at_leaving, std::set{CallId{1}});
  EXPECT_TRUE(c.over);
}

TEST(ConnectionCrossings, BytesBehindAMisunderstoodMessageAreDroppedUntilItsCallsAreAnswered) {
  Connection c;
  c.near->opened(CallId{1});
  c.send("bad\nnever read\n");
  c.near->handle_event(true);
  EXPECT_EQ(c.near->lines, 1);
  EXPECT_EQ(c.near->lefts, 0);
  ASSERT_TRUE(c.near->push("answer\n"));
  c.near->closed(CallId{1});
  c.near->handle_event(false);
  EXPECT_FALSE(c.over);  // it drops what still comes, so that its answers arrive
  ASSERT_EQ(::shutdown(c.far.get(), SHUT_WR), 0);
  ASSERT_TRUE(await_kernel([&] {
    c.near->handle_event(true);
    return c.over;
  }));
  EXPECT_EQ(c.read_to_end(), "bad\nanswer\n|end");
}

// What comes after a close of ours is not read, and so never taken; the far end sees the close.
TEST(ConnectionCrossings, MessageBehindOurOwnCloseIsNotTaken) {
  Connection idle, resting;
  for (Connection* c : {&idle, &resting}) {
    c->send("served\n");
    c->near->handle_event(true);
  }
  idle.near->evict();
  ASSERT_TRUE(idle.near->evicting());
  static_cast<void>(net::write_all(idle.far, "crossed\n"));
  idle.near->handle_event(true);
  resting.near->close(false);
  resting.near->handle_event(false);
  static_cast<void>(net::write_all(resting.far, "crossed\n"));
  for (Connection* c : {&idle, &resting}) {
    EXPECT_TRUE(c->over);
    EXPECT_EQ(c->near->lines, 1);
    EXPECT_EQ(c->read_to_end().rfind("served\n|", 0), 0U);  // the answer before is not lost
  }
}

// What came before the close is answered first.
TEST(ConnectionCrossings, MessageBeforeOurOwnCloseIsAnsweredFirst) {
  Connection idle, resting;
  for (Connection* c : {&idle, &resting}) {
    c->send("served\n");
    c->near->handle_event(true);
    c->send("before\n");
  }
  idle.near->evict();
  EXPECT_FALSE(idle.near->evicting());  // kept: it has said what is not yet read
  resting.near->close(false);
  resting.near->handle_event(false);
  EXPECT_FALSE(resting.over);
  resting.near->handle_event(true);
  EXPECT_EQ(resting.near->lines, 2);
  EXPECT_TRUE(resting.over);
  EXPECT_EQ(resting.read_to_end(), "served\nbefore\n|end");
}

// The loop is held as it lets the first one in: the others lie in the kernel's queue, with their requests, as
// the listener is closed.
TEST(ConnectionCrossings, RequestsInTheAcceptQueueAtTheListenersCloseAreAnswered) {
  constexpr std::uint16_t kPort = 24931;
  std::promise<void> go;
  std::atomic<bool> held{false};
  net::ConnectionListener listener(1000, [&, wait = go.get_future().share()](net::Fd fd) {
    held = true;
    wait.wait();
    return std::make_shared<EchoPeer>(std::move(fd), true);
  });
  listener.open({"127.0.0.1", kPort});
  std::vector<net::Fd> callers;
  const auto call = [&] {
    callers.push_back(net::dial({"127.0.0.1", kPort}, net::now() + 20s).fd);
    ASSERT_TRUE(net::write_all(callers.back(), "request\n"));
  };
  call();
  ASSERT_TRUE(await_kernel([&] { return held.load(); }));
  for (int n = 0; n < 200; ++n) call();  // more than are let in at a time
  std::thread closer([&] { listener.close_idle(); });
  go.set_value();
  closer.join();
  for (const net::Fd& caller : callers) {
    char answer[8];
    EXPECT_EQ(::recv(caller.get(), answer, sizeof answer, MSG_WAITALL), 8);
  }
  listener.close_all();
}

}  // namespace
}  // namespace reeltack::test
