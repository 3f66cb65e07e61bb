// The keeper on a disk that fails: what it reports, when it opens the store anew, and what it writes again.
#include <atomic>

#include "heard.h"

namespace reeltack::store {
namespace {

using namespace std::chrono_literals;
using Kind = AsyncStoreEvent::Kind;

TEST(KeeperDisk, AFailureIsReportedOnceThenWhileItLastsAndAtItsEndWithItsDuration) {
  Case c;
  std::atomic<bool> full{false};
  std::atomic<int> seconds{1000};
  c.keeper.clock = [&] {
    return std::chrono::steady_clock::time_point(std::chrono::seconds(seconds.load()));
  };
  OpenResult opened = Store::open(c.store);
  c.vfs.hook = [&](const FileStep& s) {
    return full && s.what == "write" && s.before ? SQLITE_FULL : SQLITE_OK;
  };
  AsyncStore keeper(c.store, std::move(opened), c.keeper);
  full = true;
  keeper.put("a", "1");
  keeper.put("b", "1");
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
  ASSERT_TRUE(keeper.flush(kLong));
  EXPECT_EQ(c.heard.count(Kind::failed), 1u);
  EXPECT_EQ(c.heard.count(Kind::lasting), 1u);
  EXPECT_EQ(c.heard.count(Kind::written), 1u);
  const std::string line = to_text(lasting);
  EXPECT_EQ(line.find("state=still_failing why=\"full\" lasted_ms=61000 failures="), 0u) << line;
  EXPECT_NE(line.find(" not_durable=2 text=\""), std::string::npos) << line;
}

TEST(KeeperDisk, AStoreWhoseFilesStayDeadIsOpenedAnew) {
  Case c;
  std::atomic<bool> dead{false};
  OpenResult opened = Store::open(c.store);
  c.vfs.hook = [&](const FileStep& s) {
    if (s.before && s.what == "open") dead = false;
    return dead && s.before && s.what != "read" ? SQLITE_IOERR : SQLITE_OK;
  };
  AsyncStore keeper(c.store, std::move(opened), c.keeper);
  keeper.put("a", "1");
  ASSERT_TRUE(keeper.flush(kLong));
  dead = true;
  keeper.put("a", "2");
  ASSERT_TRUE(keeper.flush(kLong)) << c.heard.text();
  EXPECT_EQ(c.expect(Kind::failed).code, ErrorCode::io);
  EXPECT_EQ(c.expect(Kind::opened).how, How::opened);
  EXPECT_GE(c.expect(Kind::written).failures, kReopenAfter);
}

TEST(KeeperDisk, WhatAReopeningFindsInAnEarlierStateIsWrittenAgain) {
  Case c;
  const std::string dir = c.store.dir;
  OpenResult opened = Store::open(c.store);
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
    AsyncStore keeper(c.store, std::move(opened), c.keeper);
    keeper.put("a", "1");
    keeper.put("gone", "1");
    keeper.put("same", "1");
    ASSERT_TRUE(keeper.flush(kLong));
    copy_folder(dir, c.temp / "earlier");
    keeper.put("a", "2");
    keeper.erase("gone");
    ASSERT_TRUE(keeper.flush(kLong));
    watched = &keeper;
    spoil = true;
    keeper.put("b", "1");
    ASSERT_TRUE(keeper.flush(kLong));
    EXPECT_EQ(c.expect(Kind::opened).how, How::opened);
    EXPECT_EQ(kept_at_opening, 0u) << "what may be lost counts as kept";
    EXPECT_EQ(keeper.counts().written, 8u);  // 3, then 2, then b and the two that had gone back
  }
  c.vfs.hook = {};
  EXPECT_EQ(state_of(Store::open(c.store)), (State{{"a", "2"}, {"b", "1"}, {"same", "1"}}));
}

TEST(KeeperDisk, AValueOfAnEarlierLifeIsWrittenAgainWhereTheStoreIsLost) {
  Case c;
  OpenResult opened = Store::open(c.store);
  ASSERT_TRUE(opened.store->write({{"vote", "7"}, {"other", "1"}}, clocks::WallTime{}).ok());
  std::atomic<bool> spoil{true};
  c.vfs.hook = [&](const FileStep& s) {
    if (!spoil || s.what != "write" || !s.before) return SQLITE_OK;
    spoil = false;
    spit(c.store.dir + "/store.db", std::string(8192, 'x'));
    fs::remove(c.store.dir + "/store.db-wal");
    return SQLITE_CORRUPT;
  };
  {
    AsyncStore keeper(c.store, std::move(opened), c.keeper);
    keeper.remember("vote", "7");
    keeper.put("a", "1");
    ASSERT_TRUE(keeper.flush(kLong));
    const AsyncStoreEvent found = c.expect(Kind::opened);
    EXPECT_EQ(found.how, How::set_aside);
    EXPECT_EQ(found.aside_path, c.store.dir + "/store.db.aside-1");
  }
  c.vfs.hook = {};
  EXPECT_EQ(state_of(Store::open(c.store)), (State{{"a", "1"}, {"vote", "7"}}));
}

TEST(KeeperDisk, WhatIsFoundLateIsShownBeforeItIsWrittenOver) {
  Case c;
  ASSERT_TRUE(Store::open(c.store).store->write({{"a", "old"}}, clocks::WallTime{}).ok());
  std::atomic<bool> fails{true};
  c.vfs.hook = [&](const FileStep& s) { return fails && s.before ? SQLITE_CANTOPEN : SQLITE_OK; };
  OpenResult opened = Store::open(c.store);
  ASSERT_EQ(opened.how, How::failed);
  std::vector<StoredRecord> found;
  c.keeper.on_records_found = [&](const std::vector<StoredRecord>& records) { found = records; };
  {
    AsyncStore keeper(c.store, std::move(opened), c.keeper);
    keeper.put("a", "new");
    c.expect(Kind::failed);
    fails = false;
    ASSERT_TRUE(keeper.flush(kLong));
  }
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(found.front().value, "old");
  c.vfs.hook = {};
  EXPECT_EQ(state_of(Store::open(c.store)), (State{{"a", "new"}}));
}

TEST(KeeperDisk, ALogThatCannotBeCarriedOverIsBounded) {
  Case c;
  c.store.max_log_bytes = 200'000;
  std::atomic<bool> fails{true};
  OpenResult opened = Store::open(c.store);
  c.vfs.hook = [&](const FileStep& s) {
    const bool database = s.file.size() > 8 && s.file.compare(s.file.size() - 8, 8, "store.db") == 0;
    return fails && database && s.before && s.what == "write" ? SQLITE_IOERR_WRITE : SQLITE_OK;
  };
  AsyncStore keeper(c.store, std::move(opened), c.keeper);
  for (int i = 0; i < 60 && keeper.counts().failures == 0; ++i) {
    keeper.put("a", value(i, 9000));
    keeper.flush(10ms);
  }
  const AsyncStoreEvent failed = c.expect(Kind::failed);
  EXPECT_NE(failed.text.find("log cannot be carried over"), std::string::npos) << failed.text;
  EXPECT_LT(fs::file_size(c.store.dir + "/store.db-wal"), 250'000u);
  fails = false;
  EXPECT_TRUE(keeper.flush(kLong)) << c.heard.text();
  c.expect(Kind::written);
}

TEST(KeeperDisk, FilesThatAreNoLongerThoseOfTheFolderAreNotTakenForKept) {
  for (const char* gone : {"/store.db", "/store.db-wal", ""}) {
    Case c;
    OpenResult opened = Store::open(c.store);
    {
      AsyncStore keeper(c.store, std::move(opened), c.keeper);
      keeper.put("a", "1");
      ASSERT_TRUE(keeper.flush(kLong));
      fs::remove_all(c.store.dir + gone);
      keeper.put("b", "2");
      ASSERT_TRUE(keeper.flush(kLong)) << c.heard.text();
    }
    EXPECT_EQ(state_of(Store::open(c.store)), (State{{"a", "1"}, {"b", "2"}})) << gone;
  }
}

}  // namespace
}  // namespace reeltack::store
