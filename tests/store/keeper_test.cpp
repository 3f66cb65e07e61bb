// The keeper: nobody waits for its disk, the latest value wins, and a disk that refuses ends nothing.
#include "store/keeper.h"

#include <atomic>
#include <thread>

#include "heard.h"

namespace reeltack::store {
namespace {

using namespace std::chrono_literals;
TEST(AsyncStore, NobodyWaitsForADiskThatStandsStillAndTheLatestValueWins) {
  Case c;
  std::mutex disk;
  std::atomic<bool> stands{false};
  OpenResult opened = Store::open(c.store);
  c.vfs.hook = [&](const FileStep&) {
    stands = true;
    const std::lock_guard wait(disk);
    return SQLITE_OK;
  };
  c.keeper.max_bytes = 100000;
  c.keeper.max_keys = 5;
  {
    std::unique_lock stop(disk);
    AsyncStore keeper(c.store, std::move(opened), c.keeper);
    std::uint64_t last = keeper.put("first", "0");
    EXPECT_EQ(last, 1u);
    while (!stands) std::this_thread::yield();  // "first" is in hand
    for (int i = 1; i <= 3000; ++i) {
      const std::uint64_t number =
          keeper.put(std::string("k").append(1, static_cast<char>('0' + i % 3)), std::to_string(i));
      EXPECT_GT(number, last);
      last = number;
    }
    keeper.erase("k0");
    EXPECT_EQ(keeper.durable_up_to(), 0u);
    EXPECT_FALSE(keeper.flush(1ms));
    EXPECT_EQ(keeper.put("big", std::string(100001, 'x')), 0u);
    EXPECT_NE(keeper.put("k1", std::string(90000, 'x')), 0u);
    EXPECT_EQ(keeper.put("k2", std::string(90000, 'x')), 0u);  // its former value stays
    EXPECT_NE(keeper.put("more", "x"), 0u);
    EXPECT_EQ(keeper.put("one too many", "x"), 0u);
    EXPECT_EQ(keeper.counts().refused, 3u);
    EXPECT_GE(keeper.counts().coalesced, 2997u);
    EXPECT_EQ(keeper.counts().waiting, 5u);  // first; k0, k1, k2, more
    stop.unlock();
    EXPECT_TRUE(keeper.flush(kLong));
    EXPECT_EQ(keeper.counts().batches, 2u);
    EXPECT_EQ(keeper.durable_up_to(), 3004u);
    keeper.put("last", "word");  // written by the end
  }
  c.vfs.hook = {};
  const State want{
      {"first", "0"}, {"k1", std::string(90000, 'x')}, {"k2", "2999"}, {"last", "word"}, {"more", "x"}};
  EXPECT_EQ(state_of(Store::open(c.store)), want);
}

TEST(AsyncStore, AFullDiskIsToldOnceAndTriedAgainUntilItIsWell) {
  Case c;
  std::atomic<bool> full{false};
  OpenResult opened = Store::open(c.store);
  c.vfs.hook = [&](const FileStep& s) {
    return full && s.what == "write" && s.before ? SQLITE_FULL : SQLITE_OK;
  };
  AsyncStore keeper(c.store, std::move(opened), c.keeper);
  keeper.put("a", "1");
  ASSERT_TRUE(keeper.flush(kLong));
  full = true;
  keeper.put("a", "2");
  EXPECT_EQ(c.expect(AsyncStoreEvent::Kind::failed).code, ErrorCode::full);
  for (int i = 0; i < 3000 && keeper.counts().failures < 4; ++i) ::usleep(10000);
  EXPECT_GE(keeper.counts().failures, 4u);
  EXPECT_TRUE(keeper.counts().failing);
  const std::uint64_t number = keeper.put("a", "3");
  EXPECT_LT(keeper.durable_up_to(), number);
  full = false;
  c.expect(AsyncStoreEvent::Kind::written);
  ASSERT_TRUE(keeper.flush(kLong));
  EXPECT_EQ(c.heard.count(AsyncStoreEvent::Kind::failed), 1u);
  EXPECT_FALSE(keeper.counts().failing);
  EXPECT_GE(keeper.durable_up_to(), number);
}

TEST(AsyncStore, WhatComesWhileAFailingBatchIsInHandIsNewerAndNoByteIsCountedTwice) {
  Case c;
  c.keeper.max_bytes = 1000;
  OpenResult opened = Store::open(c.store);
  std::mutex disk;
  std::atomic<bool> stands{false}, fails{true};
  c.vfs.hook = [&](const FileStep& s) {
    if (s.what != "write" || !s.before) return SQLITE_OK;
    stands = true;
    const std::lock_guard wait(disk);
    return fails.exchange(false) ? SQLITE_FULL : SQLITE_OK;
  };
  {
    std::unique_lock stop(disk);
    AsyncStore keeper(c.store, std::move(opened), c.keeper);
    keeper.put("a", std::string(400, 'o'));
    while (!stands) std::this_thread::yield();
    keeper.put("a", std::string(400, 'n'));
    EXPECT_EQ(keeper.put("b", std::string(400, 'x')), 0u);  // both values of a are held
    stop.unlock();
    ASSERT_TRUE(keeper.flush(kLong));
    EXPECT_NE(keeper.put("b", std::string(999, 'w')), 0u);  // and none is now
  }
  c.vfs.hook = {};
  EXPECT_EQ(state_of(Store::open(c.store)),
            (State{{"a", std::string(400, 'n')}, {"b", std::string(999, 'w')}}));
  EXPECT_EQ(c.heard.count(AsyncStoreEvent::Kind::failed), 1u);
}

TEST(AsyncStore, AStoreThatAnotherHasIsTakenWhenItLetsGo) {
  Case c;
  OpenResult first = Store::open(c.store);
  OpenResult second = Store::open(c.store);
  ASSERT_EQ(second.how, How::refused);
  AsyncStore keeper(c.store, std::move(second), c.keeper);
  keeper.put("a", "mine");
  const AsyncStoreEvent failed = c.expect(AsyncStoreEvent::Kind::failed);
  EXPECT_EQ(failed.code, ErrorCode::locked);
  first.store.reset();
  EXPECT_EQ(c.expect(AsyncStoreEvent::Kind::opened).how, How::opened);
  EXPECT_TRUE(keeper.flush(kLong));
}

TEST(AsyncStore, DamageThatShowsWhileItRunsIsSetAsideAndAllIsWrittenAgain) {
  Case c;
  OpenResult opened = Store::open(c.store);
  std::atomic<bool> spoil{false};
  c.vfs.hook = [&](const FileStep& s) {
    if (!spoil || s.what != "write" || !s.before) return SQLITE_OK;
    spoil = false;
    spit(c.store.dir + "/store.db", std::string(8192, 'x'));
    fs::remove(c.store.dir + "/store.db-wal");
    return SQLITE_CORRUPT;
  };
  {
    AsyncStore keeper(c.store, std::move(opened), c.keeper);
    keeper.put("a", "0");
    keeper.put("gone", "1");
    ASSERT_TRUE(keeper.flush(kLong));
    keeper.put("a", "1");
    keeper.erase("gone");
    ASSERT_TRUE(keeper.flush(kLong));
    spoil = true;
    keeper.put("b", "2");
    EXPECT_EQ(c.expect(AsyncStoreEvent::Kind::failed).code, ErrorCode::damaged);
    EXPECT_EQ(c.expect(AsyncStoreEvent::Kind::opened).how, How::set_aside);
    ASSERT_TRUE(keeper.flush(kLong));
    EXPECT_TRUE(fs::exists(c.store.dir + "/store.db.aside-1"));
  }
  c.vfs.hook = {};
  EXPECT_EQ(state_of(Store::open(c.store)), (State{{"a", "1"}, {"b", "2"}}));
}

}  // namespace
}  // namespace reeltack::store
