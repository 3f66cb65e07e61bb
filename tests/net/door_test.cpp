// The accepting side: ports handed over, and each connection's limits and end.
#include "net/door.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

namespace reeltack::test {
namespace {

// How many of `n` new connections the listener is given: those already let in, without waiting.
int let_in(const net::Fd& listener) {
  int n = 0;
  while (net::accept_one(listener, net::now())) ++n;
  return n;
}
std::vector<net::Fd> connect_to(const net::Address& at, int n) {
  std::vector<net::Fd> out;
  for (int i = 0; i < n; ++i) {
    out.push_back(net::dial(at, net::now() + std::chrono::seconds(5)).fd);
    EXPECT_TRUE(out.back());
  }
  return out;
}

TEST(Listener, YieldedPortGivesAllNewConnectionsToTheNextListener) {
  const net::Address at{"127.0.0.1", 24911};
  net::Fd old = net::listen_on(at);
  net::Fd fresh = net::listen_on(at);
  net::yield_port(old);
  auto held = connect_to(at, 40);
  EXPECT_EQ(let_in(old), 0);
  EXPECT_EQ(let_in(fresh), 40);
  old.reset();
  held = connect_to(at, 8);  // nobody is sent to a listener that has gone
  EXPECT_EQ(let_in(fresh), 8);
  // The next handover: a newcomer gets its share from the start, and all once the port is yielded again.
  const net::Fd third = net::listen_on(at);
  held = connect_to(at, 60);
  const int before = let_in(third);
  EXPECT_EQ(before + let_in(fresh), 60);
  EXPECT_LT(before, 60);
  net::yield_port(fresh);
  held = connect_to(at, 40);
  EXPECT_EQ(let_in(third), 40);
}

TEST(Listener, YieldedPortWithoutASuccessorGoesOnAccepting) {
  const net::Address at{"127.0.0.1", 24912};
  const net::Fd alone = net::listen_on(at);
  net::yield_port(alone);
  const auto held = connect_to(at, 10);
  EXPECT_EQ(let_in(alone), 10);
}

// A connection that answers each line by itself.
class LinePeer final : public net::Peer {
 public:
  using net::Peer::Peer;

