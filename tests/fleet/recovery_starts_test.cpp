// Starts that are no loss: of one member among many, of a tenth at a time, and of a fleet that has never been
// in service.
#include <gtest/gtest.h>

#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

constexpr Verdict kTrusted = Verdict::trusted;

// No member has been in service before. One crashes during the start, with a store by then; later three more
// join.
TEST(RecoveryStarts, AFirstStartACrashDuringItAndGrowthAreNoLoss) {
  TestFleet fleet(12);
  for (std::size_t i = 0; i < 9; ++i) {
    fleet.start(i);
    fleet.deliver_list(i);
  }
  const auto shares = [&] {
    double sum = 0.0;
    for (const auto& m : fleet.members)
      if (m.recovery) sum += m.recovery->share(fleet.now).part;
    return sum;
  };
  for (int step = 0; step < 30; ++step) {
    fleet.run(100ms);
    EXPECT_LE(shares(), 1.0 + 1.0e-9);
  }
  ASSERT_TRUE(fleet.all(Stage::full));
  EXPECT_EQ(fleet.members[1].stages[2].to, Stage::partial);
  fleet.kill(0);
  fleet.run(500ms);
  fleet.start(0);
  fleet.deliver_list(0);
  fleet.run(3s);
  EXPECT_TRUE(fleet.all(Stage::full));
  fleet.run(10s);
  for (std::size_t i = 9; i < 12; ++i) {
    fleet.start(i);
    fleet.deliver_list(i);
  }
  fleet.run(3s);
  EXPECT_TRUE(fleet.all(Stage::full));
  for (const auto& m : fleet.members) EXPECT_EQ(m.recoveries, 0U);
}

// A loss after which most stores are empty cannot be distinguished from a first start. These properties hold
// nevertheless.
TEST(RecoveryStarts, ALossWithMostDisksEmptiedOpensByStepsAndTriesUnlistedOffices) {
  for (const std::size_t emptied : {std::size_t{5}, std::size_t{12}}) {
    TestFleet fleet(12);
    fleet.settings.leases.min_size = 12;
    fleet.settle();
    for (std::size_t i = 0; i < 12; ++i) fleet.kill(i);
    fleet.truth.at(ServerId{3}).second = false;
    fleet.run(20s);
    for (std::size_t i = 0; i < 12; ++i) {
      if (i < emptied) fleet.members[i].store.clear();
      fleet.start(i);
      ListReceived configured = fleet.list();
      configured.live = false;
      configured.offices.push_back(
          {fleet.truth.at(ServerId{3}).first, Rank::listed, OfficeState::ready, {}, {}});
      fleet.deliver(i, configured);
    }
    fleet.run(260ms, false);
    // A member with stored offices opens as far as these can carry; one without closes the least urgent
    // class.
    for (std::size_t i = 0; i < 12; ++i) {
      const auto& m = fleet.members[i];
      EXPECT_TRUE(m.terms && m.terms->closed[0].has_value() == (i < emptied)) << i;
    }
    double sum = 0.0;
    for (int step = 0; step < 50; ++step) {
      fleet.run(100ms);
      sum = 0.0;
      for (const auto& m : fleet.members) sum += m.recovery->share(fleet.now).part;
      ASSERT_LE(sum, 1.0 + 1.0e-9);
    }
    for (std::size_t i = 0; i < 12; ++i) {
      EXPECT_EQ(fleet.members[i].recoveries, emptied < 6 ? 1U : 0U) << i;
      EXPECT_NE(fleet.verdicts(i)[3], kTrusted);
      EXPECT_EQ(fleet.verdicts(i)[2], kTrusted);
    }
    fleet.run(10s);
    EXPECT_TRUE(fleet.all(Stage::full));
  }
}

TEST(RecoveryStarts, ARollingRestartIsNeverClassifiedAsALoss) {
  TestFleet fleet(20, 8);
  fleet.settle();
  for (std::size_t tenth = 0; tenth < 10; ++tenth) {
    for (std::size_t i = 2 * tenth; i < 2 * tenth + 2; ++i) fleet.kill(i);
    fleet.run(1500ms);
    for (std::size_t i = 2 * tenth; i < 2 * tenth + 2; ++i) fleet.start(i);
    fleet.run(1s);
    for (std::size_t i = 2 * tenth; i < 2 * tenth + 2; ++i) {
      EXPECT_EQ(fleet.members[i].recovery->stage(), Stage::full) << i;
      EXPECT_FALSE(fleet.members[i].recovery->recovering()) << i;
      fleet.deliver_list(i);
    }
    fleet.run(3s);
  }
  for (const auto& m : fleet.members) EXPECT_EQ(m.recoveries, 0U);
}

// The store is a day old, but the others never stopped: their reports count.
TEST(RecoveryStarts, AMemberWithAnOldStoreAmongFullMembersIsNoLoss) {
  TestFleet fleet(5);
  fleet.settle();
  fleet.kill(4);
  fleet.run(1s);
  fleet.start(4, 24h);
  fleet.run(1s);
  EXPECT_EQ(fleet.members[4].recovery->stage(), Stage::full);
  EXPECT_EQ(fleet.members[4].recoveries, 0U);
}

// Only reports since the member began to ask count: a full member renews its report when it is asked, not one
// exchange later.
TEST(RecoveryStarts, AnExchangeFromAnUnknownIncarnationIsAnsweredWithAFreshReport) {
  TestFleet fleet(5);
  fleet.settle();
  const facts::Key stage{facts::Kind::stage, 0};
  const auto report_age = [&] { return fleet.now - fleet.members[0].facts.at(stage).second; };
  while (report_age() < 600ms) fleet.run(100ms);
  fleet.deliver(0, ExchangeStarted{TestFleet::name(4), fleet.members[4].incarnation});
  EXPECT_GE(report_age(), 600ms) << "this incarnation has already reported";
  fleet.deliver(0, ExchangeStarted{TestFleet::name(4), fleet.members[4].incarnation + 1});
  EXPECT_EQ(report_age(), 0ms);
  fleet.run(200ms);
  fleet.deliver(0, ExchangeStarted{TestFleet::name(4), fleet.members[4].incarnation + 2});
  EXPECT_EQ(report_age(), 200ms) << "not renewed while it still counts as fresh";
}

}  // namespace
}  // namespace reeltack::fleet::recovery
