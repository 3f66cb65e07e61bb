// How a member's view passes from one to the next, and when an alarm is raised, in told time at the bounds.
#include <gtest/gtest.h>

#include "fleet/drift/views.h"

namespace reeltack::fleet::drift {
namespace {

using namespace std::chrono_literals;

Time at(Duration d) { return Time{1000s} + d; }
const ViewSettings kSet{};
constexpr Name kOld{6, 60}, kNow{7, 70}, kNext{8, 80};
constexpr rules::Digest kWanted = 700;
Word word(const Name& by, rules::Digest governed, bool pending = false) {
  return {by, governed, 1, pending, {}};
}

class DriftViews : public ::testing::Test {
 protected:
  View view(Duration when) const { return seen.view(at(when), kSet, kNow, kWanted, approved, 90s); }
  bool alarm(Duration when) { return seen.alarm(at(when), kSet, view(when)); }
  void alive() { seen.lives(at(-1h), true); }
  Seen seen;
  Time approved = at(-1h);
};

TEST_F(DriftViews, OneThatSaysNothingOrIsGoneIsNotInStepAndNoAlarm) {
  EXPECT_EQ(view(0s), View::unreachable);
  alive();
  EXPECT_EQ(view(0s), View::unknown);
  seen.said(at(0s), word(kNow, kWanted), 0s);
  EXPECT_EQ(view(90s), View::in_step);
  EXPECT_EQ(view(90s + 1ns), View::stale);
  seen.lives(at(0s), false);
  EXPECT_EQ(view(0s), View::unreachable);
}

TEST_F(DriftViews, ItsOwnRulesDecideAndNotItsName) {
  alive();
  seen.said(at(0s), word(kNow, kWanted + 1), 0s);
  EXPECT_EQ(view(2s - 1ns), View::adopting);
  EXPECT_EQ(view(2s), View::diverged);
  seen.said(at(4s), word({7, 71}, kWanted), 0s);  // another content under the epoch
  EXPECT_EQ(view(8s), View::diverged);
}

TEST_F(DriftViews, AnOlderVersionHasLongerToReachIt) {
  alive();
  seen.said(at(0s), word(kOld, 600), 0s);
  EXPECT_EQ(view(15s - 1ns), View::adopting);
  EXPECT_EQ(view(15s), View::behind);
  seen.said(at(16s), word(kNext, 800), 0s);
  EXPECT_EQ(view(16s), View::ahead);
}

TEST_F(DriftViews, WhatWaitsForAStartIsNeitherDriftNorInStep) {
  alive();
  seen.said(at(0s), word(kNow, kWanted + 1, true), 0s);
  for (const Duration when : {0s, 10s, 80s}) EXPECT_EQ(view(when), View::pending);
  EXPECT_FALSE(alarm(10s));
  EXPECT_FALSE(alarm(80s));
  seen.said(at(81s), word(kNow, kWanted + 1, false), 0s);  // started, and still not
  EXPECT_EQ(view(84s), View::diverged);
}

TEST_F(DriftViews, AStartAndAnApprovalGiveGrace) {
  alive();
  seen.said(at(0s), word(kNow, kWanted + 1), 0s);
  seen.started(at(2s));
  EXPECT_EQ(view(4s - 1ns), View::adopting);
  EXPECT_EQ(view(4s), View::diverged);
  approved = at(10s);
  EXPECT_EQ(view(12s - 1ns), View::adopting);
  EXPECT_EQ(view(12s), View::diverged);
  seen.lives(at(20s), false);
  seen.lives(at(30s), true);  // back after a cut
  EXPECT_EQ(view(32s - 1ns), View::adopting);
  EXPECT_EQ(view(32s), View::diverged);
}

TEST_F(DriftViews, AnAlarmIsRaisedOnceItHasStoodAndTakenBackOnceItIsGone) {
  alive();
  seen.said(at(0s), word(kNow, kWanted + 1), 0s);
  EXPECT_FALSE(alarm(3s));
  EXPECT_FALSE(alarm(4s - 1ns));
  EXPECT_TRUE(alarm(4s));
  EXPECT_FALSE(alarm(5s)) << "once";
  seen.said(at(6s), word(kNow, kWanted), 0s);
  EXPECT_FALSE(alarm(6s));
  EXPECT_TRUE(seen.alarmed());
  EXPECT_FALSE(alarm(11s - 1ns));
  EXPECT_TRUE(alarm(11s));
  EXPECT_FALSE(seen.alarmed());
}

TEST_F(DriftViews, AnAlarmStandsWhileItsSubjectIsNotHeard) {
  alive();
  seen.said(at(0s), word(kNow, kWanted + 1), 0s);
  alarm(3s);
  ASSERT_TRUE(alarm(4s));
  seen.lives(at(5s), false);
  for (const Duration when : {5s, 20s, 40s}) EXPECT_FALSE(alarm(when));
  EXPECT_TRUE(seen.alarmed());
}

TEST_F(DriftViews, RulesThatChangeToAndFroAreFlappingWhateverTheyAreNow) {
  alive();
  for (int i = 0; i <= 4; ++i) {
    EXPECT_NE(view(i * 1s), View::flapping) << i;
    seen.said(at(i * 1s), word(kNow, i % 2 == 0 ? kWanted : kWanted + 1), 0s);
  }
  EXPECT_EQ(view(4s), View::flapping) << "four changes, and in step just now";
  EXPECT_EQ(view(21s - 1ns), View::flapping);
  EXPECT_EQ(view(21s), View::in_step);
}

TEST_F(DriftViews, AdoptingVersionsIsNotFlappingAndTheLastWordCountsWhateverItsAge) {
  alive();
  for (std::uint64_t i = 0; i < 8; ++i) seen.said(at(1s), word({i, i}, i), 0s);
  EXPECT_NE(view(1s), View::flapping);
  seen.said(at(2s), word(kNow, kWanted), 0s);
  seen.said(at(3s), word(kNow, kWanted + 1), 2s);  // the one before came by a slower way
  EXPECT_EQ(view(10s), View::diverged);
}

TEST_F(DriftViews, TheWorstOfWhatItNamesIsItsSeverity) {
  Word w = word(kNow, 1);
  w.named = {{"class.voice.aim", "1ns", {}}, {"module.attempts", "6", {}}};
  seen.said(at(0s), w, 0s);
  EXPECT_EQ(seen.worst(), rules::Severity::critical);
  w.named[1].actual = "4";
  seen.said(at(1s), w, 0s);
  EXPECT_EQ(seen.worst(), rules::Severity::major);
}

}  // namespace
}  // namespace reeltack::fleet::drift