 protected:
  Next received() override {
    for (;;) {
      const std::size_t end = buffer_.view().find('\n');
      if (end == std::string_view::npos) return Next::more;
      const std::string line(buffer_.view().substr(0, end + 1));
      buffer_.take(end + 1);
      whole();
      push(line);
    }
  }
  void left(const std::set<CallId>& /*open*/) override {}
};
// One accepted by a loop that has not begun to turn, so that the test is the loop's thread.
struct Held {
  Held() {
    int ends[2];
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
    far = net::Fd(ends[1]);
    peer = std::make_shared<LinePeer>(net::Fd(ends[0]));
    peer->begin(loop, [this](net::Peer&) { over = true; });
  }
  net::Loop loop;
  net::Fd far;
  std::shared_ptr<LinePeer> peer;
  bool over = false;
};

// Found on rf5f9da: with the processor short, a reader came late to what had come for it, and its connection
// was closed for room as an idle one.
TEST(ConnectionListener, PeerWithAMessageInHandIsNotClosedForRoom) {
  Held held;
  net::pause_until(net::now() + std::chrono::milliseconds(300));  // longer than a shy peer is given
  EXPECT_EQ(held.peer->eviction_rank(), net::Peer::EvictionRank::silent);
  ASSERT_TRUE(net::write_all(held.far, "mess"));
  EXPECT_EQ(held.peer->eviction_rank(), net::Peer::EvictionRank::in_use);  // not yet read
  held.peer->handle_event(true);
  EXPECT_EQ(held.peer->eviction_rank(), net::Peer::EvictionRank::in_use);  // read, not yet whole
  held.peer->evict();
  EXPECT_FALSE(held.peer->evicting());
  ASSERT_TRUE(net::write_all(held.far, "age\n"));
  held.peer->handle_event(true);
  char told[8];
  EXPECT_EQ(::recv(held.far.get(), told, sizeof told, MSG_WAITALL), 8);
  EXPECT_EQ(held.peer->eviction_rank(), net::Peer::EvictionRank::idle);
  held.peer->evict();
  EXPECT_TRUE(held.peer->evicting());
  held.peer->handle_event(true);
  EXPECT_TRUE(held.over);
}

// What a peer does not read is bounded, and ends it; what it does read in parts arrives whole.
TEST(ConnectionListener, PeerThatReadsNothingIsNotReadEither) {
  Held held;
  const std::string line = std::string(8000, 'x') + "\n";
  std::size_t sent = 0;
  for (int n = 0; n < 400 && ::send(held.far.get(), line.data(), line.size(), MSG_DONTWAIT) > 0; ++n) {
    sent += line.size();
    held.peer->handle_event(true);
  }
  EXPECT_LT(sent, line.size() * 400);  // its own messages are not taken any more
  EXPECT_TRUE(held.peer->behind());
  EXPECT_FALSE(held.peer->over());
  std::string back(sent, ' ');
  std::size_t got = 0;
  for (int n = 0; n < 100'000 && got < sent; ++n) {
    const ssize_t some = ::recv(held.far.get(), back.data() + got, sent - got, MSG_DONTWAIT);
    if (some > 0) got += static_cast<std::size_t>(some);
    held.peer->handle_event(true);
  }
  EXPECT_EQ(got / line.size(), sent / line.size());
  EXPECT_EQ(back.substr(0, line.size()), line);
}

// It is ended for that after 2 s; one that is quiet in the middle of a message, or from the start, as late.
TEST(ConnectionListener, EachLimitEndsAPeerInItsTimeAndSaysWhich) {
  Held unread, late, silent;
  const std::string line = std::string(8000, 'x') + "\n";
  for (int n = 0; n < 400 && ::send(unread.far.get(), line.data(), line.size(), MSG_DONTWAIT) > 0; ++n)
    unread.peer->handle_event(true);
  ASSERT_TRUE(net::write_all(late.far, "whole\nhalf"));
  late.peer->handle_event(true);
  net::pause_until(net::now() + std::chrono::milliseconds(2100));
  for (Held* held : {&unread, &late, &silent}) {
    held->peer->handle_event(false);
    EXPECT_TRUE(held->over);
  }
  EXPECT_EQ(unread.peer->end_reason(), net::Peer::EndReason::unread);
  EXPECT_EQ(late.peer->end_reason(), net::Peer::EndReason::timeout);
  EXPECT_EQ(silent.peer->end_reason(), net::Peer::EndReason::timeout);
}

// A message cut at every byte: the parts come as they may, the answer is the same and comes once.
TEST(ConnectionListener, MessageCutAtEveryByteIsAnsweredOnce) {
  const std::string message = "one message of some length\n";
  for (std::size_t cut = 1; cut < message.size(); ++cut) {
    Held held;
    ASSERT_TRUE(net::write_all(held.far, message.substr(0, cut)));
    held.peer->handle_event(true);
    char none = 0;
    EXPECT_EQ(::recv(held.far.get(), &none, 1, MSG_DONTWAIT), -1) << cut;
    ASSERT_TRUE(net::write_all(held.far, message.substr(cut)));
    held.peer->handle_event(true);
    std::string back(64, ' ');
    const ssize_t n = ::recv(held.far.get(), back.data(), back.size(), MSG_DONTWAIT);
    ASSERT_GT(n, 0) << cut;
    EXPECT_EQ(back.substr(0, static_cast<std::size_t>(n)), message) << cut;
  }
}

// A set-up whose last check is under way on the core's thread is queued and not yet written; the socket would
// take it. To wait for the socket then had it show at once, without end, until that thread had the core
// again.
TEST(ConnectionListener, PeerIsNotWaitedForToWriteWhileAnotherThreadStillChecks) {
  Held held;
  held.peer->handle_event(false);
  bool checked = false;
  ASSERT_TRUE(held.peer->push("message\n", 1, [&](std::string& /*bytes*/) {
    const std::uint64_t before = held.loop.counts().controls;
    EXPECT_TRUE(held.peer->behind());
    held.peer->handle_event(false);  // as the loop's own, beside the check
    EXPECT_EQ(held.loop.counts().controls, before);
    return checked = true;
  }));
  held.peer->handle_event(false);
  EXPECT_TRUE(checked);
  EXPECT_FALSE(held.peer->behind());
  char told[8];
  EXPECT_EQ(::recv(held.far.get(), told, sizeof told, MSG_DONTWAIT), 8);
}

// While a peer takes all and asks for little, a message costs no call beside its reading and its answer.
TEST(ConnectionListener, InterestIsSetOnceAndAgainOnlyWhileThePeerIsBehind) {
  Held held;
  for (int n = 0; n < 50; ++n) {
    ASSERT_TRUE(net::write_all(held.far, "message\n"));
    held.peer->handle_event(true);
  }
  EXPECT_EQ(held.loop.counts().controls, 2U);  // its own bell, and reading this peer
  while (!held.peer->behind()) ASSERT_TRUE(held.peer->push(std::string(8000, 'x')));
  held.peer->handle_event(false);
  EXPECT_EQ(held.loop.counts().controls, 3U);  // now for writing
  std::string back(1 << 20, ' ');
  while (held.peer->behind()) {
    static_cast<void>(!::recv(held.far.get(), back.data(), back.size(), MSG_DONTWAIT));
    held.peer->handle_event(true);
  }
  EXPECT_EQ(held.loop.counts().controls, 4U);
}

}  // namespace
}  // namespace reeltack::test
