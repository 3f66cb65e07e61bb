// Promises over a disk that hangs, is full of records or cannot be written: nobody waits, and none is
// reported as kept.
#include <atomic>
#include <thread>

#include "faulty_vfs.h"
#include "fleet/service/keeping.h"
#include "gate.h"
#include "script.h"

namespace reeltack::fleet {
namespace {

using namespace std::chrono_literals;

drift::Version version_of(drift::Epoch epoch) {
  drift::Version out;
  out.epoch = epoch;
  out.rules["core.attempts"] = "3";
  return out;
}

struct HangingDisk {
  HangingDisk() {
    settings.fleet = "fleet-1";
    settings.store = temp / "s";
    vfs.hook = [this](const store::FileStep& step) {
      vfs.trace.clear();
      if (step.before) gate.pass();
      const bool changes = step.what != "open" && step.what != "read";
      return read_only && changes && step.before ? SQLITE_IOERR_WRITE : SQLITE_OK;
    };
  }
  std::unique_ptr<FleetStorage> start() {
    return std::make_unique<FleetStorage>(settings, "n0",
                                          [this](const std::string& event, const std::string& text) {
                                            const std::lock_guard lock(mutex);
                                            log += event + " " + text + "\n";
                                          });
  }
  bool has_said(const std::string& text) {
    const std::lock_guard lock(mutex);
    return log.find(text) != std::string::npos;
  }
  store::TempDir temp;
  store::Gate gate;
  std::atomic<bool> read_only{false};
  store::FaultyVfs vfs{true};
  config::Controllers settings;
  std::mutex mutex;
  std::string log;
};

bool take_durable_vote(FleetStorage& keeping, const drift::Vote& vote) {
  for (int looks = 0; looks < 3000; ++looks) {
    if (keeping.take_durable_vote() == vote) return true;
    ::usleep(10000);
  }
  return false;
}

TEST(KeepingHanging, AVoteWaitsAndAnIncarnationGoesOutAsNotDurable) {
  HangingDisk disk;
  const auto keeping = disk.start();
  disk.gate.close();
  const drift::Version version = version_of(5);
  const drift::Vote vote{name_of(version), {}};
  keeping->put(Store{drift::kHeldRecord, write(version), std::nullopt});
  keeping->put(Store{drift::kVoteRecord, write(vote), vote});
  ASSERT_TRUE(disk.gate.is_met());
  const Incarnation next = keeping->incarnation() + 100;
  keeping->put(Store{kIncarnationKey, std::to_string(next), std::nullopt});
  const Time now(1000s);
  EXPECT_FALSE(keeping->take_durable_vote());
  EXPECT_EQ(keeping->take_durable_incarnation(now), std::nullopt);
  EXPECT_EQ(keeping->take_durable_incarnation(now + kMaxDurabilityWait - 1ms), std::nullopt);
  EXPECT_FALSE(disk.has_said("durable=no"));
  EXPECT_EQ(keeping->take_durable_incarnation(now + kMaxDurabilityWait), next);
  EXPECT_TRUE(disk.has_said("durable=no incarnation=" + std::to_string(next))) << disk.log;
  EXPECT_FALSE(keeping->take_durable_vote()) << "a vote that the disk does not have is published";
  disk.gate.open();
  EXPECT_TRUE(take_durable_vote(*keeping, vote));
}

// The store has no room for the version, which is a new record, and takes the vote, which is not.
TEST(KeepingHanging, AVoteWhoseVersionHasNoRoomIsNotPublished) {
  HangingDisk disk;
  store::StoreSettings where = store::settings(disk.settings.store);
  where.owner = "n0";
  {
    store::Opened opened = store::Store::open(where);
    std::vector<store::Change> records{{std::string(kIncarnationKey), "1"}, {drift::kVoteRecord, ""}};
    while (records.size() < where.most_records) records.push_back({std::to_string(records.size()), "1"});
    ASSERT_TRUE(opened.store->write(records, clocks::WallTime{}).ok());
  }
  const auto keeping = disk.start();
  const drift::Version version = version_of(5);
  const drift::Vote vote{name_of(version), {}};
  keeping->put(Store{drift::kHeldRecord, write(version), std::nullopt});
  keeping->put(Store{drift::kVoteRecord, write(vote), vote});
  for (int looks = 0; looks < 3000 && keeping->counts().waiting > 1; ++looks) ::usleep(10000);
  EXPECT_EQ(keeping->counts().waiting, 1u) << "the vote's record is not written";
  EXPECT_FALSE(keeping->take_durable_vote()) << "a vote is published whose version is not kept";
}

TEST(KeepingHanging, WhatAReadOnlyStoreHoldsIsUsedAndWritesResumeByThemselves) {
  HangingDisk disk;
  const drift::Version before = version_of(5), next = version_of(6);
  const drift::Vote vote_before{name_of(before), {}}, vote_next{name_of(next), {}};
  Incarnation incarnation = 0;
  {
    const auto keeping = disk.start();
    incarnation = keeping->incarnation();
    keeping->put(Store{drift::kHeldRecord, write(before), std::nullopt});
    keeping->put(Store{drift::kVoteRecord, write(vote_before), vote_before});
    ASSERT_TRUE(take_durable_vote(*keeping, vote_before));
  }
  disk.read_only = true;
  const auto keeping = disk.start();
  EXPECT_TRUE(disk.has_said("how=read_only records=3")) << disk.log;
  EXPECT_TRUE(disk.has_said("durable=no incarnation=")) << disk.log;
  EXPECT_EQ(keeping->rules().vote, write(vote_before));
  EXPECT_EQ(keeping->rules().held, write(before));
  EXPECT_GT(keeping->incarnation(), incarnation);
  keeping->put(Store{drift::kHeldRecord, write(next), std::nullopt});
  keeping->put(Store{drift::kVoteRecord, write(vote_next), vote_next});
  EXPECT_FALSE(keeping->take_durable_vote());
  disk.read_only = false;
  EXPECT_TRUE(take_durable_vote(*keeping, vote_next)) << disk.log;
  EXPECT_TRUE(disk.has_said("state=opened how=opened")) << disk.log;
}

}  // namespace
}  // namespace reeltack::fleet
