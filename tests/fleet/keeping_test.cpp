// Promises over a disk that fails: nothing is reported as kept that is not, and an earlier life's vote holds
// even where it could not be read at the start.
#include "fleet/service/keeping.h"

#include <atomic>
#include <thread>

#include "base/boot_clock.h"
#include "base/wall_clock.h"
#include "faulty_vfs.h"
#include "fleet/recovery/values.h"
#include "script.h"

namespace reeltack::fleet {
namespace {

using namespace std::chrono_literals;

drift::Version version_of(drift::Epoch epoch, const std::string& rule) {
  drift::Version out;
  out.epoch = epoch;
  out.rules["core.attempts"] = rule;
  return out;
}
drift::Vote vote_for(const drift::Version& version) { return {name_of(version), {}}; }

// One controller's disk over several lives, and the log of all of them.
class Disk {
 public:
  Disk() {
    vfs_.hook = [this](const store::FileStep& step) {
      vfs_.trace.clear();
      return fails && step.before && step.what != "read" ? SQLITE_CANTOPEN : SQLITE_OK;
    };
    settings_.fleet = "fleet-1";
    settings_.store = temp_ / "s";
  }
  std::unique_ptr<Keeping> start() {
    return std::make_unique<Keeping>(settings_, "n0",
                                     [this](const std::string& event, const std::string& text) {
                                       const std::lock_guard lock(mutex_);
                                       log_ += event + " " + text + "\n";
                                     });
  }
  std::string log() {
    const std::lock_guard lock(mutex_);
    return log_;
  }
  // As an earlier life, which ended at these moments, has left it.
  void leave_stage(const std::string& stage, clocks::WallTime at, const clocks::BootTime& since_boot) const {
    store::StoreSettings store;
    store.dir = settings_.store;
    store.fleet = settings_.fleet;
    store.owner = "n0";
    store::Opened opened = store::Store::open(store);
    ASSERT_TRUE(opened.store->write({{recovery::kStageRecord, stage}}, at, since_boot).ok()) << opened.why;
  }
  [[nodiscard]] std::string file() const { return settings_.store + "/store.db"; }
  void set_clock_back(Duration by) { settings_.wall_offset = -by; }
  std::atomic<bool> fails{false};

