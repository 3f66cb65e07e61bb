// Promises on a disk that hangs, is full of records or cannot be written: the caller never waits, and no
// promise is reported as durable that is not.
#include <atomic>
#include <thread>

#include "faulty_vfs.h"
#include "fleet/service/fleet_storage.h"
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
  bool has_logged(const std::string& text) {
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

bool becomes_durable(FleetStorage& storage, const drift::Vote& vote) {
  for (int poll = 0; poll < 3000; ++poll) {
    if (storage.take_durable_vote() == vote) return true;
    ::usleep(10000);
  }
  return false;
}

TEST(FleetStorageHanging, AVoteWaitsAndAnIncarnationIsUsedAlthoughNotDurable) {
  HangingDisk disk;
  const auto storage = disk.start();
  disk.gate.close();
  const drift::Version version = version_of(5);
  const drift::Vote vote{id_of(version), {}};
  storage->put(Store{drift::kHeldRecord, write(version), std::nullopt});
  storage->put(Store{drift::kVoteRecord, write(vote), vote});
  ASSERT_TRUE(disk.gate.wait_until_blocked());
  const Incarnation next = storage->incarnation() + 100;
  storage->put(Store{kIncarnationKey, std::to_string(next), std::nullopt});
  const Time now(1000s);
  EXPECT_FALSE(storage->take_durable_vote());
  EXPECT_EQ(storage->take_durable_incarnation(now), std::nullopt);
  EXPECT_EQ(storage->take_durable_incarnation(now + kMaxDurabilityWait - 1ms), std::nullopt);
  EXPECT_FALSE(disk.has_logged("durable=no"));
  EXPECT_EQ(storage->take_durable_incarnation(now + kMaxDurabilityWait), next);
  EXPECT_TRUE(disk.has_logged("durable=no incarnation=" + std::to_string(next))) << disk.log;
  EXPECT_FALSE(storage->take_durable_vote()) << "a vote is published that is not on the disk";
  disk.gate.open();
  EXPECT_TRUE(becomes_durable(*storage, vote));
}

// The store has reached its bound on records, so it cannot accept the version, which is a new record; it
// accepts the vote, whose record exists.
TEST(FleetStorageHanging, AVoteIsNotPublishedIfItsVersionCannotBeStored) {
  HangingDisk disk;
  store::StoreSettings where = store::settings(disk.settings.store);
  where.owner = "n0";
  {
    store::OpenResult opened = store::Store::open(where);
    std::vector<store::Change> records{{std::string(kIncarnationKey), "1"}, {drift::kVoteRecord, ""}};
    while (records.size() < where.max_records) records.push_back({std::to_string(records.size()), "1"});
    ASSERT_TRUE(opened.store->write(records, clocks::WallTime{}).ok());
  }
  const auto storage = disk.start();
  const drift::Version version = version_of(5);
  const drift::Vote vote{id_of(version), {}};
  storage->put(Store{drift::kHeldRecord, write(version), std::nullopt});
  storage->put(Store{drift::kVoteRecord, write(vote), vote});
  for (int poll = 0; poll < 3000 && storage->counts().waiting > 1; ++poll) ::usleep(10000);
  EXPECT_EQ(storage->counts().waiting, 1u) << "the vote's record is not written";
  EXPECT_FALSE(storage->take_durable_vote()) << "a vote is published although its version is not stored";
}

TEST(FleetStorageHanging, AReadOnlyStoreIsUsedAndWritesResumeWithoutARestart) {
  HangingDisk disk;
  const drift::Version before = version_of(5), next = version_of(6);
  const drift::Vote vote_before{id_of(before), {}}, vote_next{id_of(next), {}};
  Incarnation incarnation = 0;
  {
    const auto storage = disk.start();
    incarnation = storage->incarnation();
    storage->put(Store{drift::kHeldRecord, write(before), std::nullopt});
    storage->put(Store{drift::kVoteRecord, write(vote_before), vote_before});
    ASSERT_TRUE(becomes_durable(*storage, vote_before));
  }
  disk.read_only = true;
  const auto storage = disk.start();
  EXPECT_TRUE(disk.has_logged("how=read_only records=3")) << disk.log;
  EXPECT_TRUE(disk.has_logged("durable=no incarnation=")) << disk.log;
  EXPECT_EQ(storage->rules().vote, write(vote_before));
  EXPECT_EQ(storage->rules().held, write(before));
  EXPECT_GT(storage->incarnation(), incarnation);
  storage->put(Store{drift::kHeldRecord, write(next), std::nullopt});
  storage->put(Store{drift::kVoteRecord, write(vote_next), vote_next});
  EXPECT_FALSE(storage->take_durable_vote());
  disk.read_only = false;
  EXPECT_TRUE(becomes_durable(*storage, vote_next)) << disk.log;
  EXPECT_TRUE(disk.has_logged("state=opened how=opened")) << disk.log;
}

}  // namespace
}  // namespace reeltack::fleet
