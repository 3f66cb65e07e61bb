// Connections whose answers are not read, so that nothing more is read of them either: how their ends are
// noticed, and what becomes of an answer that is partly written.
#include "connection.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

// Sends lines and reads none of their echoes, until no more is read of it. Little lies unread in the kernel
// then, so that its close gets through.
void crowd(Connection& c) {
  const std::string line = std::string(8000, 'x') + "\n";
  const net::Fd near(::dup(c.near_fd));
  for (int n = 0; n < 2000 && !near.unread(); ++n) {
    c.send(line);
    for (int turns = 0; turns < 20; ++turns) c.near->handle_event(true);
  }
  ASSERT_TRUE(c.near->behind());
  ASSERT_TRUE(near.unread());
}

TEST(UnreadAnswers, ResetWhileNothingIsReadIsNoticed) {
  Connection c;
  crowd(c);
  c.near->opened(CallId{1});
  reset(c.far);
  ASSERT_TRUE(await_kernel([&] { return !c.near->reachable(); }));
  c.near->handle_event(true);
  EXPECT_TRUE(c.over);
  EXPECT_EQ(c.near->open_at_leaving, std::set{CallId{1}});
}

TEST(UnreadAnswers, HalfCloseWhileNothingIsReadIsNoticed) {
  Connection c;
  crowd(c);
  c.near->opened(CallId{1});
  ASSERT_EQ(::shutdown(c.far.get(), SHUT_WR), 0);
  ASSERT_TRUE(await_kernel([&] { return !c.near->reachable(); }));
  c.near->handle_event(false);  // of its own time: no event tells of it
  EXPECT_EQ(c.near->open_at_leaving, std::set{CallId{1}});
  EXPECT_FALSE(c.over);  // its answers may still be read
}

// Tells when the loop has begun and given all that was added before it its first turn.
class FirstTurn final : public net::EventHandler {
 public:
  void handle_event(bool /*ready*/) override { came = true; }
  std::atomic<bool> came{false};
};

// On a running loop: looked for in time, long before the limit for unread answers ends the connection.
TEST(UnreadAnswers, HalfCloseIsLookedForWithoutAnEvent) {
  Connection c;
  crowd(c);
  c.near->opened(CallId{1});
  const auto first = std::make_shared<FirstTurn>();
  c.loop.add(first);
  c.loop.start();
  ASSERT_TRUE(await_kernel([&] { return first->came.load(); }));
  ASSERT_EQ(::shutdown(c.far.get(), SHUT_WR), 0);
  ASSERT_TRUE(await_kernel([&] { return c.near->lefts.load() == 1; }));
  c.loop.stop();
  EXPECT_EQ(c.near->end_reason(), net::Peer::EndReason::peer);
}

}  // namespace
}  // namespace reeltack::test
