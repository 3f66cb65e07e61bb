// The event loop: what turns come, and what they cost in calls of the system.
#include "net/loop.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <condition_variable>
#include <functional>

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

// A thing on a loop that notes its turns, and does in each what it is told to, on the loop's thread.
class Noted final : public net::EventHandler {
 public:
  using Does = std::function<void(int turn, bool ready)>;
  explicit Noted(Does does = {}) : does_(std::move(does)) {}
  void handle_event(bool ready) override {
    const std::lock_guard hold(lock_);
    ++turns_;
    if (does_) does_(turns_, ready);
    changed_.notify_all();
  }
  bool await(int n) {
    std::unique_lock hold(lock_);
    return changed_.wait_for(hold, 20s, [&] { return turns_ >= n; });
  }
  int turns() {
    const std::lock_guard hold(lock_);
    return turns_;
  }
  net::Loop::Id id = 0;

 private:
  const Does does_;
  std::mutex lock_;
  std::condition_variable changed_;
  int turns_ = 0;
};

struct Pair {
  Pair() {
    int ends[2];
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
    near = net::Fd(ends[0]);
    far = net::Fd(ends[1]);
  }
  net::Fd near, far;
};

TEST(Loop, TurnsForDescriptorsWakesAndTimesAndNotAfterRemoval) {
  net::Loop loop;
  const Pair pair;
  Time by{};
  const auto noted = std::make_shared<Noted>([&](int turn, bool ready) {
    EXPECT_EQ(ready, turn == 4);
    if (turn == 2) loop.due(1, by = net::now() + 10ms);
    if (turn == 3) {
      EXPECT_GE(net::now(), by);
      EXPECT_TRUE(loop.watch(1, pair.near, true, false));
      EXPECT_TRUE(net::write_all(pair.far, "x"));
    }
    if (turn != 4) return;
    loop.unwatch(pair.near);
    loop.due(1, net::now() + 1ms);
    loop.remove(1);
    loop.wake(1);
  });
  ASSERT_EQ(loop.add(noted), 1U);
  loop.start();
  ASSERT_TRUE(noted->await(1));  // told once that it is there
  loop.wake(1);
  ASSERT_TRUE(noted->await(4));
  const auto last = std::make_shared<Noted>([&](int turn, bool) {
    if (turn == 1) loop.due(2, net::now() + 20ms);
  });
  loop.add(last);
  ASSERT_TRUE(last->await(2));  // by now the removed one's time has passed
  loop.stop();
  EXPECT_EQ(noted->turns(), 4);
  EXPECT_EQ(noted.use_count(), 1);
}

// Before it has begun it sleeps, as far as others can tell.
TEST(Loop, BellIsRungOnceForAllThatComesInASleepAndNeverWhileAwake) {
  net::Loop loop;
  const auto other = std::make_shared<Noted>();
  const auto noted = std::make_shared<Noted>([&](int turn, bool) {
    for (int i = 0; turn == 1 && i < 100; ++i) loop.wake(i % 2 == 0 ? 1 : 2);
  });
  loop.add(noted);
  loop.add(other);
  for (int i = 0; i < 100; ++i) loop.wake(i % 2 == 0 ? 1 : 2);
  EXPECT_EQ(loop.counts().rings, 1U);
  loop.start();
  ASSERT_TRUE(noted->await(2));
  ASSERT_TRUE(other->await(2));
  EXPECT_EQ(loop.counts().rings, 1U);
  loop.stop();
  EXPECT_EQ(noted->turns(), 2);  // one turn for all the wakes of a sleep, one for all those of a pass
  EXPECT_EQ(other->turns(), 2);
}

TEST(Loop, UnchangedInterestAsksNothingOfTheKernel) {
  net::Loop loop;
  const std::uint64_t own = loop.counts().controls;
  const auto controls = [&] { return loop.counts().controls - own; };
  int number = -1;
  {
    const Pair pair;
    number = pair.near.get();
    for (int i = 0; i < 100; ++i) ASSERT_TRUE(loop.watch(1, pair.near, true, false));
    EXPECT_EQ(controls(), 1U);
    ASSERT_TRUE(loop.watch(1, pair.near, true, true));
    EXPECT_EQ(controls(), 2U);
    ASSERT_TRUE(loop.watch(1, pair.near, false, false));
    loop.unwatch(pair.near);
    EXPECT_EQ(controls(), 3U);
  }
  // Another descriptor under the same number is told to the kernel anew.
  const Pair again;
  ASSERT_EQ(again.near.get(), number);
  const auto noted = std::make_shared<Noted>();
  ASSERT_EQ(loop.add(noted), 1U);
  ASSERT_TRUE(loop.watch(1, again.near, true, false));
  EXPECT_EQ(controls(), 4U);
  loop.start();
  ASSERT_TRUE(noted->await(1));
  const int before = noted->turns();
  ASSERT_TRUE(net::write_all(again.far, "x"));
  ASSERT_TRUE(noted->await(before + 1));
  loop.stop();
}

// Moving a time to later costs nothing: the first turn still comes, and so does the later one.
TEST(Loop, TurnComesAtTheEarliestTimeToldAndAtTheLast) {
  net::Loop loop;
  Time first{}, last{};
  const auto noted = std::make_shared<Noted>([&](int turn, bool) {
    if (turn == 1) {
      last = net::now() + 60ms;
      first = last - 40ms;
      EXPECT_EQ(loop.due(1, last), last);
      EXPECT_EQ(loop.due(1, first), first);
      EXPECT_EQ(loop.due(1, last), first);
    }
    if (turn == 2) EXPECT_GE(net::now(), first);
    if (turn == 3) EXPECT_GE(net::now(), last);
  });
  ASSERT_EQ(loop.add(noted), 1U);
  loop.start();
  ASSERT_TRUE(noted->await(3));
  loop.stop();
}

}  // namespace
}  // namespace reeltack::test
