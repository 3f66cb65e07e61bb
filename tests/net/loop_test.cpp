// Event loop: which events are delivered, and how many system calls they cost.
#include "net/loop.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <condition_variable>
#include <functional>

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

// Counts its events and runs the given action in each, on the loop's thread.
class RecordingHandler final : public net::EventHandler {
 public:
  using Action = std::function<void(int event, bool ready)>;
  explicit RecordingHandler(Action action = {}) : action_(std::move(action)) {}
  void handle_event(bool ready) override {
    const std::lock_guard hold(lock_);
    ++events_;
    if (action_) action_(events_, ready);
    changed_.notify_all();
  }
  bool await(int n) {
    std::unique_lock hold(lock_);
    return changed_.wait_for(hold, 20s, [&] { return events_ >= n; });
  }
  int events() {
    const std::lock_guard hold(lock_);
    return events_;
  }
  net::Loop::Id id = 0;

 private:
  const Action action_;
  std::mutex lock_;
  std::condition_variable changed_;
  int events_ = 0;
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

TEST(Loop, EventsForDescriptorsWakesAndTimesButNotAfterRemoval) {
  net::Loop loop;
  const Pair pair;
  Time by{};
  const auto handler = std::make_shared<RecordingHandler>([&](int event, bool ready) {
    EXPECT_EQ(ready, event == 4);
    if (event == 2) loop.due(1, by = net::now() + 10ms);
    if (event == 3) {
      EXPECT_GE(net::now(), by);
      EXPECT_TRUE(loop.watch(1, pair.near, true, false));
      EXPECT_TRUE(net::write_all(pair.far, "x"));
    }
    if (event != 4) return;
    loop.unwatch(pair.near);
    loop.due(1, net::now() + 1ms);
    loop.remove(1);
    loop.wake(1);
  });
  ASSERT_EQ(loop.add(handler), 1U);
  loop.start();
  ASSERT_TRUE(handler->await(1));  // add() wakes it once
  loop.wake(1);
  ASSERT_TRUE(handler->await(4));
  const auto last = std::make_shared<RecordingHandler>([&](int event, bool) {
    if (event == 1) loop.due(2, net::now() + 20ms);
  });
  loop.add(last);
  ASSERT_TRUE(last->await(2));  // by now the due time of the removed handler has passed
  loop.stop();
  EXPECT_EQ(handler->events(), 4);
  EXPECT_EQ(handler.use_count(), 1);
}

// Until it is started, the loop counts as waiting.
TEST(Loop, BellIsRungOncePerWaitAndNeverWhileRunning) {
  net::Loop loop;
  const auto other = std::make_shared<RecordingHandler>();
  const auto handler = std::make_shared<RecordingHandler>([&](int event, bool) {
    for (int i = 0; event == 1 && i < 100; ++i) loop.wake(i % 2 == 0 ? 1 : 2);
  });
  loop.add(handler);
  loop.add(other);
  for (int i = 0; i < 100; ++i) loop.wake(i % 2 == 0 ? 1 : 2);
  EXPECT_EQ(loop.counts().rings, 1U);
  loop.start();
  ASSERT_TRUE(handler->await(2));
  ASSERT_TRUE(other->await(2));
  EXPECT_EQ(loop.counts().rings, 1U);
  loop.stop();
  EXPECT_EQ(handler->events(), 2);  // one event for all wakes during a wait, one for all those during a pass
  EXPECT_EQ(other->events(), 2);
}

TEST(Loop, UnchangedInterestMakesNoSystemCall) {
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
  // Another descriptor with the same number is registered again.
  const Pair again;
  ASSERT_EQ(again.near.get(), number);
  const auto handler = std::make_shared<RecordingHandler>();
  ASSERT_EQ(loop.add(handler), 1U);
  ASSERT_TRUE(loop.watch(1, again.near, true, false));
  EXPECT_EQ(controls(), 4U);
  loop.start();
  ASSERT_TRUE(handler->await(1));
  const int before = handler->events();
  ASSERT_TRUE(net::write_all(again.far, "x"));
  ASSERT_TRUE(handler->await(before + 1));
  loop.stop();
}

// Moving a due time to later costs nothing: the first event still comes, and so does the later one.
TEST(Loop, EventComesAtTheEarliestDueTimeAndAtTheLatest) {
  net::Loop loop;
  Time first{}, last{};
  const auto handler = std::make_shared<RecordingHandler>([&](int event, bool) {
    if (event == 1) {
      last = net::now() + 60ms;
      first = last - 40ms;
      EXPECT_EQ(loop.due(1, last), last);
      EXPECT_EQ(loop.due(1, first), first);
      EXPECT_EQ(loop.due(1, last), first);
    }
    if (event == 2) EXPECT_GE(net::now(), first);
    if (event == 3) EXPECT_GE(net::now(), last);
  });
  ASSERT_EQ(loop.add(handler), 1U);
  loop.start();
  ASSERT_TRUE(handler->await(3));
  loop.stop();
}

}  // namespace
}  // namespace reeltack::test
