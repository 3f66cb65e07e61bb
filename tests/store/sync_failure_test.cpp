// A sync fails and the kernel drops the unwritten data. No later sync, reopening or restart may regard
// that data as written, so batches acknowledged afterwards must survive a power loss.
#include "disk.h"
#include "points.h"

namespace reeltack::store {
namespace {

constexpr int kBatches = 6;

// What the program does after the failure.
enum class Recovery { retry, close_and_reopen, kill_and_reopen };

class Player {
 public:
  Player(const std::string& dir, Recovery recovery) : recovery_(recovery), points_(vfs_) {
    settings_ = settings(dir);
    settings_.vfs = FaultyVfs::name;
    settings_.faults = &points_;
    settings_.checkpoint_pages = 12;  // some batches end with a checkpoint, some do not
  }
  // Writes all batches in turn while `failures` syncs fail from the `nth` on. Returns the number of syncs.
  int write_batches(int nth, int failures) {
    first_ = nth;
    end_ = nth + failures;
    install_hook();
    for (int i = 1; i <= kBatches;) {
      if (!opened_.store) opened_ = Store::open(settings_);
      if (opened_.store && opened_.store->write(batch(i), clocks::WallTime{Duration{i}}).ok()) {
        vfs_.trace.push_back({FileChange::Kind::mark, "", i, "", false});
        if (++i == kBatches / 2) opened_.store.reset();
      } else {
        recover();
      }
    }
    return syncs_;
  }
  [[nodiscard]] const std::vector<FileChange>& trace() const { return vfs_.trace; }

 private:
  void install_hook() {
    points_.act = [this](const std::string& step, bool before) {
      if (step == "sync folder" && !before) vfs_.trace.push_back({FileChange::Kind::sync, "", 0, "", false});
      if (step != "sync" || !before) return SQLITE_OK;
      ++syncs_;
      return syncs_ >= first_ && syncs_ < end_ ? SQLITE_IOERR_FSYNC : SQLITE_OK;
    };
  }
  void recover() {
    if (recovery_ == Recovery::retry) return;
    // A killed process changes no more files: operations of its destructors are not executed.
    if (recovery_ == Recovery::kill_and_reopen)
      points_.act = [](const std::string&, bool) { return SQLITE_IOERR; };
    opened_ = {};
    install_hook();
  }

  Recovery recovery_;
  FaultyVfs vfs_;
  FaultPoints points_;
  StoreSettings settings_;
  OpenResult opened_;
  int first_ = 0, end_ = 0, syncs_ = 0;
};

// The power is lost after each change to the files: the acknowledged batches must be there, or one more.
void expect_acknowledged_is_kept(const std::vector<FileChange>& trace, const std::string& disk,
                                 const std::string& at) {
  std::mt19937 draw(20261202);
  int acknowledged = 0;
  bool failed = false;  // states before the failure are covered by the test of power losses
  for (std::size_t end = 1; end <= trace.size(); ++end) {
    const bool just = trace[end - 1].kind == FileChange::Kind::mark;
    if (just) acknowledged = static_cast<int>(trace[end - 1].at);
    failed = failed || trace[end - 1].kind == FileChange::Kind::failed_sync;
    for (int kind = 0; failed && kind < 4; ++kind) {
      build_disk(disk, trace, end, kind, draw);
      const OpenResult found = Store::open(settings(disk));
      const std::string where =
          at + ", change " + std::to_string(end) + ", disk " + std::to_string(kind) + ": ";
      EXPECT_TRUE(found.how == How::opened || (found.how == How::fresh && acknowledged == 0))
          << where << found.reason;
      EXPECT_TRUE(state_of(found) == state_after(acknowledged) ||
                  (!just && state_of(found) == state_after(acknowledged + 1)))
          << where << "batch " << acknowledged << " was acknowledged and is missing";
    }
  }
}

// Fails each sync, once or three times in a row.
void fail_each_sync(Recovery recovery) {
  const TempDir temp;
  const int total = Player(temp / "s", recovery).write_batches(0, 0);
  for (const int failures : {1, 3}) {
    for (int nth = 1; nth <= total; ++nth) {
      fs::remove_all(temp / "s");
      Player player(temp / "s", recovery);
      player.write_batches(nth, failures);
      expect_acknowledged_is_kept(player.trace(), temp / "d", "sync " + std::to_string(nth));
    }
  }
  std::printf("failed each of %d syncs\n", total);
}

TEST(StoreSyncFailure, TheSameStoreWritesTheDataAgain) { fail_each_sync(Recovery::retry); }
TEST(StoreSyncFailure, AStoreClosedAndReopenedWritesTheDataAgain) {
  fail_each_sync(Recovery::close_and_reopen);
}
TEST(StoreSyncFailure, TheStartAfterAKillWritesTheDataAgain) { fail_each_sync(Recovery::kill_and_reopen); }

}  // namespace
}  // namespace reeltack::store
