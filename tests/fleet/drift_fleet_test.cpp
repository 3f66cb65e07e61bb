// Versions of the rules in a fleet of controllers: approval despite partitions and crashes, and detection of
// controllers that decide by other rules.
#include <gtest/gtest.h>

#include "drift_world.h"

namespace reeltack::fleet::drift {
namespace {

TEST(DriftFleet, OfferedVersionIsApprovedByAll) {
  World w(12);
  w.offer(3, version(1));
  w.run(1s);
  for (std::size_t i = 0; i < 12; ++i) EXPECT_EQ(w.approved(i), id_of(version(1))) << i;
  w.run(20s);
  EXPECT_EQ(w.alarms(), 0U);
  for (std::size_t i = 0; i < 12; ++i)
    EXPECT_EQ(w.nodes[i].drift->view_counts(w.now).views[static_cast<std::size_t>(View::in_step)], 12U);
}

TEST(DriftFleet, ContentOutlivesTheMemberThatOfferedIt) {
  World w(12);
  for (std::size_t i = 6; i < 12; ++i) w.nodes[i].group = i == 6 ? 0 : 1;  // seven members receive it
  w.offer(0, version(1));
  w.run(1s);
  w.stop(0);
  for (auto& node : w.nodes) node.group = 0;
  w.run(2s);
  for (std::size_t i = 1; i < 12; ++i) EXPECT_EQ(w.approved(i).epoch, 1U) << i;
}

TEST(DriftFleet, MinorityApprovesNothingAndTheMajoritysContentPrevailsOnceHealed) {
  World w(12);
  w.offer(0, version(1));
  w.run(1s);
  for (std::size_t i = 0; i < 5; ++i) w.nodes[i].group = 1;
  w.offer(0, version(2, "4"));  // on the side of five
  w.run(30s);
  for (std::size_t i = 0; i < 12; ++i) EXPECT_EQ(w.approved(i), id_of(version(1))) << i;
  w.offer(11, version(2, "3"));  // on the side of seven, under the same epoch
  w.run(30s);
  for (std::size_t i = 0; i < 12; ++i)
    EXPECT_EQ(w.approved(i), i < 5 ? id_of(version(1)) : id_of(version(2, "3"))) << i;
  for (auto& node : w.nodes) node.group = 0;
  w.run(5s);
  for (std::size_t i = 0; i < 12; ++i) EXPECT_EQ(w.approved(i), id_of(version(2, "3"))) << i;
  for (std::size_t i = 0; i < 5; ++i) EXPECT_TRUE(w.logged(i, "epoch=2")) << i;
}

TEST(DriftFleet, ConflictingContentsOfOneEpochAreNotApprovedUntilANewEpoch) {
  World w(12);
  for (std::size_t i = 0; i < 6; ++i) w.nodes[i].group = 1;
  w.offer(0, version(1, "4"));
  w.offer(11, version(1, "3"));
  w.run(5s);
  for (auto& node : w.nodes) node.group = 0;
  w.run(60s);
  for (std::size_t i = 0; i < 12; ++i) {
    EXPECT_EQ(w.approved(i), VersionId{}) << i;
    EXPECT_EQ(w.nodes[i].drift->conflict(), 1U) << i;
    EXPECT_TRUE(w.logged(i, "conflict=yes")) << i;
  }
  w.offer(5, version(2));
  w.run(2s);
  for (std::size_t i = 0; i < 12; ++i) {
    EXPECT_EQ(w.approved(i), id_of(version(2))) << i;
    EXPECT_EQ(w.nodes[i].drift->conflict(), 0U) << i;
  }
}

TEST(DriftFleet, DeviatingControllerIsDetectedByAllAndLoggedByFew) {
  World w(12);
  w.offer(0, version(1));
  w.run(20s);
  w.stop(4);
  w.run(5s);
  w.nodes[4].file["module.attempts"] = "6";
  w.nodes[4].disk.clear();  // so that nothing overrides its file
  w.start(4);
  // It received the version while running, so it reports that it waits for a start. After one it no longer
  // does.
  w.run(5s);
  for (std::size_t i = 0; i < 12; ++i)
    EXPECT_EQ(w.nodes[i].drift->view(w.now, World::id(4)), View::pending) << i;
  EXPECT_EQ(w.alarms(), 0U);
  w.stop(4);
  w.start(4);
  w.set_rules(4, w.nodes[4].file);
  w.run(5s);
  std::size_t reporters = 0;
  for (std::size_t i = 0; i < 12; ++i) {
    const auto figures = w.nodes[i].drift->view_counts(w.now);
    EXPECT_EQ(figures.alarmed, 1U) << i;
    EXPECT_EQ(figures.critical, 1U) << i;
    const bool logged =
        w.logged(i,
                 "drift name=n4 alarm=raised view=diverged epoch=1 its_epoch=1 severity=critical "
                 "module.attempts=\"6\" wanted=\"5\"");
    if (i == 4) EXPECT_TRUE(logged);
    if (i != 4 && logged) ++reporters;
  }
  EXPECT_EQ(reporters, kAlarmReporters);
  w.set_rules(4, {{"module.attempts", "5"}, {"module.release_guard", "300000000ns"}});
  w.run(10s);
  for (std::size_t i = 0; i < 12; ++i) EXPECT_EQ(w.nodes[i].drift->view_counts(w.now).alarmed, 0U) << i;
}

TEST(DriftFleet, UngovernedRuleIsNoDrift) {
  World w(5);
  w.offer(0, version(1));
  w.nodes[2].file["fleet.period"] = "7ns";
  w.run(1s);
  w.stop(2);
  w.start(2);
  w.run(60s);
  EXPECT_EQ(w.alarms(), 0U);
}

TEST(DriftFleet, RollingRestartsAreNoDrift) {
  World w(20);
  w.offer(0, version(1));
  w.run(2s);
  for (std::size_t round = 0; round < 60; ++round) {
    for (std::size_t k = 0; k < 2; ++k) w.stop((2 * round + k) % 20);
    w.run(3s);
    for (std::size_t k = 0; k < 2; ++k) w.start((2 * round + k) % 20);
    w.run(7s);
  }
  EXPECT_EQ(w.alarms(), 0U);
}

TEST(DriftFleet, OldDiskDoesNotBringBackAnOldVersion) {
  World w(5);
  w.offer(0, version(1, "4"));
  w.run(1s);
  const auto old_disk = w.nodes[3].disk;
  for (const Epoch epoch : {2U, 3U}) {
    w.offer(1, version(epoch));
    w.run(1s);
  }
  w.stop(3);
  w.nodes[3].disk = old_disk;
  w.start(3);
  w.run(2s);
  for (std::size_t i = 0; i < 5; ++i) EXPECT_EQ(w.approved(i), id_of(version(3))) << i;
  EXPECT_EQ(w.nodes[0].drift->view(w.now, World::id(3)), View::pending) << "it started by the old version";
  w.stop(3);
  w.start(3);
  w.run(2s);
  EXPECT_EQ(w.nodes[0].drift->view(w.now, World::id(3)), View::in_step);
}

TEST(DriftFleet, FleetRestartsWithHalfOfTheDisksAnEpochBehind) {
  World w(12);
  w.offer(0, version(1, "4"));
  w.run(1s);
  std::vector<std::map<std::string, std::string>> old;
  for (const auto& node : w.nodes) old.push_back(node.disk);
  w.offer(0, version(2));
  w.run(1s);
  for (std::size_t i = 0; i < 12; ++i) {
    w.stop(i);
    if (i < 6) w.nodes[i].disk = old[i];
  }
  for (std::size_t i = 0; i < 12; ++i) w.start(i);
  w.run(3s);
  // Only six members have voted for the newer version and report it as approved, and six of twelve are no
  // majority. The others adopt it as soon as a seventh holds it.
  for (std::size_t i = 6; i < 12; ++i) EXPECT_EQ(w.approved(i), id_of(version(2))) << i;
  for (std::size_t i = 0; i < 6; ++i) EXPECT_EQ(w.approved(i), id_of(version(2))) << i;
}

// Facts are passed on once, and the first of a member's next run may arrive before the table that lists it
// again.
TEST(DriftFleet, ReportReceivedBeforeItsMemberReturnsIsRetained) {
  World w(3);
  w.offer(0, version(1));
  w.run(20s);
  Drift& observer = *w.nodes[0].drift;
  MembersChanged with, without;
  with.agreed = without.agreed = 3;
  with.members = {{World::id(1), 2, "n1", "oeste", true}, {World::id(2), 1, "n2", "este", true}};
  without.members = {with.members[1]};
  Actions actions;
  const RulesReport report{id_of(version(1)), 1234, 1, false, {}};
  observer.on(w.now, FactReceived{{World::id(1), 2, 1, {facts::Kind::rules, 0}, write(report), false, 0s}},
              actions);
  observer.on(w.now, without, actions);
  EXPECT_EQ(observer.view(w.now, World::id(1)), View::unknown) << "not a member";
  observer.on(w.now, with, actions);
  EXPECT_EQ(observer.view(w.now + 2s, World::id(1)), View::diverged);
}

TEST(DriftFleet, MembersWithoutAStoreCountTowardsNoMajority) {
  World w(5);
  for (std::size_t i = 0; i < 3; ++i) w.nodes[i].store = false;
  w.offer(0, version(1));
  w.run(30s);
  for (std::size_t i = 0; i < 5; ++i) EXPECT_EQ(w.approved(i), VersionId{}) << i;
}

TEST(DriftFleet, VersionThatBreaksABoundIsRejectedAndLogged) {
  World w(3);
  w.offer(0, version(1, "6"));
  w.offer(0, {1, {{"class.voice.aim", "5000ns"}, {"class.voice.deadline", "4999ns"}}, {}, {}});
  w.run(2s);
  EXPECT_EQ(w.approved(1), VersionId{});
  EXPECT_TRUE(w.logged(0, "version epoch=1 refused=\"module.attempts: must be 1 to 5, not 6\""));
  EXPECT_TRUE(w.logged(0, "class.voice.aim: must not be longer than class.voice.deadline"));
  w.offer(0, version(2));
  w.run(2s);
  w.offer(0, version(1));
  w.offer(0, version(2, "4"));
  EXPECT_TRUE(w.logged(0, "version epoch=1 refused=\"epoch 2 is approved already\""));
  EXPECT_TRUE(w.logged(0, "version epoch=2 refused=\"this epoch is approved with another content\""));
  w.offer(0, version(2 + kMaxEpochLead + 1));
  w.run(5s);
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_EQ(w.approved(i), id_of(version(2))) << "an epoch too far ahead is rejected";
}

TEST(DriftFleet, FlappingRulesAreDetectedThoughInStepAtTimes) {
  World w(5);
  w.offer(0, version(1));
  w.run(20s);
  for (int i = 0; i < 8; ++i) {
    w.set_rules(2, {{"module.attempts", i % 2 == 0 ? "4" : "5"}});
    w.run(1s);
  }
  for (std::size_t i = 0; i < 5; ++i)
    EXPECT_EQ(w.nodes[i].drift->view(w.now, World::id(2)), View::flapping) << i;
  EXPECT_EQ(w.alarms(), 5U) << "one alarm at each";
}

}  // namespace
}  // namespace reeltack::fleet::drift
