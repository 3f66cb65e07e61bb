// AsyncStore: callers never wait for the disk, the latest value wins, and a failing disk ends nothing.
#include "store/async_store.h"

#include <atomic>
#include <thread>

#include "heard.h"

namespace reeltack::store {
namespace {

using namespace std::chrono_literals;
TEST(AsyncStore, CallersDoNotWaitForABlockedDiskAndTheLatestValueWins) {
  FaultyDiskFixture c;
  std::mutex disk;
  std::atomic<bool> blocked{false};
  OpenResult opened = Store::open(c.store_settings);
  c.vfs.hook = [&](const FileStep&) {
    blocked = true;
    const std::lock_guard wait(disk);
    return SQLITE_OK;
  };
  c.async_settings.max_bytes = 100000;
  c.async_settings.max_keys = 5;
  {
    std::unique_lock stop(disk);
    AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
    std::uint64_t last = async_store.put("first", "0");
    EXPECT_EQ(last, 1u);
    while (!blocked) std::this_thread::yield();  // "first" is in flight
    for (int i = 1; i <= 3000; ++i) {
      const std::uint64_t number =
          async_store.put(std::string("k").append(1, static_cast<char>('0' + i % 3)), std::to_string(i));
      EXPECT_GT(number, last);
      last = number;
    }
    async_store.erase("k0");
    EXPECT_EQ(async_store.durable_up_to(), 0u);
    EXPECT_FALSE(async_store.flush(1ms));
    EXPECT_EQ(async_store.put("big", std::string(100001, 'x')), 0u);
    EXPECT_NE(async_store.put("k1", std::string(90000, 'x')), 0u);
    EXPECT_EQ(async_store.put("k2", std::string(90000, 'x')), 0u);  // the previous value remains
    EXPECT_NE(async_store.put("more", "x"), 0u);
    EXPECT_EQ(async_store.put("one too many", "x"), 0u);
    EXPECT_EQ(async_store.counts().refused, 3u);
    EXPECT_GE(async_store.counts().coalesced, 2997u);
    EXPECT_EQ(async_store.counts().waiting, 5u);  // first; k0, k1, k2, more
    stop.unlock();
    EXPECT_TRUE(async_store.flush(kTestTimeout));
    EXPECT_EQ(async_store.counts().batches, 2u);
    EXPECT_EQ(async_store.durable_up_to(), 3004u);
    async_store.put("last", "word");  // written during destruction
  }
  c.vfs.hook = {};
  const State want{
      {"first", "0"}, {"k1", std::string(90000, 'x')}, {"k2", "2999"}, {"last", "word"}, {"more", "x"}};
  EXPECT_EQ(state_of(Store::open(c.store_settings)), want);
}

TEST(AsyncStore, AFullDiskIsReportedOnceAndRetriedUntilItRecovers) {
  FaultyDiskFixture c;
  std::atomic<bool> full{false};
  OpenResult opened = Store::open(c.store_settings);
  c.vfs.hook = [&](const FileStep& s) {
    return full && s.what == "write" && s.before ? SQLITE_FULL : SQLITE_OK;
  };
  AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
  async_store.put("a", "1");
  ASSERT_TRUE(async_store.flush(kTestTimeout));
  full = true;
  async_store.put("a", "2");
  EXPECT_EQ(c.expect(AsyncStoreEvent::Kind::failed).code, ErrorCode::full);
  for (int i = 0; i < 3000 && async_store.counts().failures < 4; ++i) ::usleep(10000);
  EXPECT_GE(async_store.counts().failures, 4u);
  EXPECT_TRUE(async_store.counts().failing);
  const std::uint64_t number = async_store.put("a", "3");
  EXPECT_LT(async_store.durable_up_to(), number);
  full = false;
  c.expect(AsyncStoreEvent::Kind::written);
  ASSERT_TRUE(async_store.flush(kTestTimeout));
  EXPECT_EQ(c.events.count(AsyncStoreEvent::Kind::failed), 1u);
  EXPECT_FALSE(async_store.counts().failing);
  EXPECT_GE(async_store.durable_up_to(), number);
}

TEST(AsyncStore, AChangeDuringAFailingBatchIsNewerAndNoByteIsCountedTwice) {
  FaultyDiskFixture c;
  c.async_settings.max_bytes = 1000;
  OpenResult opened = Store::open(c.store_settings);
  std::mutex disk;
  std::atomic<bool> blocked{false}, fails{true};
  c.vfs.hook = [&](const FileStep& s) {
    if (s.what != "write" || !s.before) return SQLITE_OK;
    blocked = true;
    const std::lock_guard wait(disk);
    return fails.exchange(false) ? SQLITE_FULL : SQLITE_OK;
  };
  {
    std::unique_lock stop(disk);
    AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
    async_store.put("a", std::string(400, 'o'));
    while (!blocked) std::this_thread::yield();
    async_store.put("a", std::string(400, 'n'));
    EXPECT_EQ(async_store.put("b", std::string(400, 'x')), 0u);  // both values of a are counted
    stop.unlock();
    ASSERT_TRUE(async_store.flush(kTestTimeout));
    EXPECT_NE(async_store.put("b", std::string(999, 'w')), 0u);  // and neither is now
  }
  c.vfs.hook = {};
  EXPECT_EQ(state_of(Store::open(c.store_settings)),
            (State{{"a", std::string(400, 'n')}, {"b", std::string(999, 'w')}}));
  EXPECT_EQ(c.events.count(AsyncStoreEvent::Kind::failed), 1u);
}

TEST(AsyncStore, ALockedStoreIsOpenedWhenTheLockIsReleased) {
  FaultyDiskFixture c;
  OpenResult first = Store::open(c.store_settings);
  OpenResult second = Store::open(c.store_settings);
  ASSERT_EQ(second.how, How::refused);
  AsyncStore async_store(c.store_settings, std::move(second), c.async_settings);
  async_store.put("a", "mine");
  const AsyncStoreEvent failed = c.expect(AsyncStoreEvent::Kind::failed);
  EXPECT_EQ(failed.code, ErrorCode::locked);
  first.store.reset();
  EXPECT_EQ(c.expect(AsyncStoreEvent::Kind::opened).how, How::opened);
  EXPECT_TRUE(async_store.flush(kTestTimeout));
}

TEST(AsyncStore, ADamagedStoreIsSetAsideAndEverythingIsRewritten) {
  FaultyDiskFixture c;
  OpenResult opened = Store::open(c.store_settings);
  std::atomic<bool> spoil{false};
  c.vfs.hook = [&](const FileStep& s) {
    if (!spoil || s.what != "write" || !s.before) return SQLITE_OK;
    spoil = false;
    write_file(c.store_settings.dir + "/store.db", std::string(8192, 'x'));
    fs::remove(c.store_settings.dir + "/store.db-wal");
    return SQLITE_CORRUPT;
  };
  {
    AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
    async_store.put("a", "0");
    async_store.put("gone", "1");
    ASSERT_TRUE(async_store.flush(kTestTimeout));
    async_store.put("a", "1");
    async_store.erase("gone");
    ASSERT_TRUE(async_store.flush(kTestTimeout));
    spoil = true;
    async_store.put("b", "2");
    EXPECT_EQ(c.expect(AsyncStoreEvent::Kind::failed).code, ErrorCode::damaged);
    EXPECT_EQ(c.expect(AsyncStoreEvent::Kind::opened).how, How::set_aside);
    ASSERT_TRUE(async_store.flush(kTestTimeout));
    EXPECT_TRUE(fs::exists(c.store_settings.dir + "/store.db.aside-1"));
  }
  c.vfs.hook = {};
  EXPECT_EQ(state_of(Store::open(c.store_settings)), (State{{"a", "1"}, {"b", "2"}}));
}

}  // namespace
}  // namespace reeltack::store
