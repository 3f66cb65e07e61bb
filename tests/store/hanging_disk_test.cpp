// Disk calls that do not return: another thread reports them, no caller waits for them, no change they
// hold up counts as durable, and shutdown waits for a bounded time.
#include <atomic>
#include <future>
#include <thread>

#include "gate.h"
#include "heard.h"
#include "store/disk_call_timer.h"

namespace reeltack::store {
namespace {

using namespace std::chrono_literals;
using Kind = AsyncStoreEvent::Kind;
using Clock = std::chrono::steady_clock;

// A disk with a gate before each call, and a clock that the test sets.
struct HangingDiskFixture : FaultyDiskFixture {
  Gate gate;
  std::atomic<int> seconds{1000};
  std::atomic<int> clock_readings{0};
  HangingDiskFixture() {
    async_settings.watch_interval = 1ms;
    async_settings.clock = [this] {
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
  // Waits until the watching thread has checked `count` times; it reads the clock at each check.
  void wait_for_looks(int count) {
    const int until = clock_readings + count;
    while (clock_readings < until) std::this_thread::yield();
  }
};

TEST(DiskCallTimer, ACallIsReportedOnceAtTheThresholdAndAtItsEnd) {
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

TEST(HangingDisk, IsReportedOnceWithItsDurationAndItsChangesAreNotDurable) {
  HangingDiskFixture c;
  OpenResult opened = Store::open(c.store_settings);
  c.hang_at_each_call();
  AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
  async_store.put("a", "1");
  ASSERT_TRUE(async_store.flush(kTestTimeout));
  const std::uint64_t kept = async_store.durable_up_to();
  c.gate.close();
  const std::uint64_t in_hand = async_store.put("a", "2");
  ASSERT_TRUE(c.gate.wait_until_blocked());
  c.seconds += 5;
  const AsyncStoreEvent hanging = c.expect(Kind::hanging);
  EXPECT_EQ(hanging.lasted, 5s);
  EXPECT_EQ(hanging.waiting, 1u);
  EXPECT_EQ(to_text(hanging), "state=hanging lasted_ms=5000 failures=0 not_durable=1");
  c.wait_for_looks(10);
  const std::uint64_t later = async_store.put("b", "1");
  EXPECT_NE(later, 0u);
  EXPECT_EQ(async_store.durable_up_to(), kept);
  EXPECT_FALSE(async_store.is_durable("a", in_hand));
  EXPECT_FALSE(async_store.is_durable("b", later));
  EXPECT_TRUE(async_store.counts().failing);
  c.seconds += 3;
  c.gate.open();
  const AsyncStoreEvent returned = c.expect(Kind::returned);
  EXPECT_EQ(returned.lasted, 8s);
  EXPECT_EQ(to_text(returned).find("state=hanging_ended lasted_ms=8000 "), 0u) << to_text(returned);
  ASSERT_TRUE(async_store.flush(kTestTimeout));
  EXPECT_FALSE(async_store.counts().failing);
  EXPECT_EQ(c.events.count(Kind::hanging), 1u);
  EXPECT_EQ(c.events.count(Kind::returned), 1u);
}

TEST(HangingDisk, IsReportedWhileTheStoreIsBeingOpened) {
  HangingDiskFixture c;
  c.vfs.hook = [](const FileStep&) { return SQLITE_CANTOPEN; };
  OpenResult failed = Store::open(c.store_settings);
  ASSERT_EQ(failed.how, How::failed);
  c.hang_at_each_call();
  c.gate.close();
  AsyncStore async_store(c.store_settings, std::move(failed), c.async_settings);
  const std::uint64_t number = async_store.put("a", "1");
  ASSERT_TRUE(c.gate.wait_until_blocked());
  c.seconds += 5;
  c.expect(Kind::hanging);
  EXPECT_LT(async_store.durable_up_to(), number);
  c.gate.open();
  c.expect(Kind::returned);
  EXPECT_TRUE(async_store.flush(kTestTimeout)) << c.events.text();
}

// Runs an AsyncStore whose `nth` call hangs until that is reported. Returns the number of calls.
int run_with_hanging_call(int nth) {
  constexpr int kBatches = 4;
  HangingDiskFixture c;
  OpenResult opened = Store::open(c.store_settings);
  std::atomic<int> calls{0};
  c.vfs.hook = [&](const FileStep& step) {
    if (step.before && ++calls == nth) {
      c.gate.close();
      c.gate.pass();
    }
    return SQLITE_OK;
  };
  {
    AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
    for (int i = 1; i <= kBatches; ++i) {
      std::uint64_t last = 0;
      for (const Change& change : batch(i))
        last = change.value ? async_store.put(change.key, *change.value) : async_store.erase(change.key);
      while (async_store.durable_up_to() < last) {
        std::this_thread::yield();
        if (nth == 0 || calls != nth || c.events.count(Kind::hanging) > 0) continue;
        EXPECT_TRUE(c.gate.wait_until_blocked()) << "call " << nth;
        c.seconds += 5;
        c.expect(Kind::hanging);
        EXPECT_LT(async_store.durable_up_to(), last) << "call " << nth;
        c.gate.open();
      }
    }
    EXPECT_EQ(c.events.count(Kind::hanging), c.events.count(Kind::returned)) << "call " << nth;
    c.vfs.hook = {};
  }
  EXPECT_TRUE(state_of(Store::open(c.store_settings)) == state_after(kBatches)) << "call " << nth;
  return calls;
}

TEST(HangingDisk, EachHangingCallIsReportedAndEverythingIsDurableAfterwards) {
  const int total = run_with_hanging_call(0);
  ASSERT_GT(total, 10);
  for (int nth = 1; nth <= total; ++nth) run_with_hanging_call(nth);
  std::printf("hung each of %d calls\n", total);
}

// ---- shutdown

// Waits until the store is unlocked, which shows that the writing thread has ended; false on timeout.
bool wait_until_unlocked(const StoreSettings& store) {
  for (int looks = 0; looks < 3000; ++looks) {
    if (Store::open(store).how != How::refused) return true;
    ::usleep(10000);
  }
  return false;
}

// Destroys the AsyncStore while the call `call` on `file` hangs.
void end_while_hanging(const std::string& call, const std::string& file) {
  SCOPED_TRACE(call + " of " + file);
  HangingDiskFixture c;
  c.async_settings.shutdown_timeout = 1ms;
  OpenResult opened = Store::open(c.store_settings);
  std::atomic<bool> hangs{false};
  c.vfs.hook = [&](const FileStep& step) {
    if (hangs && step.before && step.what == call && step.file == c.store_settings.dir + file) c.gate.pass();
    return SQLITE_OK;
  };
  auto async_store = std::make_unique<AsyncStore>(c.store_settings, std::move(opened), c.async_settings);
  async_store->put("a", "1");
  ASSERT_TRUE(async_store->flush(kTestTimeout));
  hangs = true;
  c.gate.close();
  async_store->put("b", "1");
  std::future<void> ended = std::async(std::launch::async, [&] { async_store.reset(); });
  const bool in_time = ended.wait_for(kTestTimeout) == std::future_status::ready;
  EXPECT_TRUE(in_time) << "shutdown waits for a call that does not return";
  if (in_time) {
    const AsyncStoreEvent abandoned = c.expect(Kind::abandoned);
    EXPECT_EQ(to_text(abandoned).find("state=ended_unwritten lasted_ms=0 "), 0u) << to_text(abandoned);
    copy_folder(c.store_settings.dir, c.temp / "copy");
    StoreSettings copy = settings(c.temp / "copy");
    EXPECT_EQ(state_of(Store::open(copy)).at("a"), "1") << "a durable change was lost";
  }
  const std::string events_before = c.events.text();
  c.gate.open();
  ended.get();
  EXPECT_TRUE(wait_until_unlocked(c.store_settings));
  if (in_time) {
    EXPECT_EQ(c.events.text(), events_before) << "the detached thread calls a destroyed owner";
  }
}

TEST(HangingDisk, ShutdownDoesNotWaitForAHangingBatch) {
  end_while_hanging("write", "/store.db-wal");
  end_while_hanging("sync", "/store.db-wal");
}
TEST(HangingDisk, ShutdownDoesNotWaitForAHangingClose) {
  end_while_hanging("write", "/store.db");
  end_while_hanging("delete", "/store.db-wal");
}

}  // namespace
}  // namespace reeltack::store
