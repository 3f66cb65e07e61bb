// Promises on a failing disk: none is reported as durable that is not, and the vote of an earlier run counts
// even if it could not be read at the start.
#include "fleet/service/fleet_storage.h"

#include <thread>

#include "controller_disk.h"

namespace reeltack::fleet {
namespace {

using namespace std::chrono_literals;

drift::Version version_of(drift::Epoch epoch, const std::string& rule) {
  drift::Version out;
  out.epoch = epoch;
  out.rules["core.attempts"] = rule;
  return out;
}
drift::Vote vote_for(const drift::Version& version) { return {id_of(version), {}}; }

void put_vote(FleetStorage& storage, const drift::Version& version) {
  storage.put(Store{drift::kHeldRecord, write(version), std::nullopt});
  storage.put(Store{drift::kVoteRecord, write(vote_for(version)), vote_for(version)});
}
template <typename Holds>
bool until(Holds holds) {
  for (int i = 0; i < 3000; ++i) {
    if (holds()) return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}
bool becomes_durable(FleetStorage& storage, const drift::Version& version) {
  return until([&] { return storage.take_durable_vote() == vote_for(version); });
}

TEST(FleetStorage, AVoteOfAnEarlierRunThatCouldNotBeReadAtTheStartIsNotCastAgain) {
  ControllerDisk disk;
  const drift::Version first = version_of(5, "3"), second = version_of(5, "4"), later = version_of(6, "4");
  {
    const auto storage = disk.start();
    put_vote(*storage, first);
    ASSERT_TRUE(becomes_durable(*storage, first));
  }
  {
    disk.fails = true;
    const auto storage = disk.start();
    ASSERT_FALSE(storage->rules().vote);
    put_vote(*storage, second);
    EXPECT_FALSE(storage->take_durable_vote());
    disk.fails = false;
    ASSERT_TRUE(until([&] {
      EXPECT_FALSE(storage->take_durable_vote()) << disk.log();
      return disk.log().find("vote=none epoch=5") != std::string::npos;
    })) << disk.log();
    EXPECT_FALSE(storage->take_durable_vote());
    put_vote(*storage, second);
    EXPECT_FALSE(storage->retry_interval()) << "still polls for a vote that will never become durable";
    put_vote(*storage, later);
    EXPECT_TRUE(becomes_durable(*storage, later));
  }
  const auto storage = disk.start();
  EXPECT_EQ(storage->rules().vote, write(vote_for(later)));
  EXPECT_EQ(storage->rules().held, write(later));
}

TEST(FleetStorage, AnUnreadStoreIsNotOverwritten) {
  ControllerDisk disk;
  const drift::Version voted = version_of(5, "3"), approved = version_of(4, "2"), older = version_of(3, "2");
  Incarnation before = 0;
  {
    const auto storage = disk.start();
    before = storage->incarnation();
    put_vote(*storage, voted);
    storage->put(Store{drift::kApprovedRecord, write(approved), std::nullopt});
    ASSERT_TRUE(becomes_durable(*storage, voted));
    storage->flush(30s);
  }
  {
    disk.fails = true;
    disk.set_clock_back(24h);
    const auto storage = disk.start();
    EXPECT_LT(storage->incarnation(), before);
    EXPECT_NE(disk.log().find("durable=no incarnation="), std::string::npos) << disk.log();
    storage->put(Store{drift::kApprovedRecord, write(older), std::nullopt});
    disk.fails = false;
    storage->put(Store{"office", "1", std::nullopt});
    ASSERT_TRUE(until([&] {
      static_cast<void>(storage->take_durable_incarnation(Time{}));
      storage->put(Store{kIncarnationKey, std::to_string(storage->incarnation()), std::nullopt});
      return disk.log().find("state=written_again") != std::string::npos;
    })) << disk.log();
    ASSERT_TRUE(until([&] { return storage->take_durable_incarnation(Time{}).has_value(); }));
  }
  const auto storage = disk.start();
  EXPECT_GT(storage->incarnation(), before);
  EXPECT_EQ(storage->rules().vote, write(vote_for(voted)));
  EXPECT_EQ(storage->rules().approved, write(approved));
}

TEST(FleetStorage, AnIncarnationRefusedByTheFullQueueIsNotReportedAsDurable) {
  ControllerDisk disk;
  const auto storage = disk.start();
  disk.fails = true;
  int key = 0;
  for (std::size_t size = 200UL * 1024; size > 0;) {  // until the queue accepts not one more byte
    const std::uint64_t refused = storage->counts().refused;
    storage->put(Store{"k" + std::to_string(key++), std::string(size, 'x'), std::nullopt});
    if (storage->counts().refused > refused) size /= 2;
  }
  const Incarnation to = storage->incarnation() + 100;
  storage->put(Store{kIncarnationKey, std::to_string(to), std::nullopt});
  EXPECT_FALSE(storage->take_durable_incarnation(Time{}));
  disk.fails = false;
  std::optional<Incarnation> durable;
  EXPECT_TRUE(until([&] { return (durable = storage->take_durable_incarnation(Time{})).has_value(); }))
      << disk.log();
  EXPECT_EQ(durable, to);
  EXPECT_EQ(disk.log().find("durable=no incarnation=" + std::to_string(to)), std::string::npos) << disk.log();
}

TEST(FleetStorage, APermanentlyFailingDiskDelaysNoIncarnationAndIsLogged) {
  ControllerDisk disk;
  const auto storage = disk.start();
  disk.fails = true;
  const Incarnation to = storage->incarnation() + 100;
  storage->put(Store{kIncarnationKey, std::to_string(to), std::nullopt});
  put_vote(*storage, version_of(5, "3"));
  EXPECT_FALSE(storage->take_durable_incarnation(Time{}));
  EXPECT_FALSE(storage->take_durable_incarnation(Time{} + kMaxDurabilityWait - 1ms));
  EXPECT_EQ(storage->take_durable_incarnation(Time{} + kMaxDurabilityWait), to);
  EXPECT_FALSE(storage->take_durable_incarnation(Time{} + 2 * kMaxDurabilityWait));
  EXPECT_NE(disk.log().find("durable=no incarnation=" + std::to_string(to)), std::string::npos) << disk.log();
  EXPECT_FALSE(storage->take_durable_vote());
  ASSERT_TRUE(until([&] { return storage->counts().failing; }));
  EXPECT_GE(storage->retry_interval(), Duration(100ms)) << "polls a failing disk too often";
  disk.fails = false;
  EXPECT_TRUE(becomes_durable(*storage, version_of(5, "3")));
}

TEST(FleetStorage, AVoteOfAnEarlierRunIsWrittenAgainAfterTheStoreIsSetAside) {
  ControllerDisk disk;
  const drift::Version voted = version_of(5, "3");
  {
    const auto storage = disk.start();
    put_vote(*storage, voted);
    ASSERT_TRUE(becomes_durable(*storage, voted));
  }
  {
    const auto storage = disk.start();
    store::write_file(disk.file(), std::string(8192, 'x'));
    std::filesystem::remove(disk.file() + "-wal");
    // SQLite caches the pages that it has read, so only a large enough write or the next start would find the
    // damage. Two failures make the store reopen the file, which finds it at once.
    disk.fails = true;
    storage->put(Store{"office", "1", std::nullopt});
    ASSERT_TRUE(until([&] { return storage->counts().failures >= 3; }));
    disk.fails = false;
    ASSERT_TRUE(until([&] { return disk.log().find("how=set_aside") != std::string::npos; })) << disk.log();
    storage->flush(30s);
  }
  const auto storage = disk.start();
  EXPECT_EQ(storage->rules().vote, write(vote_for(voted)));
  EXPECT_EQ(storage->rules().held, write(voted));
}

}  // namespace
}  // namespace reeltack::fleet
