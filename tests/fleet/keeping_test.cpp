// Promises over a disk that fails: nothing is reported as kept that is not, and an earlier life's vote holds
// even where it could not be read at the start.
#include "fleet/service/keeping.h"

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
drift::Vote vote_for(const drift::Version& version) { return {name_of(version), {}}; }

void put_vote(FleetStorage& keeping, const drift::Version& version) {
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
bool lasts(FleetStorage& keeping, const drift::Version& version) {
  return until([&] { return keeping.take_durable_vote() == vote_for(version); });
}

TEST(FleetStorage, AVoteOfAnEarlierLifeThatCouldNotBeReadAtTheStartIsNotCastAgain) {
  ControllerDisk disk;
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
    EXPECT_FALSE(keeping->take_durable_vote());
    disk.fails = false;
    ASSERT_TRUE(until([&] {
      EXPECT_FALSE(keeping->take_durable_vote()) << disk.log();
      return disk.log().find("vote=none epoch=5") != std::string::npos;
    })) << disk.log();
    EXPECT_FALSE(keeping->take_durable_vote());
    put_vote(*keeping, second);
    EXPECT_FALSE(keeping->retry_interval()) << "it waits for a vote that never comes";
    put_vote(*keeping, later);
    EXPECT_TRUE(lasts(*keeping, later));
  }
  const auto keeping = disk.start();
  EXPECT_EQ(keeping->rules().vote, write(vote_for(later)));
  EXPECT_EQ(keeping->rules().held, write(later));
}

TEST(FleetStorage, AnUnreadStoreIsNotWrittenOver) {
  ControllerDisk disk;
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
      static_cast<void>(keeping->take_durable_incarnation(Time{}));
      keeping->put(Store{kIncarnationKey, std::to_string(keeping->incarnation()), std::nullopt});
      return disk.log().find("state=written_again") != std::string::npos;
    })) << disk.log();
    ASSERT_TRUE(until([&] { return keeping->take_durable_incarnation(Time{}).has_value(); }));
  }
  const auto keeping = disk.start();
  EXPECT_GT(keeping->incarnation(), before);
  EXPECT_EQ(keeping->rules().vote, write(vote_for(voted)));
  EXPECT_EQ(keeping->rules().approved, write(approved));
}

TEST(FleetStorage, AnIncarnationThatTheFullQueueRefusedIsNotReportedAsKept) {
  ControllerDisk disk;
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
  EXPECT_FALSE(keeping->take_durable_incarnation(Time{}));
  disk.fails = false;
  std::optional<Incarnation> durable;
  EXPECT_TRUE(until([&] { return (durable = keeping->take_durable_incarnation(Time{})).has_value(); }))
      << disk.log();
  EXPECT_EQ(durable, to);
  EXPECT_EQ(disk.log().find("durable=no incarnation=" + std::to_string(to)), std::string::npos) << disk.log();
}

TEST(FleetStorage, ADiskThatFailsForGoodHoldsNoIncarnationBackAndThatIsSaid) {
  ControllerDisk disk;
  const auto keeping = disk.start();
  disk.fails = true;
  const Incarnation to = keeping->incarnation() + 100;
  keeping->put(Store{kIncarnationKey, std::to_string(to), std::nullopt});
  put_vote(*keeping, version_of(5, "3"));
  EXPECT_FALSE(keeping->take_durable_incarnation(Time{}));
  EXPECT_FALSE(keeping->take_durable_incarnation(Time{} + kMaxDurabilityWait - 1ms));
  EXPECT_EQ(keeping->take_durable_incarnation(Time{} + kMaxDurabilityWait), to);
  EXPECT_FALSE(keeping->take_durable_incarnation(Time{} + 2 * kMaxDurabilityWait));
  EXPECT_NE(disk.log().find("durable=no incarnation=" + std::to_string(to)), std::string::npos) << disk.log();
  EXPECT_FALSE(keeping->take_durable_vote());
  ASSERT_TRUE(until([&] { return keeping->counts().failing; }));
  EXPECT_GE(keeping->retry_interval(), Duration(100ms)) << "it looks at a failing disk all the time";
  disk.fails = false;
  EXPECT_TRUE(lasts(*keeping, version_of(5, "3")));
}

TEST(FleetStorage, AVoteOfAnEarlierLifeIsWrittenAgainWhereTheStoreIsSetAside) {
  ControllerDisk disk;
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

}  // namespace
}  // namespace reeltack::fleet
