// Accepting side: handover of a port, and the limits and the end of each connection.
#include "net/connection_listener.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

namespace reeltack::test {
namespace {

// Number of queued connections that the listener accepts without waiting.
int accept_all(const net::Fd& listener) {
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
  net::Fd second = net::listen_on(at);
  net::yield_port(old);
  auto accepted = connect_to(at, 40);
  EXPECT_EQ(accept_all(old), 0);
  EXPECT_EQ(accept_all(second), 40);
  old.reset();
  accepted = connect_to(at, 8);  // no connection goes to a closed listener
  EXPECT_EQ(accept_all(second), 8);
  // The next handover: a new listener gets its share from the start, and all once the port is yielded again.
  const net::Fd third = net::listen_on(at);
  accepted = connect_to(at, 60);
  const int before = accept_all(third);
  EXPECT_EQ(before + accept_all(second), 60);
  EXPECT_LT(before, 60);
  net::yield_port(second);
  accepted = connect_to(at, 40);
  EXPECT_EQ(accept_all(third), 40);
}

TEST(Listener, YieldedPortWithoutASuccessorGoesOnAccepting) {
  const net::Address at{"127.0.0.1", 24912};
  const net::Fd alone = net::listen_on(at);
  net::yield_port(alone);
  const auto accepted = connect_to(at, 10);
  EXPECT_EQ(accept_all(alone), 10);
}

// A connection that echoes each line.
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
      message_complete();
      push(line);
    }
  }
  void on_left(const std::set<CallId>& /*open*/) override {}
};
// An accepted connection whose loop is not started, so that the test plays the loop's thread.
struct AcceptedPeer {
  AcceptedPeer() {
    int ends[2];
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
    far = net::Fd(ends[1]);
    peer = std::make_shared<LinePeer>(net::Fd(ends[0]));
    peer->begin(loop, [this](net::Peer&) { ended = true; });
  }
  net::Loop loop;
  net::Fd far;
  std::shared_ptr<LinePeer> peer;
  bool ended = false;
};

// With the processor overloaded, the loop was late in reading input, and the connection was evicted as an
// idle one.
TEST(ConnectionListener, PeerWithAPartialMessageIsNotEvicted) {
  AcceptedPeer accepted;
  // Longer than the grace period for a first message.
  net::pause_until(net::now() + std::chrono::milliseconds(300));
  EXPECT_EQ(accepted.peer->eviction_rank(), net::Peer::EvictionRank::silent);
  ASSERT_TRUE(net::write_all(accepted.far, "mess"));
  EXPECT_EQ(accepted.peer->eviction_rank(), net::Peer::EvictionRank::in_use);  // not yet read
  accepted.peer->handle_event(true);
  EXPECT_EQ(accepted.peer->eviction_rank(), net::Peer::EvictionRank::in_use);  // read, not yet complete
  accepted.peer->evict();
  EXPECT_FALSE(accepted.peer->evicting());
  ASSERT_TRUE(net::write_all(accepted.far, "age\n"));
  accepted.peer->handle_event(true);
  char reply[8];
  EXPECT_EQ(::recv(accepted.far.get(), reply, sizeof reply, MSG_WAITALL), 8);
  EXPECT_EQ(accepted.peer->eviction_rank(), net::Peer::EvictionRank::idle);
  accepted.peer->evict();
  EXPECT_TRUE(accepted.peer->evicting());
  accepted.peer->handle_event(true);
  EXPECT_TRUE(accepted.ended);
}

// Output that a peer does not read is bounded; output that it reads in parts arrives complete.
TEST(ConnectionListener, PeerThatReadsNothingIsNotReadEither) {
  AcceptedPeer accepted;
  const std::string line = std::string(8000, 'x') + "\n";
  std::size_t sent = 0;
  for (int n = 0; n < 400 && ::send(accepted.far.get(), line.data(), line.size(), MSG_DONTWAIT) > 0; ++n) {
    sent += line.size();
    accepted.peer->handle_event(true);
  }
  EXPECT_LT(sent, line.size() * 400);  // its own messages are not read any more
  EXPECT_TRUE(accepted.peer->behind());
  EXPECT_FALSE(accepted.peer->over());
  std::string back(sent, ' ');
  std::size_t got = 0;
  for (int n = 0; n < 100'000 && got < sent; ++n) {
    const ssize_t some = ::recv(accepted.far.get(), back.data() + got, sent - got, MSG_DONTWAIT);
    if (some > 0) got += static_cast<std::size_t>(some);
    accepted.peer->handle_event(true);
  }
  EXPECT_EQ(got / line.size(), sent / line.size());
  EXPECT_EQ(back.substr(0, line.size()), line);
}

