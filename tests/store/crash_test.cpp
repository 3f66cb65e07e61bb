// The process is killed, an operation fails, or the power is lost at every fault point of a sequence of
// batches. Afterwards the store must hold the last acknowledged state or the next one, never a mixture.
#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <csignal>

#include "disk.h"
#include "points.h"

namespace reeltack::store {
namespace {

constexpr int kBatches = 12;

// Opens the store, writes half of the batches, closes it, reopens it and writes the rest.
// `acknowledged` is the last batch for which write() succeeded.
void write_batches(const StoreSettings& s, volatile int& acknowledged,
                   const std::function<void(int)>& on_acknowledged = {}) {
  for (int i = 1; i <= kBatches;) {
    OpenResult o = Store::open(s);
    if (!o.store) return;
    do {
      if (!o.store->write(batch(i), WallTime{Duration{i}}).ok()) return;
      acknowledged = i;
      if (on_acknowledged) on_acknowledged(i);
    } while (++i <= kBatches && i != kBatches / 2);
  }
}

// The folder holds the state after `acknowledged` batches, or after one more.
void expect_old_or_new(const std::string& dir, int acknowledged, const std::string& at) {
  const OpenResult o = Store::open(settings(dir));
  ASSERT_TRUE(o.how == How::opened || (o.how == How::fresh && acknowledged == 0)) << at << ": " << o.reason;
  const State found = state_of(o);
  EXPECT_TRUE(found == state_after(acknowledged) || found == state_after(acknowledged + 1))
      << at << ": mixed or lost after batch " << acknowledged;
}

TEST(StoreCrash, AKillAtEveryPointLeavesTheOldOrTheNewState) {
  const TempDir temp;
  const std::string dir = temp / "s";
  auto* acknowledged = static_cast<volatile int*>(
      ::mmap(nullptr, sizeof(int), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0));
  ASSERT_NE(acknowledged, MAP_FAILED);
  FaultyVfs vfs;
  FaultPoints points(vfs);
  StoreSettings s = settings(dir);
  s.vfs = FaultyVfs::name;
  s.faults = &points;
  write_batches(s, *acknowledged);
  ASSERT_EQ(*acknowledged, kBatches);
  const int total = points.count;
  for (const char* step :
       {"write before", "half before", "write after", "sync before", "sync after", "open before",
        "delete after", "make folder before", "lock after", "sync folder after"}) {
    EXPECT_TRUE(points.seen.count(step)) << step;
  }
  int visited = 0;
  for (int at = 1; at <= total; ++at) {
    fs::remove_all(dir);
    *acknowledged = 0;
    const ::pid_t child = ::fork();
    if (child == 0) {
      points.count = 0;
      points.act = [&](const std::string&, bool) {
        if (points.count == at) ::raise(SIGKILL);
        return SQLITE_OK;
      };
      write_batches(s, *acknowledged);
      ::_exit(0);
    }
    int status = 0;
    ASSERT_EQ(::waitpid(child, &status, 0), child);
    visited += WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL ? 1 : 0;
    expect_old_or_new(dir, *acknowledged, "point " + std::to_string(at));
  }
  EXPECT_EQ(visited, total);
  std::printf("killed at each of %d points\n", total);
  ::munmap(const_cast<int*>(acknowledged), sizeof(int));
}

TEST(StoreCrash, AKillAtEveryPointOfSettingAsideLosesNothing) {
  const TempDir temp;
  const std::string file(9000, 'f'), log(9000, 'l');
  FaultyVfs vfs;
  FaultPoints points(vfs);
  StoreSettings s = settings(temp / "s");
  s.vfs = FaultyVfs::name;
  s.faults = &points;
  int total = 0, visited = 0;
  for (int at = 0; at <= total; ++at) {  // 0: without a kill, to count the points
    fs::remove_all(s.dir);
    fs::create_directory(s.dir);
    write_file(s.dir + "/store.db", file);
    write_file(s.dir + "/store.db-wal", log);
    const auto open = [&] {
      points.count = 0;
      points.act = [&](const std::string&, bool) {
        return points.count == at ? ::raise(SIGKILL) : SQLITE_OK;
      };
      return Store::open(s);
    };
    if (at == 0) {
      EXPECT_EQ(open().how, How::set_aside);
      total = points.count;
      EXPECT_TRUE(points.seen.count("set aside before") && points.seen.count("set aside after"));
      continue;
    }
    const ::pid_t child = ::fork();
    if (child == 0) {
      const bool opened = open().store != nullptr;  // and closed again, which also has fault points
      ::_exit(opened ? 0 : 1);
    }
    int status = 0;
    ASSERT_EQ(::waitpid(child, &status, 0), child);
    visited += WIFSIGNALED(status) ? 1 : 0;
    ASSERT_TRUE(Store::open(settings(s.dir)).store) << at;
    int found = 0;
    for (const auto& entry : fs::directory_iterator(s.dir)) {
      const std::string bytes = read_file(entry.path());
      found += bytes == file || bytes == log ? 1 : 0;
    }
    EXPECT_EQ(found, 2) << "point " << at;
  }
  EXPECT_EQ(visited, total);
}

TEST(StoreCrash, APowerLossAtEveryPointPreservesAcknowledgedBatches) {
  const TempDir temp;
  FaultyVfs vfs;
  FaultPoints points(vfs);
  points.act = [&](const std::string& step, bool before) {
    if (step == "sync folder" && !before) vfs.trace.push_back({FileChange::Kind::sync, "", 0, "", false});
    return SQLITE_OK;
  };
  StoreSettings s = settings(temp / "s");
  s.vfs = FaultyVfs::name;
  s.faults = &points;
  volatile int acknowledged = 0;
  write_batches(s, acknowledged, [&](int i) {
    vfs.trace.push_back({FileChange::Kind::mark, "", i, "", false});
  });
  ASSERT_EQ(acknowledged, kBatches);
  std::mt19937 draw(20261202);
  int last = 0;
  for (std::size_t end = 0; end <= vfs.trace.size(); ++end) {
    if (end > 0 && vfs.trace[end - 1].kind == FileChange::Kind::mark)
      last = static_cast<int>(vfs.trace[end - 1].at);
    for (int kind = 0; kind < 4; ++kind) {
      build_disk(temp / "d", vfs.trace, end, kind, draw);
      expect_old_or_new(temp / "d", last, "change " + std::to_string(end) + ", disk " + std::to_string(kind));
    }
  }
  std::printf("power lost after each of %zu changes, four disks each\n", vfs.trace.size());
}

// At each fault point one failure, or persistent failures from there on; then the disk works again.
void fail_everywhere(int result, bool persistent) {
  const TempDir temp;
  FaultyVfs vfs;
  FaultPoints points(vfs);
  points.reads = true;
  StoreSettings s = settings(temp / "s");
  s.vfs = FaultyVfs::name;
  s.faults = &points;
  volatile int acknowledged = 0;
  write_batches(s, acknowledged);
  const int total = points.count;
  int failed_runs = 0;
  for (int at = 1; at <= total; ++at) {
    fs::remove_all(s.dir);
    points.count = 0;
    points.act = [&](const std::string&, bool) {
      return points.count == at || (persistent && points.count > at) ? result : SQLITE_OK;
    };
    acknowledged = 0;
    write_batches(s, acknowledged);
    failed_runs += acknowledged < kBatches ? 1 : 0;
    points.act = {};
    const std::string where = "point " + std::to_string(at);
    expect_old_or_new(s.dir, acknowledged, where);
    OpenResult again = Store::open(s);
    ASSERT_TRUE(again.store) << where << ": " << again.reason;
    EXPECT_TRUE(again.store->write(batch(1), WallTime{}).ok()) << where;
  }
  EXPECT_GT(failed_runs, total / 4);
  std::printf("failed at each of %d points, write refused in %d\n", total, failed_runs);
}

TEST(StoreCrash, OneIoErrorAtEveryPoint) { fail_everywhere(SQLITE_IOERR, false); }
TEST(StoreCrash, AFullDiskFromEveryPointOn) { fail_everywhere(SQLITE_FULL, true); }

TEST(StoreCrash, TheStoreContinuesAfterAFailedWrite) {
  const TempDir temp;
  FaultyVfs vfs;
  StoreSettings s = settings(temp / "s");
  s.vfs = FaultyVfs::name;
  OpenResult o = Store::open(s);
  ASSERT_TRUE(o.store);
  for (int i = 1; i <= kBatches; ++i) {
    int point = 0;
    vfs.hook = [&](const FileStep& step) {
      return step.what != "read" && step.before && ++point == i ? SQLITE_FULL : SQLITE_OK;
    };
    const WriteResult failed = o.store->write(batch(i), WallTime{});
    EXPECT_TRUE(failed.ok() || failed.code == ErrorCode::full) << failed.text;
    vfs.hook = {};
    EXPECT_TRUE(o.store->write(batch(i), WallTime{}).ok());
  }
  o.store.reset();
  EXPECT_EQ(state_of(Store::open(s)), state_after(kBatches));
}

TEST(StoreCrash, AFileSizeLimitIsReportedAsAFullDisk) {
  const TempDir temp;
  const ::pid_t child = ::fork();
  if (child == 0) {
    ::signal(SIGXFSZ, SIG_IGN);
    OpenResult o = Store::open(settings(temp / "s"));
    const ::rlimit limit{60000, 60000};
    if (!o.store || ::setrlimit(RLIMIT_FSIZE, &limit) != 0) ::_exit(1);
    int i = 1;
    WriteResult w;
    while (
        i < 50 &&
        (w = o.store->write({{std::string("k").append(std::to_string(i)), value(i, 9000)}}, WallTime{})).ok())
      ++i;
    ::_exit(w.code == ErrorCode::full || w.code == ErrorCode::io ? 10 + i : 2);
  }
  int status = 0;
  ASSERT_EQ(::waitpid(child, &status, 0), child);
  ASSERT_TRUE(WIFEXITED(status));
  ASSERT_GT(WEXITSTATUS(status), 10);
  EXPECT_EQ(Store::open(settings(temp / "s")).records.size(),
            static_cast<std::size_t>(WEXITSTATUS(status) - 11));
}

}  // namespace
}  // namespace reeltack::store
