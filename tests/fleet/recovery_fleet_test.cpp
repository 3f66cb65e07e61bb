// Complete fleets: a total loss, survivors, zones, a second loss, partitions.
#include "recovery_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace reeltack::fleet::recovery {
namespace {

constexpr Verdict kTrusted = Verdict::trusted;

TEST(RecoveryFleet, ATotalLossIsARecoveryThatCompletes) {
  TestFleet fleet(12);
  fleet.settle();
  ASSERT_TRUE(fleet.all(Stage::full));
  for (std::size_t i = 0; i < 12; ++i) fleet.kill(i);
  fleet.truth.at(ServerId{3}).second = false;  // goes down during the outage
  fleet.run(25s);
  for (std::size_t i = 0; i < 12; ++i) fleet.start(i);
  fleet.run(200ms);
  for (const auto& m : fleet.members) {
    ASSERT_TRUE(m.terms);
    EXPECT_FALSE(m.terms->closed[1]) << "the most urgent class opens at once, by the stored state";
    EXPECT_FALSE(m.terms->closed[0]) << "the stored offices can carry it";
  }
  fleet.run(2800ms);
  for (std::size_t i = 0; i < 12; ++i) {
    EXPECT_TRUE(fleet.members[i].recovery->recovering());
    EXPECT_EQ(fleet.members[i].recoveries, 1U);
    EXPECT_EQ(fleet.verdicts(i), fleet.verdicts(0)) << i;
    EXPECT_NE(fleet.verdicts(i)[3], kTrusted);
    EXPECT_EQ(fleet.verdicts(i)[2], kTrusted);
  }
  fleet.run(10s);
  EXPECT_TRUE(fleet.all(Stage::full));
}

TEST(RecoveryFleet, ALossWithFreshStoresIsRecognisedFromTheOtherMembers) {
  TestFleet fleet(12);
  fleet.settle();
  for (std::size_t i = 0; i < 12; ++i) fleet.kill(i);
  fleet.run(5s);
  for (std::size_t i = 0; i < 12; ++i) fleet.start(i);
  fleet.run(1500ms);
  for (const auto& m : fleet.members) EXPECT_EQ(m.recoveries, 1U);
}

// No report arrives before each member has had to decide by its own store: that provisional decision is
// reverted.
TEST(RecoveryFleet, AProvisionalDecisionIsRevertedWhenTheOthersReport) {
  TestFleet fleet(12, 8, 900ms);
  fleet.settle();
  for (std::size_t i = 0; i < 12; ++i) fleet.kill(i);
  fleet.run(5s);
  for (std::size_t i = 0; i < 12; ++i) fleet.start(i);
  fleet.run(800ms);
  for (const auto& m : fleet.members) EXPECT_EQ(m.recovery->stage(), Stage::full);
  fleet.run(1200ms);
  for (const auto& m : fleet.members) EXPECT_EQ(m.recoveries, 1U);
}

TEST(RecoveryFleet, ThreeSurvivorsOfTwelveAreTrusted) {
  TestFleet fleet(12);
  fleet.settle();
  for (std::size_t i = 3; i < 12; ++i) fleet.kill(i);
  fleet.truth.at(ServerId{5}).second = false;
  fleet.truth.at(ServerId{6}).second = false;
  for (std::size_t i = 0; i < 3; ++i) fleet.deliver(i, SourceUnreachable{});
  fleet.run(20s);
  for (std::size_t i = 3; i < 12; ++i) {
    fleet.start(i);
    fleet.run(100ms);
  }
  fleet.run(3s);
  for (std::size_t i = 0; i < 12; ++i) {
    EXPECT_EQ(fleet.verdicts(i), fleet.verdicts(0)) << i;
    EXPECT_NE(fleet.verdicts(i)[5], kTrusted) << "a survivor's observation outranks what is stored as up";
    EXPECT_EQ(fleet.verdicts(i)[0], kTrusted);
    EXPECT_EQ(fleet.members[i].recoveries, i < 3 ? 0U : 1U) << i;
    EXPECT_EQ(fleet.members[i].recovery->agreed(), 12U);
  }
}

TEST(RecoveryFleet, ASecondLossAtEachStageEndsInFullService) {
  for (const Duration second :
       std::initializer_list<Duration>{100ms, 500ms, 900ms, 1200ms, 1600ms, 2500ms, 6s}) {
    TestFleet fleet(7);
    fleet.settle();
    for (std::size_t i = 0; i < 7; ++i) fleet.kill(i);
    fleet.run(200s);
    for (std::size_t i = 0; i < 7; ++i) fleet.start(i);
    fleet.run(second);
    for (std::size_t i = 0; i < 6; ++i) fleet.kill(i);  // the last one stays up
    fleet.run(500ms);
    for (std::size_t i = 0; i < 6; ++i) fleet.start(i);
    fleet.run(3s);
    for (std::size_t i = 0; i < 7; ++i) EXPECT_EQ(fleet.verdicts(i), fleet.verdicts(0)) << second.count();
    EXPECT_TRUE(fleet.members[0].recovery->recovering()) << second.count();
    fleet.run(15s);
    EXPECT_TRUE(fleet.all(Stage::full)) << second.count();
  }
}

TEST(RecoveryFleet, AMemberThatStaysUpInASecondLossAsksAgain) {
  TestFleet fleet(7);
  fleet.settle();
  for (std::size_t i = 0; i < 7; ++i) fleet.kill(i);
  fleet.run(200s);
  for (std::size_t i = 0; i < 7; ++i) fleet.start(i);
  fleet.run(3s);
  for (std::size_t i = 0; i < 6; ++i) fleet.kill(i);
  fleet.run(500ms);
  for (std::size_t i = 0; i < 6; ++i) fleet.start(i);
  fleet.run(3s);
  EXPECT_EQ(fleet.members[6].recovery->counts().second_losses, 1U);
}

TEST(RecoveryFleet, PowerReturnsZoneByZoneAndAMinorityKeepsTheAgreedSize) {
  TestFleet fleet(12);
  fleet.settle();
  for (std::size_t i = 0; i < 12; ++i) fleet.kill(i);
  fleet.run(30s);
  for (std::size_t zone = 0; zone < 3; ++zone) {
    for (std::size_t i = 4 * zone; i < 4 * zone + 4; ++i) fleet.start(i);
    fleet.run(6s);
    double sum = 0.0;
    for (const auto& m : fleet.members) {
      if (!m.recovery) continue;
      EXPECT_EQ(m.recovery->agreed(), 12U);
      sum += m.recovery->share(fleet.now).part;
      EXPECT_EQ(m.recovery->share(fleet.now).minority, zone == 0);
      EXPECT_FALSE(m.terms->closed[1]) << "it continues with what it has";
    }
    EXPECT_LE(sum, 1.0 + 1.0e-9);
  }
  fleet.run(20s);
  EXPECT_TRUE(fleet.all(Stage::full));
}

TEST(RecoveryFleet, InAPartitionOfFiveAndSevenSharesNeverExceedTheAllowance) {
  TestFleet fleet(12);
  fleet.settle();
  std::vector<std::size_t> sides(12, 0);
  std::fill_n(sides.begin(), 5, 1U);
  fleet.partition(sides);
  for (int second = 0; second < 40; ++second) {
    fleet.run(1s);
    double sum = 0.0;
    for (const auto& m : fleet.members) sum += m.recovery->share(fleet.now).part;
    ASSERT_LE(sum, 1.0 + 1.0e-9);
    for (const auto& m : fleet.members) ASSERT_EQ(m.recovery->agreed(), 12U);
  }
  fleet.partition(std::vector<std::size_t>(12, 0));
  fleet.run(3s);
  for (const auto& m : fleet.members) EXPECT_EQ(m.recoveries, 0U);
}

// Two lists with equal numbers and different content: one wins on every member, and no verdict flaps.
TEST(RecoveryFleet, AfterAHealedPartitionOneListWinsEverywhere) {
  TestFleet fleet(6);
  fleet.settle();
  fleet.partition({0, 0, 0, 1, 1, 1});
  ListReceived shorter = fleet.list(2);
  shorter.offices.erase(shorter.offices.begin() + 2);
  for (std::size_t i = 0; i < 6; ++i) fleet.deliver(i, i < 3 ? shorter : fleet.list(2));
  fleet.run(1s, false);
  fleet.partition({0, 0, 0, 0, 0, 0});
  fleet.run(1s, false);
  const std::vector<Verdict> agreed = fleet.verdicts(0);
  for (int step = 0; step < 50; ++step) {
    fleet.run(100ms, false);
    for (std::size_t i = 0; i < 6; ++i) ASSERT_EQ(fleet.verdicts(i), agreed) << i;
  }
}

TEST(RecoveryFleet, AnOfficeThatOneLiveListReportsGoneIsBarredEverywhereInTime) {
  TestFleet fleet(12);
  fleet.settle();
  Office gone = fleet.truth.at(ServerId{4}).first;
  fleet.deliver(7, ListReceived{2, false, {{gone, Rank::listed, OfficeState::gone, {}, Duration{}}}});
  fleet.run(250ms);
  for (std::size_t i = 0; i < 12; ++i) {
    EXPECT_EQ(fleet.members[i].terms->offices[4].verdict, Verdict::barred) << i;
    fleet.deliver_list(i, 3);  // the other members' lists still have it ready
  }
  fleet.run(5s);
  for (const auto& m : fleet.members) EXPECT_EQ(m.terms->offices[4].verdict, Verdict::barred);
  ++fleet.truth.at(ServerId{4}).first.start;
  fleet.deliver_list(1, 4);
  fleet.run(1s);
  for (const auto& m : fleet.members) EXPECT_EQ(m.terms->offices[4].verdict, kTrusted);
}

TEST(RecoveryFleet, PublishedFactsStayWithinTheirBudget) {
  TestFleet fleet(12, 24);
  fleet.settle();
  for (auto& m : fleet.members) m.bytes = 0;
  fleet.run(30s);
  std::size_t all = 0;
  for (const auto& m : fleet.members) all += m.bytes;
  RecordProperty("bytes_a_second", static_cast<int>(all / 30));
  EXPECT_LE(all / 30, 2048U / 2) << "bytes of facts per second that each of twelve members receives";
}

}  // namespace
}  // namespace reeltack::fleet::recovery
