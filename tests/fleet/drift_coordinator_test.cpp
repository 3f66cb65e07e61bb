// Drift within the coordinator: by which fleet size a version is approved, and what is stored and logged.
#include <gtest/gtest.h>

#include "fleet/coordinator/coordinator.h"

namespace reeltack::fleet {
namespace {

using namespace std::chrono_literals;

drift::Version version(drift::Epoch epoch) { return {epoch, {{"module.attempts", "5"}}, {}, {}}; }

class DriftTurn : public ::testing::Test {
 protected:
  explicit DriftTurn(std::size_t planned = 12) {
    CoordinatorSettings settings;
    settings.recovery.leases.min_size = planned;
    settings.drift.name = "n0";
    members::Self self;
    self.id = MemberId{1};
    self.incarnation = 1;
    self.name = "n0";
    turn = std::make_unique<Coordinator>(settings, self, std::span<const Endpoint>{}, 1);
    CoordinatorActions actions;
    turn->begin(now, std::nullopt, {}, actions);
    deliver(drift::RecordsRestored{});
    rules::Tree tree;
    EXPECT_TRUE(tree.put("module.attempts", "5"));
    deliver(drift::RulesReadBack{tree});
    run(2s);
  }
  void deliver(const drift::Event& event) {
    CoordinatorActions actions;
    turn->on(now, DriftEvent{event}, actions);
    record(actions);
  }
  void run(Duration lasts) {
    for (const Time end = now + lasts; now < end; now += 100ms) {
      CoordinatorActions actions;
      turn->tick(now, actions);
      record(actions);
    }
  }
  void record(const CoordinatorActions& actions) {
    for (const CoordinatorAction& action : actions) {
      const auto* store = std::get_if<Store>(&action);
      if (store != nullptr && store->vote) votes.push_back(*store->vote);
      if (const auto* log = std::get_if<Log>(&action)) logged += log->event + " " + log->text + "\n";
    }
  }
  Time now{1000s};
  std::unique_ptr<Coordinator> turn;
  std::vector<drift::Vote> votes;
  std::string logged;
};
class DriftTurnAlone : public DriftTurn {
 protected:
  DriftTurnAlone() : DriftTurn(1) {}
};

// One of twelve controllers that has met no other yet: its agreed size is one, yet it approves nothing.
TEST_F(DriftTurn, OneOfTwelveApprovesNothingThoughTheFleetLooksSmall) {
  deliver(drift::VersionOffered{version(1)});
  ASSERT_EQ(votes.size(), 1U);
  deliver(drift::VotePersisted{votes[0]});
  run(60s);
  EXPECT_EQ(turn->recovery().agreed(), 1U);
  EXPECT_FALSE(turn->drift().approved());
  EXPECT_EQ(logged.find("approved"), std::string::npos) << logged;
}

TEST_F(DriftTurnAlone, FleetOfOneApprovesOnceItsVoteIsDurable) {
  deliver(drift::VersionOffered{version(1)});
  run(5s);
  EXPECT_FALSE(turn->drift().approved()) << "the vote is not persisted yet";
  ASSERT_EQ(votes.size(), 1U);
  deliver(drift::VotePersisted{votes[0]});
  EXPECT_EQ(turn->drift().approved(), version(1));
  EXPECT_NE(logged.find("rules epoch=1"), std::string::npos) << logged;
}

}  // namespace
}  // namespace reeltack::fleet
