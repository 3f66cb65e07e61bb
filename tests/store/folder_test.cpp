// Whose a store is, its bounds, and folders that are locked or cannot be written.
#include <sys/wait.h>

#include <csignal>

#include "script.h"

namespace reeltack::store {
namespace {

const clocks::BootTime kWritten{{1, 2, 3, 255}, Duration{123'456'789'012}};

TEST(StoreFolder, ASecondProcessIsRefusedByNameUntilTheFirstIsDead) {
  const TempDir temp;
  int ready[2];
  ASSERT_EQ(::pipe(ready), 0);
  const ::pid_t child = ::fork();
  if (child == 0) {
    const Opened o = Store::open(settings(temp / "s"));
    if (o.store && ::write(ready[1], "x", 1) == 1) ::pause();
    ::_exit(1);
  }
  char byte = 0;
  ASSERT_EQ(::read(ready[0], &byte, 1), 1);
  const Opened second = Store::open(settings(temp / "s"));
  EXPECT_EQ(second.how, How::refused);
  EXPECT_FALSE(second.store);
  EXPECT_NE(second.why.find(temp / "s/store.lock"), std::string::npos) << second.why;
  EXPECT_NE(second.why.find("process " + std::to_string(child) + " "), std::string::npos) << second.why;
  ::kill(child, SIGKILL);
  int status = 0;
  ASSERT_EQ(::waitpid(child, &status, 0), child);
  EXPECT_EQ(Store::open(settings(temp / "s")).how, How::opened);
  ::close(ready[0]);
  ::close(ready[1]);
}

TEST(StoreFolder, WhoseARecordIsIsToldNotJudged) {
  const TempDir temp;
  StoreSettings s = settings(temp / "s");
  s.format = 3;
  {
    Opened o = Store::open(s);
    EXPECT_EQ(o.how, How::fresh);
    ASSERT_TRUE(o.store->write({{"a", "1"}, {"b", ""}}, WallTime{Duration{77}}, kWritten).ok());
    EXPECT_EQ(o.store->generation(), 1u);
  }
  copy_folder(temp / "s", temp / "copy");
  s.dir = temp / "copy";
  s.fleet = "fleet-2";
  s.owner = "controller-2";
  {
    Opened o = Store::open(s);
    EXPECT_EQ(o.how, How::opened);
    ASSERT_EQ(o.kept.size(), 2u);
    EXPECT_EQ(o.foreign, 2u);
    EXPECT_EQ(o.kept[0].fleet + " " + o.kept[0].owner + " " + o.kept[0].value, "fleet-1 controller-1 1");
    EXPECT_EQ(o.kept[0].format, 3);
    EXPECT_EQ(o.kept[0].written_at, WallTime{Duration{77}});
    EXPECT_EQ(o.kept[0].written_since_boot.boot, kWritten.boot);
    EXPECT_EQ(o.kept[0].written_since_boot.since_boot, kWritten.since_boot);
    ASSERT_TRUE(o.store->write({{"a", "2"}}, WallTime{}).ok());
  }
  EXPECT_EQ(Store::open(s).foreign, 1u);
}

TEST(StoreFolder, BoundsAreToldAndChangeNothing) {
  const TempDir temp;
  StoreSettings s = settings(temp / "s");
  s.max_records = 2;
  s.most_bytes = 1 << 20;
  Opened o = Store::open(s);
  EXPECT_EQ(o.store->write({{"", "x"}}, WallTime{}).why, Why::too_big);
  EXPECT_EQ(o.store->write({{std::string(kMaxKeyBytes + 1, 'k'), "x"}}, WallTime{}).why, Why::too_big);
  EXPECT_EQ(o.store->write({{"k", std::string(kMostValue + 1, 'x')}}, WallTime{}).why, Why::too_big);
  EXPECT_TRUE(
      o.store->write({{std::string(kMaxKeyBytes, 'k'), value(1, kMostValue)}, {"b", "1"}}, WallTime{}).ok());
  EXPECT_EQ(o.store->write({{"c", "1"}}, WallTime{}).why, Why::full);
  EXPECT_TRUE(o.store->write({{"c", "1"}, {"b", std::nullopt}}, WallTime{}).ok());
  o.store.reset();
  EXPECT_EQ(Store::open(s).kept.size(), 2u);
}

TEST(StoreFolder, AnEmptyFileIsAFreshStoreAndAnUnwritableFolderAFailure) {
  const TempDir temp;
  fs::create_directory(temp / "s");
  spit(temp / "s/store.db", "");
  EXPECT_EQ(Store::open(settings(temp / "s")).how, How::fresh);
  spit(temp / "file", "x");
  const Opened under = Store::open(settings(temp / "file"));
  EXPECT_EQ(under.how, How::failed);
  EXPECT_NE(under.why.find(temp / "file"), std::string::npos) << under.why;
  fs::permissions(temp / "", fs::perms{0755});
  fs::permissions(temp / "s", fs::perms{0555});
  const ::pid_t child = ::fork();
  if (child == 0) {
    if (::getuid() == 0 && (::setgid(65534) != 0 || ::setuid(65534) != 0)) ::_exit(2);
    const Opened o = Store::open(settings(temp / "s"));
    ::_exit(o.how == How::failed && !o.store && !o.why.empty() ? 0 : 1);
  }
  int status = 0;
  ASSERT_EQ(::waitpid(child, &status, 0), child);
  EXPECT_EQ(status, 0);
}

}  // namespace
}  // namespace reeltack::store