// A peer that does not read is ended after 2 s; one that stops within a message, or sends none, is timed out.
TEST(ConnectionListener, EachLimitEndsAPeerInTimeWithItsReason) {
  AcceptedPeer unread, late, silent;
  const std::string line = std::string(8000, 'x') + "\n";
  for (int n = 0; n < 400 && ::send(unread.far.get(), line.data(), line.size(), MSG_DONTWAIT) > 0; ++n)
    unread.peer->handle_event(true);
  ASSERT_TRUE(net::write_all(late.far, "whole\nhalf"));
  late.peer->handle_event(true);
  net::pause_until(net::now() + std::chrono::milliseconds(2100));
  for (AcceptedPeer* accepted : {&unread, &late, &silent}) {
    accepted->peer->handle_event(false);
    EXPECT_TRUE(accepted->ended);
  }
  EXPECT_EQ(unread.peer->end_reason(), net::Peer::EndReason::unread);
  EXPECT_EQ(late.peer->end_reason(), net::Peer::EndReason::timeout);
  EXPECT_EQ(silent.peer->end_reason(), net::Peer::EndReason::timeout);
}

// A message split at every byte is answered once, and with the same answer.
TEST(ConnectionListener, MessageSplitAtEveryByteIsAnsweredOnce) {
  const std::string message = "one message of some length\n";
  for (std::size_t cut = 1; cut < message.size(); ++cut) {
    AcceptedPeer accepted;
    ASSERT_TRUE(net::write_all(accepted.far, message.substr(0, cut)));
    accepted.peer->handle_event(true);
    char none = 0;
    EXPECT_EQ(::recv(accepted.far.get(), &none, 1, MSG_DONTWAIT), -1) << cut;
    ASSERT_TRUE(net::write_all(accepted.far, message.substr(cut)));
    accepted.peer->handle_event(true);
    std::string back(64, ' ');
    const ssize_t n = ::recv(accepted.far.get(), back.data(), back.size(), MSG_DONTWAIT);
    ASSERT_GT(n, 0) << cut;
    EXPECT_EQ(back.substr(0, static_cast<std::size_t>(n)), message) << cut;
  }
}

// While the core's thread makes the last check of a set-up, the message is queued and not yet written,
// although the socket is writable. Watching for writability then made the loop spin until the check had
// ended.
TEST(ConnectionListener, WritabilityIsNotWatchedWhileAnotherThreadChecks) {
  AcceptedPeer accepted;
  accepted.peer->handle_event(false);
  bool checked = false;
  ASSERT_TRUE(accepted.peer->push("message\n", 1, [&](std::string& /*bytes*/) {
    const std::uint64_t before = accepted.loop.counts().controls;
    EXPECT_TRUE(accepted.peer->behind());
    accepted.peer->handle_event(false);  // the loop's own event, during the check
    EXPECT_EQ(accepted.loop.counts().controls, before);
    return checked = true;
  }));
  accepted.peer->handle_event(false);
  EXPECT_TRUE(checked);
  EXPECT_FALSE(accepted.peer->behind());
  char reply[8];
  EXPECT_EQ(::recv(accepted.far.get(), reply, sizeof reply, MSG_DONTWAIT), 8);
}

// While a peer reads all its answers, a message costs no system call besides its read and the write of its
// answer.
TEST(ConnectionListener, InterestChangesOnlyWhileOutputIsQueued) {
  AcceptedPeer accepted;
  for (int n = 0; n < 50; ++n) {
    ASSERT_TRUE(net::write_all(accepted.far, "message\n"));
    accepted.peer->handle_event(true);
  }
  EXPECT_EQ(accepted.loop.counts().controls, 2U);  // the loop's bell, and reading from this peer
  while (!accepted.peer->behind()) ASSERT_TRUE(accepted.peer->push(std::string(8000, 'x')));
  accepted.peer->handle_event(false);
  EXPECT_EQ(accepted.loop.counts().controls, 3U);  // and writing
  std::string back(1 << 20, ' ');
  while (accepted.peer->behind()) {
    static_cast<void>(!::recv(accepted.far.get(), back.data(), back.size(), MSG_DONTWAIT));
    accepted.peer->handle_event(true);
  }
  EXPECT_EQ(accepted.loop.counts().controls, 4U);
}

}  // namespace
}  // namespace reeltack::test
