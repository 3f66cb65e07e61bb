// Owner of a store, its limits, and folders that are locked or cannot be written.
#include <sys/wait.h>

#include <csignal>

#include "script.h"

namespace reeltack::store {
namespace {

const clocks::BootTime kWritten{{1, 2, 3, 255}, Duration{123'456'789'012}};

TEST(StoreFolder, ASecondProcessIsRefusedWithThePidOfTheFirst) {
  const TempDir temp;
  int ready[2];
  ASSERT_EQ(::pipe(ready), 0);
  const ::pid_t child = ::fork();
  if (child == 0) {
    const OpenResult o = Store::open(settings(temp / "s"));
    if (o.store && ::write(ready[1], "x", 1) == 1) ::pause();
    ::_exit(1);
  }
  char byte = 0;
  ASSERT_EQ(::read(ready[0], &byte, 1), 1);
  const OpenResult second = Store::open(settings(temp / "s"));
  EXPECT_EQ(second.how, How::refused);
  EXPECT_FALSE(second.store);
  EXPECT_NE(second.reason.find(temp / "s/store.lock"), std::string::npos) << second.reason;
  EXPECT_NE(second.reason.find("process " + std::to_string(child) + " "), std::string::npos) << second.reason;
  ::kill(child, SIGKILL);
  int status = 0;
  ASSERT_EQ(::waitpid(child, &status, 0), child);
  EXPECT_EQ(Store::open(settings(temp / "s")).how, How::opened);
  ::close(ready[0]);
  ::close(ready[1]);
}

TEST(StoreFolder, RecordsOfAnotherOwnerAreReturnedAndCounted) {
  const TempDir temp;
  StoreSettings s = settings(temp / "s");
  s.format = 3;
  {
    OpenResult o = Store::open(s);
    EXPECT_EQ(o.how, How::fresh);
    ASSERT_TRUE(o.store->write({{"a", "1"}, {"b", ""}}, WallTime{Duration{77}}, kWritten).ok());
    EXPECT_EQ(o.store->generation(), 1u);
  }
  copy_folder(temp / "s", temp / "copy");
  s.dir = temp / "copy";
  s.fleet = "fleet-2";
  s.owner = "controller-2";
  {
    OpenResult o = Store::open(s);
    EXPECT_EQ(o.how, How::opened);
    ASSERT_EQ(o.records.size(), 2u);
    EXPECT_EQ(o.foreign, 2u);
    EXPECT_EQ(o.records[0].fleet + " " + o.records[0].owner + " " + o.records[0].value,
              "fleet-1 controller-1 1");
    EXPECT_EQ(o.records[0].format, 3);
    EXPECT_EQ(o.records[0].written_at, WallTime{Duration{77}});
    EXPECT_EQ(o.records[0].written_since_boot.boot, kWritten.boot);
    EXPECT_EQ(o.records[0].written_since_boot.since_boot, kWritten.since_boot);
    ASSERT_TRUE(o.store->write({{"a", "2"}}, WallTime{}).ok());
  }
  EXPECT_EQ(Store::open(s).foreign, 1u);
}

TEST(StoreFolder, AChangeOverALimitIsRefusedAndChangesNothing) {
  const TempDir temp;
  StoreSettings s = settings(temp / "s");
  s.max_records = 2;
  s.max_bytes = 1 << 20;
  OpenResult o = Store::open(s);
  EXPECT_EQ(o.store->write({{"", "x"}}, WallTime{}).code, ErrorCode::too_big);
  EXPECT_EQ(o.store->write({{std::string(kMaxKeyBytes + 1, 'k'), "x"}}, WallTime{}).code, ErrorCode::too_big);
  EXPECT_EQ(o.store->write({{"k", std::string(kMaxValueBytes + 1, 'x')}}, WallTime{}).code,
            ErrorCode::too_big);
  EXPECT_TRUE(
      o.store->write({{std::string(kMaxKeyBytes, 'k'), value(1, kMaxValueBytes)}, {"b", "1"}}, WallTime{})
          .ok());
  EXPECT_EQ(o.store->write({{"c", "1"}}, WallTime{}).code, ErrorCode::full);
  EXPECT_TRUE(o.store->write({{"c", "1"}, {"b", std::nullopt}}, WallTime{}).ok());
  o.store.reset();
  EXPECT_EQ(Store::open(s).records.size(), 2u);
}

TEST(StoreFolder, AnEmptyFileIsAFreshStoreAndAnUnwritableFolderFails) {
  const TempDir temp;
  fs::create_directory(temp / "s");
  write_file(temp / "s/store.db", "");
  EXPECT_EQ(Store::open(settings(temp / "s")).how, How::fresh);
  write_file(temp / "file", "x");
  const OpenResult under = Store::open(settings(temp / "file"));
  EXPECT_EQ(under.how, How::failed);
  EXPECT_NE(under.reason.find(temp / "file"), std::string::npos) << under.reason;
  fs::permissions(temp / "", fs::perms{0755});
  fs::permissions(temp / "s", fs::perms{0555});
  const ::pid_t child = ::fork();
  if (child == 0) {
    if (::getuid() == 0 && (::setgid(65534) != 0 || ::setuid(65534) != 0)) ::_exit(2);
    const OpenResult o = Store::open(settings(temp / "s"));
    ::_exit(o.how == How::failed && !o.store && !o.reason.empty() ? 0 : 1);
  }
  int status = 0;
  ASSERT_EQ(::waitpid(child, &status, 0), child);
  EXPECT_EQ(status, 0);
}

}  // namespace
}  // namespace reeltack::store