 private:
  store::TempDir temp_;
  store::FaultyVfs vfs_{true};
  config::Controllers settings_;
  std::mutex mutex_;
  std::string log_;
};

void put_vote(Keeping& keeping, const drift::Version& version) {
  keeping.put(Store{drift::kHeldRecord, write(version), std::nullopt});
  keeping.put(Store{drift::kVoteRecord, write(vote_for(version)), vote_for(version)});
}
template <typename Holds>
bool until(Holds holds) {
  for (int i = 0; i < 3000; ++i) {
    if (holds()) return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}
bool lasts(Keeping& keeping, const drift::Version& version) {
  return until([&] { return keeping.vote_lasts() == vote_for(version); });
}

TEST(Keeping, AVoteOfAnEarlierLifeThatCouldNotBeReadAtTheStartIsNotCastAgain) {
  Disk disk;
  const drift::Version first = version_of(5, "3"), second = version_of(5, "4"), later = version_of(6, "4");
  {
    const auto keeping = disk.start();
    put_vote(*keeping, first);
    ASSERT_TRUE(lasts(*keeping, first));
  }
  {
    disk.fails = true;
    const auto keeping = disk.start();
    ASSERT_FALSE(keeping->rules().vote);
    put_vote(*keeping, second);
    EXPECT_FALSE(keeping->vote_lasts());
    disk.fails = false;
    ASSERT_TRUE(until([&] {
      EXPECT_FALSE(keeping->vote_lasts()) << disk.log();
      return disk.log().find("vote=none epoch=5") != std::string::npos;
    })) << disk.log();
    EXPECT_FALSE(keeping->vote_lasts());
    put_vote(*keeping, second);
    EXPECT_FALSE(keeping->look_again()) << "it waits for a vote that never comes";
    put_vote(*keeping, later);
    EXPECT_TRUE(lasts(*keeping, later));
  }
  const auto keeping = disk.start();
  EXPECT_EQ(keeping->rules().vote, write(vote_for(later)));
  EXPECT_EQ(keeping->rules().held, write(later));
}

TEST(Keeping, AnUnreadStoreIsNotWrittenOver) {
  Disk disk;
  const drift::Version voted = version_of(5, "3"), approved = version_of(4, "2"), older = version_of(3, "2");
  Incarnation before = 0;
  {
    const auto keeping = disk.start();
    before = keeping->incarnation();
    put_vote(*keeping, voted);
    keeping->put(Store{drift::kApprovedRecord, write(approved), std::nullopt});
    ASSERT_TRUE(lasts(*keeping, voted));
    keeping->flush(30s);
  }
  {
    disk.fails = true;
    disk.set_clock_back(24h);
    const auto keeping = disk.start();
    EXPECT_LT(keeping->incarnation(), before);
    EXPECT_NE(disk.log().find("durable=no incarnation="), std::string::npos) << disk.log();
    keeping->put(Store{drift::kApprovedRecord, write(older), std::nullopt});
    disk.fails = false;
    keeping->put(Store{"office", "1", std::nullopt});
    ASSERT_TRUE(until([&] {
      static_cast<void>(keeping->became_durable(Time{}));
      keeping->put(Store{kIncarnationKey, std::to_string(keeping->incarnation()), std::nullopt});
      return disk.log().find("state=written_again") != std::string::npos;
    })) << disk.log();
    ASSERT_TRUE(until([&] { return keeping->became_durable(Time{}).has_value(); }));
  }
  const auto keeping = disk.start();
  EXPECT_GT(keeping->incarnation(), before);
  EXPECT_EQ(keeping->rules().vote, write(vote_for(voted)));
  EXPECT_EQ(keeping->rules().approved, write(approved));
}

TEST(Keeping, AnIncarnationThatTheFullQueueRefusedIsNotReportedAsKept) {
  Disk disk;
  const auto keeping = disk.start();
  disk.fails = true;
  int key = 0;
  for (std::size_t size = 200UL * 1024; size > 0;) {  // until not a byte more is taken
    const std::uint64_t refused = keeping->counts().refused;
    keeping->put(Store{"k" + std::to_string(key++), std::string(size, 'x'), std::nullopt});
    if (keeping->counts().refused > refused) size /= 2;
  }
  const Incarnation to = keeping->incarnation() + 100;
  keeping->put(Store{kIncarnationKey, std::to_string(to), std::nullopt});
  EXPECT_FALSE(keeping->became_durable(Time{}));
  disk.fails = false;
  std::optional<Incarnation> durable;
  EXPECT_TRUE(until([&] { return (durable = keeping->became_durable(Time{})).has_value(); })) << disk.log();
  EXPECT_EQ(durable, to);
  EXPECT_EQ(disk.log().find("durable=no incarnation=" + std::to_string(to)), std::string::npos) << disk.log();
}

TEST(Keeping, ADiskThatFailsForGoodHoldsNoIncarnationBackAndThatIsSaid) {
  Disk disk;
  const auto keeping = disk.start();
  disk.fails = true;
  const Incarnation to = keeping->incarnation() + 100;
  keeping->put(Store{kIncarnationKey, std::to_string(to), std::nullopt});
  put_vote(*keeping, version_of(5, "3"));
  EXPECT_FALSE(keeping->became_durable(Time{}));
  EXPECT_FALSE(keeping->became_durable(Time{} + kNotDurable - 1ms));
  EXPECT_EQ(keeping->became_durable(Time{} + kNotDurable), to);
  EXPECT_FALSE(keeping->became_durable(Time{} + 2 * kNotDurable));
  EXPECT_NE(disk.log().find("durable=no incarnation=" + std::to_string(to)), std::string::npos) << disk.log();
  EXPECT_FALSE(keeping->vote_lasts());
  ASSERT_TRUE(until([&] { return keeping->counts().failing; }));
  EXPECT_GE(keeping->look_again(), Duration(100ms)) << "it looks at a failing disk all the time";
  disk.fails = false;
  EXPECT_TRUE(lasts(*keeping, version_of(5, "3")));
}

TEST(Keeping, AVoteOfAnEarlierLifeIsWrittenAgainWhereTheStoreIsSetAside) {
  Disk disk;
  const drift::Version voted = version_of(5, "3");
  {
    const auto keeping = disk.start();
    put_vote(*keeping, voted);
    ASSERT_TRUE(lasts(*keeping, voted));
  }
  {
    const auto keeping = disk.start();
    store::spit(disk.file(), std::string(8192, 'x'));
    std::filesystem::remove(disk.file() + "-wal");
    // The engine holds the pages that it has read; what it writes next is large enough to show the damage, or
    // the next start finds it. Two failures open the store anew, which shows it at once.
    disk.fails = true;
    keeping->put(Store{"office", "1", std::nullopt});
    ASSERT_TRUE(until([&] { return keeping->counts().failures >= 3; }));
    disk.fails = false;
    ASSERT_TRUE(until([&] { return disk.log().find("how=set_aside") != std::string::npos; })) << disk.log();
    keeping->flush(30s);
  }
  const auto keeping = disk.start();
  EXPECT_EQ(keeping->rules().vote, write(vote_for(voted)));
  EXPECT_EQ(keeping->rules().held, write(voted));
}

TEST(Keeping, WhatOneLifeHasKeptIsOfKnownAgeInTheNext) {
  Disk disk;
  const clocks::BootTime before = base::boot_now();
  {
    const auto keeping = disk.start();
    const recovery::StageValue full{.stage = recovery::Stage::full};
    keeping->put(Store{recovery::kStageRecord, write(full), std::nullopt});
    keeping->flush(30s);
  }
  const auto keeping = disk.start();
  ASSERT_TRUE(keeping->kept());
  ASSERT_TRUE(keeping->kept()->age);
  EXPECT_LE(*keeping->kept()->age, clocks::elapsed(before, base::boot_now()));
}

// The age of what is kept, with the wall clock right or stepped by an hour while the controller was off.
class KeptStage : public ::testing::TestWithParam<std::chrono::seconds> {
 protected:
  [[nodiscard]] std::optional<Duration> age(const clocks::BootTime& written) const {
    Disk disk;
    disk.leave_stage(write(recovery::StageValue{.stage = recovery::Stage::full}),
                     base::wall_now() - kOld - GetParam(), written);
    const auto keeping = disk.start();
    EXPECT_TRUE(keeping->kept());
    return keeping->kept() ? keeping->kept()->age : std::nullopt;
  }
  static constexpr Duration kOld = 10min;
};

TEST_P(KeptStage, OfThisBootIsAsOldAsItIsWhateverTheWallClockSays) {
  clocks::BootTime written = base::boot_now();
  ASSERT_NE(written.boot, clocks::BootId{});
  written.since_boot -= kOld;
  const std::optional<Duration> found = age(written);
  ASSERT_TRUE(found);
  EXPECT_GE(*found, kOld);
  EXPECT_LE(*found, base::boot_now().since_boot - written.since_boot);
}

TEST_P(KeptStage, OfAnotherBootOrNoneIsOfUnknownAge) {
  clocks::BootTime written = base::boot_now();
  EXPECT_FALSE(age({{}, written.since_boot - kOld})) << "an older program's record";
  written.boot[0] ^= 1U;
  EXPECT_FALSE(age(written)) << "the machine has booted since, or the disk was moved";
}

TEST_P(KeptStage, FromTheFutureOfThisBootIsOfUnknownAge) {
  clocks::BootTime written = base::boot_now();
  written.since_boot += 1h;
  EXPECT_FALSE(age(written));
}

INSTANTIATE_TEST_SUITE_P(WallClock, KeptStage, ::testing::Values(-3600s, -600s, -595s, 0s, 3600s),
                         [](const auto& stepped) {
                           return (stepped.param < 0s ? "back_" : "ahead_") +
                                  std::to_string(std::abs(stepped.param.count())) + "_s";
                         });

}  // namespace
}  // namespace reeltack::fleet
