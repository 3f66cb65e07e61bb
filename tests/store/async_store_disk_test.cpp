// AsyncStore on a failing disk: what it reports, when it reopens the store, and what it rewrites.
#include <atomic>

#include "heard.h"

namespace reeltack::store {
namespace {

using namespace std::chrono_literals;
using Kind = AsyncStoreEvent::Kind;

TEST(AsyncStoreDisk, AFailureIsReportedOnceThenRemindedOfAndItsEndIsReportedWithItsDuration) {
  FaultyDiskFixture c;
  std::atomic<bool> full{false};
  std::atomic<int> seconds{1000};
  c.async_settings.clock = [&] {
    return std::chrono::steady_clock::time_point(std::chrono::seconds(seconds.load()));
  };
  OpenResult opened = Store::open(c.store_settings);
  c.vfs.hook = [&](const FileStep& s) {
    return full && s.what == "write" && s.before ? SQLITE_FULL : SQLITE_OK;
  };
  AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
  full = true;
  async_store.put("a", "1");
  async_store.put("b", "1");
  EXPECT_EQ(c.expect(Kind::failed).code, ErrorCode::full);
  seconds += 61;
  const AsyncStoreEvent lasting = c.expect(Kind::lasting);
  EXPECT_EQ(lasting.lasted, 61s);
  EXPECT_EQ(lasting.code, ErrorCode::full);
  EXPECT_EQ(lasting.waiting, 2u);
  EXPECT_GT(lasting.failures, 1u);
  seconds += 10;
  full = false;
  const AsyncStoreEvent written = c.expect(Kind::written);
  EXPECT_EQ(written.lasted, 71s);
  EXPECT_EQ(written.waiting, 0u);
  ASSERT_TRUE(async_store.flush(kTestTimeout));
  EXPECT_EQ(c.events.count(Kind::failed), 1u);
  EXPECT_EQ(c.events.count(Kind::lasting), 1u);
  EXPECT_EQ(c.events.count(Kind::written), 1u);
  const std::string line = to_text(lasting);
  EXPECT_EQ(line.find("state=still_failing why=\"full\" lasted_ms=61000 failures="), 0u) << line;
  EXPECT_NE(line.find(" not_durable=2 text=\""), std::string::npos) << line;
}

TEST(AsyncStoreDisk, AStoreWithPersistentIoErrorsIsReopened) {
  FaultyDiskFixture c;
  std::atomic<bool> dead{false};
  OpenResult opened = Store::open(c.store_settings);
  c.vfs.hook = [&](const FileStep& s) {
    if (s.before && s.what == "open") dead = false;
    return dead && s.before && s.what != "read" ? SQLITE_IOERR : SQLITE_OK;
  };
  AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
  async_store.put("a", "1");
  ASSERT_TRUE(async_store.flush(kTestTimeout));
  dead = true;
  async_store.put("a", "2");
  ASSERT_TRUE(async_store.flush(kTestTimeout)) << c.events.text();
  EXPECT_EQ(c.expect(Kind::failed).code, ErrorCode::io);
  EXPECT_EQ(c.expect(Kind::opened).how, How::opened);
  EXPECT_GE(c.expect(Kind::written).failures, kReopenAfter);
}

TEST(AsyncStoreDisk, ValuesThatAReopenedStoreHoldsInAnEarlierStateAreRewritten) {
  FaultyDiskFixture c;
  const std::string dir = c.store_settings.dir;
  OpenResult opened = Store::open(c.store_settings);
  std::atomic<bool> spoil{false};
  std::atomic<std::uint64_t> kept_at_opening{99};
  const AsyncStore* watched = nullptr;
  c.vfs.hook = [&](const FileStep& s) {
    if (watched != nullptr && s.before && s.what == "open") kept_at_opening = watched->durable_up_to();
    if (!spoil || s.what != "write" || !s.before) return SQLITE_OK;
    spoil = false;
    for (const char* name : {"/store.db", "/store.db-wal"}) {
      fs::remove(dir + name);
      fs::copy(c.temp / "earlier" + name, dir + name);
    }
    return SQLITE_CORRUPT;
  };
  {
    AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
    async_store.put("a", "1");
    async_store.put("gone", "1");
    async_store.put("same", "1");
    ASSERT_TRUE(async_store.flush(kTestTimeout));
    copy_folder(dir, c.temp / "earlier");
    async_store.put("a", "2");
    async_store.erase("gone");
    ASSERT_TRUE(async_store.flush(kTestTimeout));
    watched = &async_store;
    spoil = true;
    async_store.put("b", "1");
    ASSERT_TRUE(async_store.flush(kTestTimeout));
    EXPECT_EQ(c.expect(Kind::opened).how, How::opened);
    EXPECT_EQ(kept_at_opening, 0u) << "a change that may be lost counts as durable";
    EXPECT_EQ(async_store.counts().written, 8u);  // 3, then 2, then b and the two that had reverted
  }
  c.vfs.hook = {};
  EXPECT_EQ(state_of(Store::open(c.store_settings)), (State{{"a", "2"}, {"b", "1"}, {"same", "1"}}));
}

TEST(AsyncStoreDisk, ARememberedValueIsRewrittenWhenTheStoreIsLost) {
  FaultyDiskFixture c;
  OpenResult opened = Store::open(c.store_settings);
  ASSERT_TRUE(opened.store->write({{"vote", "7"}, {"other", "1"}}, clocks::WallTime{}).ok());
  std::atomic<bool> spoil{true};
  c.vfs.hook = [&](const FileStep& s) {
    if (!spoil || s.what != "write" || !s.before) return SQLITE_OK;
    spoil = false;
    write_file(c.store_settings.dir + "/store.db", std::string(8192, 'x'));
    fs::remove(c.store_settings.dir + "/store.db-wal");
    return SQLITE_CORRUPT;
  };
  {
    AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
    async_store.remember("vote", "7");
    async_store.put("a", "1");
    ASSERT_TRUE(async_store.flush(kTestTimeout));
    const AsyncStoreEvent found = c.expect(Kind::opened);
    EXPECT_EQ(found.how, How::set_aside);
    EXPECT_EQ(found.aside_path, c.store_settings.dir + "/store.db.aside-1");
  }
  c.vfs.hook = {};
  EXPECT_EQ(state_of(Store::open(c.store_settings)), (State{{"a", "1"}, {"vote", "7"}}));
}

TEST(AsyncStoreDisk, RecordsFoundLateAreReportedBeforeTheyAreOverwritten) {
  FaultyDiskFixture c;
  ASSERT_TRUE(Store::open(c.store_settings).store->write({{"a", "old"}}, clocks::WallTime{}).ok());
  std::atomic<bool> fails{true};
  c.vfs.hook = [&](const FileStep& s) { return fails && s.before ? SQLITE_CANTOPEN : SQLITE_OK; };
  OpenResult opened = Store::open(c.store_settings);
  ASSERT_EQ(opened.how, How::failed);
  std::vector<StoredRecord> found;
  c.async_settings.on_records_found = [&](const std::vector<StoredRecord>& records) { found = records; };
  {
    AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
    async_store.put("a", "new");
    c.expect(Kind::failed);
    fails = false;
    ASSERT_TRUE(async_store.flush(kTestTimeout));
  }
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(found.front().value, "old");
  c.vfs.hook = {};
  EXPECT_EQ(state_of(Store::open(c.store_settings)), (State{{"a", "new"}}));
}

TEST(AsyncStoreDisk, ALogThatCannotBeCheckpointedIsBounded) {
  FaultyDiskFixture c;
  c.store_settings.max_log_bytes = 200'000;
  std::atomic<bool> fails{true};
  OpenResult opened = Store::open(c.store_settings);
  c.vfs.hook = [&](const FileStep& s) {
    const bool database = s.file.size() > 8 && s.file.compare(s.file.size() - 8, 8, "store.db") == 0;
    return fails && database && s.before && s.what == "write" ? SQLITE_IOERR_WRITE : SQLITE_OK;
  };
  AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
  for (int i = 0; i < 60 && async_store.counts().failures == 0; ++i) {
    async_store.put("a", value(i, 9000));
    async_store.flush(10ms);
  }
  const AsyncStoreEvent failed = c.expect(Kind::failed);
  EXPECT_NE(failed.text.find("log cannot be carried over"), std::string::npos) << failed.text;
  EXPECT_LT(fs::file_size(c.store_settings.dir + "/store.db-wal"), 250'000u);
  fails = false;
  EXPECT_TRUE(async_store.flush(kTestTimeout)) << c.events.text();
  c.expect(Kind::written);
}

TEST(AsyncStoreDisk, ChangesInRemovedFilesDoNotCountAsDurable) {
  for (const char* gone : {"/store.db", "/store.db-wal", ""}) {
    FaultyDiskFixture c;
    OpenResult opened = Store::open(c.store_settings);
    {
      AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
      async_store.put("a", "1");
      ASSERT_TRUE(async_store.flush(kTestTimeout));
      fs::remove_all(c.store_settings.dir + gone);
      async_store.put("b", "2");
      ASSERT_TRUE(async_store.flush(kTestTimeout)) << c.events.text();
    }
    EXPECT_EQ(state_of(Store::open(c.store_settings)), (State{{"a", "1"}, {"b", "2"}})) << gone;
  }
}

}  // namespace
}  // namespace reeltack::store
