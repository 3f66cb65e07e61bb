// A call to the disk that does not return: it is reported by another thread, nobody waits for it, nothing
// that it holds up counts as durable, and the end waits for a bounded time.
#include <atomic>
#include <future>
#include <thread>

#include "gate.h"
#include "heard.h"
#include "store/call_watch.h"

namespace reeltack::store {
namespace {

using namespace std::chrono_literals;
using Kind = AsyncStoreEvent::Kind;
using Clock = std::chrono::steady_clock;

// A keeper's disk with a gate before each call, and a clock that the test sets.
struct HangingCase : Case {
  Gate gate;
  std::atomic<int> seconds{1000};
  std::atomic<int> clock_readings{0};
  HangingCase() {
    keeper.watch_interval = 1ms;
    keeper.clock = [this] {
      ++clock_readings;
      return Clock::time_point(std::chrono::seconds(seconds.load()));
    };
  }
  void hang_at_each_call() {
    vfs.hook = [this](const FileStep& step) {
      if (step.before) gate.pass();
      return SQLITE_OK;
    };
  }
  // The watching thread reads the clock at each look.
  void wait_for_looks(int count) {
    const int until = clock_readings + count;
    while (clock_readings < until) std::this_thread::yield();
  }
};

TEST(DiskCallTimer, ACallIsReportedOnceWhenItHasLastedLongEnoughAndAtItsEnd) {
  const Clock::time_point start(1000s);
  DiskCallTimer watch(5s);
  EXPECT_FALSE(watch.hangs(start + 10s)) << "no call is under way";
  watch.begin(start);
  EXPECT_FALSE(watch.hangs(start + 4999ms));
  EXPECT_TRUE(watch.hangs(start + 5s));
  EXPECT_FALSE(watch.hangs(start + 50s)) << "reported twice";
  EXPECT_EQ(watch.end(start + 60s), Clock::duration(60s));
  EXPECT_FALSE(watch.under_way());
  watch.begin(start + 70s);
  EXPECT_FALSE(watch.hangs(start + 71s));
  EXPECT_EQ(watch.end(start + 72s), std::nullopt) << "a call that was not reported has an end to report";
}

TEST(HangingDisk, IsReportedOnceAndWithItsDurationAndNothingInItIsDurable) {
  HangingCase c;
  OpenResult opened = Store::open(c.store);
  c.hang_at_each_call();
  AsyncStore keeper(c.store, std::move(opened), c.keeper);
  keeper.put("a", "1");
  ASSERT_TRUE(keeper.flush(kLong));
  const std::uint64_t kept = keeper.durable_up_to();
  c.gate.close();
  const std::uint64_t in_hand = keeper.put("a", "2");
  ASSERT_TRUE(c.gate.is_met());
  c.seconds += 5;
  const AsyncStoreEvent hanging = c.expect(Kind::hanging);
  EXPECT_EQ(hanging.lasted, 5s);
  EXPECT_EQ(hanging.waiting, 1u);
  EXPECT_EQ(to_text(hanging), "state=hanging lasted_ms=5000 failures=0 not_durable=1");
  c.wait_for_looks(10);
  const std::uint64_t later = keeper.put("b", "1");
  EXPECT_NE(later, 0u);
  EXPECT_EQ(keeper.durable_up_to(), kept);
  EXPECT_FALSE(keeper.is_durable("a", in_hand));
  EXPECT_FALSE(keeper.is_durable("b", later));
  EXPECT_TRUE(keeper.counts().failing);
  c.seconds += 3;
  c.gate.open();
  const AsyncStoreEvent returned = c.expect(Kind::returned);
  EXPECT_EQ(returned.lasted, 8s);
  EXPECT_EQ(to_text(returned).find("state=hanging_ended lasted_ms=8000 "), 0u) << to_text(returned);
  ASSERT_TRUE(keeper.flush(kLong));
  EXPECT_FALSE(keeper.counts().failing);
  EXPECT_EQ(c.heard.count(Kind::hanging), 1u);
  EXPECT_EQ(c.heard.count(Kind::returned), 1u);
}

TEST(HangingDisk, IsReportedWhereTheStoreIsBeingOpened) {
  HangingCase c;
  c.vfs.hook = [](const FileStep&) { return SQLITE_CANTOPEN; };
  OpenResult failed = Store::open(c.store);
  ASSERT_EQ(failed.how, How::failed);
  c.hang_at_each_call();
  c.gate.close();
  AsyncStore keeper(c.store, std::move(failed), c.keeper);
  const std::uint64_t number = keeper.put("a", "1");
  ASSERT_TRUE(c.gate.is_met());
  c.seconds += 5;
  c.expect(Kind::hanging);
  EXPECT_LT(keeper.durable_up_to(), number);
  c.gate.open();
  c.expect(Kind::returned);
  EXPECT_TRUE(keeper.flush(kLong)) << c.heard.text();
}

// One life whose `nth` call hangs until it is reported; the calls met.
int live_with_hanging_call(int nth) {
  constexpr int kBatches = 4;
  HangingCase c;
  OpenResult opened = Store::open(c.store);
  std::atomic<int> calls{0};
  c.vfs.hook = [&](const FileStep& step) {
    if (step.before && ++calls == nth) {
      c.gate.close();
      c.gate.pass();
    }
    return SQLITE_OK;
  };
  {
    AsyncStore keeper(c.store, std::move(opened), c.keeper);
    for (int i = 1; i <= kBatches; ++i) {
      std::uint64_t last = 0;
      for (const Change& change : batch(i))
        last = change.value ? keeper.put(change.key, *change.value) : keeper.erase(change.key);
      while (keeper.durable_up_to() < last) {
        std::this_thread::yield();
        if (nth == 0 || calls != nth || c.heard.count(Kind::hanging) > 0) continue;
        EXPECT_TRUE(c.gate.is_met()) << "call " << nth;
        c.seconds += 5;
        c.expect(Kind::hanging);
        EXPECT_LT(keeper.durable_up_to(), last) << "call " << nth;
        c.gate.open();
      }
    }
    EXPECT_EQ(c.heard.count(Kind::hanging), c.heard.count(Kind::returned)) << "call " << nth;
    c.vfs.hook = {};
  }
  EXPECT_TRUE(state_of(Store::open(c.store)) == after(kBatches)) << "call " << nth;
  return calls;
}

TEST(HangingDisk, EachCallThatHangsIsReportedAndAllIsDurableAfterwards) {
  const int total = live_with_hanging_call(0);
  ASSERT_GT(total, 10);
  for (int nth = 1; nth <= total; ++nth) live_with_hanging_call(nth);
  std::printf("hung each of %d calls\n", total);
}

// ---- the end

// The keeper's thread has ended where its store's lock is free.
bool store_is_let_go(const StoreSettings& store) {
  for (int looks = 0; looks < 3000; ++looks) {
    if (Store::open(store).how != How::refused) return true;
    ::usleep(10000);
  }
  return false;
}

// Ends the keeper while its call hangs at `call` of `file`.
void end_while_hanging(const std::string& call, const std::string& file) {
  SCOPED_TRACE(call + " of " + file);
  HangingCase c;
  c.keeper.shutdown_timeout = 1ms;
  OpenResult opened = Store::open(c.store);
  std::atomic<bool> hangs{false};
  c.vfs.hook = [&](const FileStep& step) {
    if (hangs && step.before && step.what == call && step.file == c.store.dir + file) c.gate.pass();
    return SQLITE_OK;
  };
  auto keeper = std::make_unique<AsyncStore>(c.store, std::move(opened), c.keeper);
  keeper->put("a", "1");
  ASSERT_TRUE(keeper->flush(kLong));
  hangs = true;
  c.gate.close();
  keeper->put("b", "1");
  std::future<void> ended = std::async(std::launch::async, [&] { keeper.reset(); });
  const bool in_time = ended.wait_for(kLong) == std::future_status::ready;
  EXPECT_TRUE(in_time) << "the end waits for a call that does not return";
  if (in_time) {
    const AsyncStoreEvent abandoned = c.expect(Kind::abandoned);
    EXPECT_EQ(to_text(abandoned).find("state=ended_unwritten lasted_ms=0 "), 0u) << to_text(abandoned);
    copy_folder(c.store.dir, c.temp / "copy");
    StoreSettings copy = settings(c.temp / "copy");
    EXPECT_EQ(state_of(Store::open(copy)).at("a"), "1") << "what was durable is not";
  }
  const std::string heard = c.heard.text();
  c.gate.open();
  ended.get();
  EXPECT_TRUE(store_is_let_go(c.store));
  if (in_time) {
    EXPECT_EQ(c.heard.text(), heard) << "the thread that was left calls an owner that is gone";
  }
}

TEST(HangingDisk, TheEndGoesOnWithoutTheBatchThatHangs) {
  end_while_hanging("write", "/store.db-wal");
  end_while_hanging("sync", "/store.db-wal");
}
TEST(HangingDisk, TheEndGoesOnWithoutTheClosingThatHangs) {
  end_while_hanging("write", "/store.db");
  end_while_hanging("delete", "/store.db-wal");
}

}  // namespace
}  // namespace reeltack::store
