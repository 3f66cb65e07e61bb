// The views of a member and when an alarm is raised, at the bounds of their times.
#include <gtest/gtest.h>

#include "fleet/drift/views.h"

namespace reeltack::fleet::drift {
namespace {

using namespace std::chrono_literals;

Time at(Duration d) { return Time{1000s} + d; }
const ViewSettings kSettings{};
constexpr VersionId kOld{6, 60}, kNow{7, 70}, kNext{8, 80};
constexpr rules::Digest kWanted = 700;
RulesReport report(const VersionId& by, rules::Digest governed, bool pending = false) {
  return {by, governed, 1, pending, {}};
}

class DriftViews : public ::testing::Test {
 protected:
  View view(Duration when) const { return rules.view(at(when), kSettings, kNow, kWanted, approved, 90s); }
  bool alarm(Duration when) { return rules.update_alarm(at(when), kSettings, view(when)); }
  void alive() { rules.set_alive(at(-1h), true); }
  MemberRules rules;
  Time approved = at(-1h);
};

TEST_F(DriftViews, SilentOrAbsentMemberIsNeitherInStepNorAlarmed) {
  EXPECT_EQ(view(0s), View::unreachable);
  alive();
  EXPECT_EQ(view(0s), View::unknown);
  rules.on_report(at(0s), report(kNow, kWanted), 0s);
  EXPECT_EQ(view(90s), View::in_step);
  EXPECT_EQ(view(90s + 1ns), View::stale);
  rules.set_alive(at(0s), false);
  EXPECT_EQ(view(0s), View::unreachable);
}

TEST_F(DriftViews, RulesInUseCountNotTheReportedVersion) {
  alive();
  rules.on_report(at(0s), report(kNow, kWanted + 1), 0s);
  EXPECT_EQ(view(2s - 1ns), View::adopting);
  EXPECT_EQ(view(2s), View::diverged);
  rules.on_report(at(4s), report({7, 71}, kWanted), 0s);  // another content of the epoch
  EXPECT_EQ(view(8s), View::diverged);
}

TEST_F(DriftViews, OlderVersionHasALongerGracePeriod) {
  alive();
  rules.on_report(at(0s), report(kOld, 600), 0s);
  EXPECT_EQ(view(15s - 1ns), View::adopting);
  EXPECT_EQ(view(15s), View::behind);
  rules.on_report(at(16s), report(kNext, 800), 0s);
  EXPECT_EQ(view(16s), View::ahead);
}

TEST_F(DriftViews, PendingRulesAreNeitherDriftNorInStep) {
  alive();
  rules.on_report(at(0s), report(kNow, kWanted + 1, true), 0s);
  for (const Duration when : {0s, 10s, 80s}) EXPECT_EQ(view(when), View::pending);
  EXPECT_FALSE(alarm(10s));
  EXPECT_FALSE(alarm(80s));
  rules.on_report(at(81s), report(kNow, kWanted + 1, false), 0s);  // started, and still different
  EXPECT_EQ(view(84s), View::diverged);
}

TEST_F(DriftViews, StartAndApprovalBeginAGracePeriod) {
  alive();
  rules.on_report(at(0s), report(kNow, kWanted + 1), 0s);
  rules.on_restart(at(2s));
  EXPECT_EQ(view(4s - 1ns), View::adopting);
  EXPECT_EQ(view(4s), View::diverged);
  approved = at(10s);
  EXPECT_EQ(view(12s - 1ns), View::adopting);
  EXPECT_EQ(view(12s), View::diverged);
  rules.set_alive(at(20s), false);
  rules.set_alive(at(30s), true);  // back after a partition
  EXPECT_EQ(view(32s - 1ns), View::adopting);
  EXPECT_EQ(view(32s), View::diverged);
}

TEST_F(DriftViews, AlarmIsRaisedAndClearedAfterItsDelays) {
  alive();
  rules.on_report(at(0s), report(kNow, kWanted + 1), 0s);
  EXPECT_FALSE(alarm(3s));
  EXPECT_FALSE(alarm(4s - 1ns));
  EXPECT_TRUE(alarm(4s));
  EXPECT_FALSE(alarm(5s)) << "reported once";
  rules.on_report(at(6s), report(kNow, kWanted), 0s);
  EXPECT_FALSE(alarm(6s));
  EXPECT_TRUE(rules.alarmed());
  EXPECT_FALSE(alarm(11s - 1ns));
  EXPECT_TRUE(alarm(11s));
  EXPECT_FALSE(rules.alarmed());
}

TEST_F(DriftViews, AlarmRemainsWhileItsSubjectIsUnreachable) {
  alive();
  rules.on_report(at(0s), report(kNow, kWanted + 1), 0s);
  alarm(3s);
  ASSERT_TRUE(alarm(4s));
  rules.set_alive(at(5s), false);
  for (const Duration when : {5s, 20s, 40s}) EXPECT_FALSE(alarm(when));
  EXPECT_TRUE(rules.alarmed());
}

TEST_F(DriftViews, RulesThatChangeBackAndForthAreFlapping) {
  alive();
  for (int i = 0; i <= 4; ++i) {
    EXPECT_NE(view(i * 1s), View::flapping) << i;
    rules.on_report(at(i * 1s), report(kNow, i % 2 == 0 ? kWanted : kWanted + 1), 0s);
  }
  EXPECT_EQ(view(4s), View::flapping) << "four changes, though now in step";
  EXPECT_EQ(view(21s - 1ns), View::flapping);
  EXPECT_EQ(view(21s), View::in_step);
}

TEST_F(DriftViews, AdoptingVersionsIsNotFlappingAndTheLastReportCounts) {
  alive();
  for (std::uint64_t i = 0; i < 8; ++i) rules.on_report(at(1s), report({i, i}, i), 0s);
  EXPECT_NE(view(1s), View::flapping);
  rules.on_report(at(2s), report(kNow, kWanted), 0s);
  rules.on_report(at(3s), report(kNow, kWanted + 1), 2s);  // the previous report took longer to arrive
  EXPECT_EQ(view(10s), View::diverged);
}

TEST_F(DriftViews, SeverityIsTheWorstOfTheDifferingKeys) {
  RulesReport deviating = report(kNow, 1);
  deviating.differing = {{"class.voice.aim", "1ns", {}}, {"module.attempts", "6", {}}};
  rules.on_report(at(0s), deviating, 0s);
  EXPECT_EQ(rules.worst_severity(), rules::Severity::critical);
  deviating.differing[1].actual = "4";
  rules.on_report(at(1s), deviating, 0s);
  EXPECT_EQ(rules.worst_severity(), rules::Severity::major);
}

}  // namespace
}  // namespace reeltack::fleet::drift
