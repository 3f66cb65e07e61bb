// A sync fails and the kernel drops what it did not write: no later sync, reopening or restart may take that
// for written, so what is acknowledged afterwards survives a power loss.
#include "disk.h"
#include "points.h"

namespace reeltack::store {
namespace {

constexpr int kBatches = 6;

// What the program does after the failure.
enum class After { retry, close_and_reopen, kill_and_reopen };

class Player {
 public:
  Player(const std::string& dir, After after) : after_(after), points_(vfs_) {
    settings_ = settings(dir);
    settings_.vfs = FaultyVfs::name;
    settings_.faults = &points_;
    settings_.checkpoint_pages = 12;  // some batches end with a checkpoint, some do not
  }
  // Writes all batches, one after the other, while `failures` syncs fail from the `nth` on; the syncs met.
  int play(int nth, int failures) {
    first_ = nth;
    end_ = nth + failures;
    watch();
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
  void watch() {
    points_.act = [this](const std::string& step, bool before) {
      if (step == "sync folder" && !before) vfs_.trace.push_back({FileChange::Kind::sync, "", 0, "", false});
      if (step != "sync" || !before) return SQLITE_OK;
      ++syncs_;
      return syncs_ >= first_ && syncs_ < end_ ? SQLITE_IOERR_FSYNC : SQLITE_OK;
    };
  }
  void recover() {
    if (after_ == After::retry) return;
    // A killed process changes no file any more: nothing that its destructors try is carried out.
    if (after_ == After::kill_and_reopen) points_.act = [](const std::string&, bool) { return SQLITE_IOERR; };
    opened_ = {};
    watch();
  }

  After after_;
  FaultyVfs vfs_;
  Points points_;
  StoreSettings settings_;
  OpenResult opened_;
  int first_ = 0, end_ = 0, syncs_ = 0;
};

// The power goes after each change to the files: what was acknowledged by then is there, or the next batch.
void expect_acknowledged_is_kept(const std::vector<FileChange>& trace, const std::string& disk,
                                 const std::string& at) {
  std::mt19937 draw(20261202);
  int acknowledged = 0;
  bool failed = false;  // before the failure all is as in the test of power losses alone
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
      EXPECT_TRUE(state_of(found) == after(acknowledged) ||
                  (!just && state_of(found) == after(acknowledged + 1)))
          << where << "batch " << acknowledged << " was acknowledged and is not there";
    }
  }
}

// Each sync, and one or several in a row from it on.
void fail_each_sync(After after) {
  const TempDir temp;
  const int total = Player(temp / "s", after).play(0, 0);
  for (const int failures : {1, 3}) {
    for (int nth = 1; nth <= total; ++nth) {
      fs::remove_all(temp / "s");
      Player player(temp / "s", after);
      player.play(nth, failures);
      expect_acknowledged_is_kept(player.trace(), temp / "d", "sync " + std::to_string(nth));
    }
  }
  std::printf("failed each of %d syncs\n", total);
}

TEST(StoreSyncFailure, TheSameStoreWritesTheDataAgain) { fail_each_sync(After::retry); }
TEST(StoreSyncFailure, AStoreClosedAndReopenedWritesTheDataAgain) { fail_each_sync(After::close_and_reopen); }
TEST(StoreSyncFailure, TheStartAfterAKillWritesTheDataAgain) { fail_each_sync(After::kill_and_reopen); }

}  // namespace
}  // namespace reeltack::store
