// Fleets with faults in virtual time: one-way links, a slow member, partitions, restarts, and random runs.
#include <iostream>

#include "fleet/members/draws.h"
#include "members_fleet.h"

namespace reeltack::test {
namespace {

MembersSettings without_lifeguard() {
  MembersSettings settings;
  settings.max_health_multiplier = 1;
  settings.suspicion_max_multiplier = 1.0;
  settings.buddy = false;
  settings.late_threshold = hours(1000);
  return settings;
}

TEST(MembersFaults, OneWayLinksBetweenPairsCauseNoSuspicion) {
  Fleet fleet(12, 21);
  fleet.start_all();
  fleet.run(seconds(20));
  for (std::size_t n = 0; n + 1 < 12; ++n) fleet.net.link(n, n + 1).blocked = true;
  fleet.run(minutes(10));
  EXPECT_EQ(fleet.unanswered_probes, 0U);
  EXPECT_TRUE(fleet.agreed());
}

// One member receives nothing while all others receive its messages: each side holds the other dead. It
// returns once it receives again.
TEST(MembersFaults, MemberThatReceivesNothingIsHeldDeadAndReturns) {
  Fleet fleet(12, 22);
  fleet.start_all();
  fleet.run(seconds(20));
  for (std::size_t n = 0; n < 12; ++n) fleet.net.link(n, 5).blocked = true;
  fleet.run(minutes(3));
  for (std::size_t n = 0; n < 12; ++n) {
    EXPECT_EQ(fleet.nodes[n]->alive(), n == 5 ? 1U : 11U) << n;
  }
  for (std::size_t n = 0; n < 12; ++n) EXPECT_TRUE(n == 5 || fleet.deaths_by[n] <= 1) << n;
  for (std::size_t n = 0; n < 12; ++n) fleet.net.link(n, 5).blocked = false;
  const Duration took = fleet.until_agreed(minutes(2));
  std::cout << "receiving nothing for 3 minutes: all agree " << in_seconds(took) << " s after\n";
  EXPECT_LE(took, seconds(60));
}

// One of 12 members is slow: everything it sends and receives is up to 1.5 s late.
TEST(MembersFaults, SlowMemberSuspectsFewerOthersWithLifeguard) {
  std::uint64_t suspicions[2] = {}, deaths[2] = {};
  for (const bool lifeguard : {true, false}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Fleet fleet(12, seed, lifeguard ? MembersSettings{} : without_lifeguard());
      fleet.start_all();
      fleet.run(seconds(20));
      Link slow;
      slow.min_delay = milliseconds(200);
      slow.max_delay = milliseconds(1500);
      for (std::size_t n = 0; n < 12; ++n) fleet.net.link(n, 3) = fleet.net.link(3, n) = slow;
      fleet.run(minutes(10) / kScale);
      suspicions[lifeguard ? 0 : 1] += fleet.unanswered_probes;
      deaths[lifeguard ? 0 : 1] += fleet.false_deaths;
    }
  }
  std::cout << "one slow of 12: false suspicions " << suspicions[0] << " with Lifeguard, " << suspicions[1]
            << " without; false deaths " << deaths[0] << " and " << deaths[1] << " (reported)\n";
  EXPECT_LT(suspicions[0], suspicions[1]);
  EXPECT_LT(deaths[0] * 4, deaths[1]);
}

class MembersPartition : public testing::TestWithParam<int> {};

TEST_P(MembersPartition, OfFiveAndSevenHeals) {
  Duration longest{};
  for (std::uint64_t seed = 1; seed <= 40 / kScale; ++seed) {
    Fleet fleet(12, seed);
    fleet.start_all();
    fleet.run(seconds(20));
    fleet.net.partition({0, 1, 2, 3, 4}, {5, 6, 7, 8, 9, 10, 11}, true);
    fleet.run(seconds(GetParam()));
    if (GetParam() >= 60) {
      for (std::size_t n = 0; n < 12; ++n) ASSERT_EQ(fleet.nodes[n]->alive(), n < 5 ? 5U : 7U);
    }
    fleet.reset_counts();
    fleet.net.partition({0, 1, 2, 3, 4}, {5, 6, 7, 8, 9, 10, 11}, false);
    longest = std::max(longest, fleet.until_agreed(minutes(3)));
  }
  std::cout << "partition of " << GetParam() << " s: both sides agree at most " << in_seconds(longest)
            << " s after it has healed\n";
  EXPECT_LE(longest, seconds(60));
}
// The last is longer than the retention of dead members: the seeds reconnect the sides.
INSTANTIATE_TEST_SUITE_P(Members, MembersPartition, testing::Values(5, 12, 60, 900));

TEST(MembersFaults, PausedMemberDeclaresNobodyDead) {
  for (std::uint64_t seed = 1; seed <= 40 / kScale; ++seed) {
    Fleet fleet(12, seed);
    fleet.start_all();
    fleet.run(seconds(20));
    fleet.net.pause(3, fleet.net.now() + seconds(45));
    fleet.run(seconds(45));
    EXPECT_GT(fleet.deaths_by[3], 0U);
    EXPECT_LE(fleet.until_agreed(minutes(2)), seconds(60));
    for (std::size_t n = 0; n < 12; ++n) EXPECT_TRUE(n == 3 || fleet.deaths_by[n] == 0) << n;
  }
}

// Short random runs of small fleets with loss, cut links, pauses, crashes, leaves and lost stores. check()
// runs after each step; at the end, with the first seed member up, all members that are up agree.
TEST(MembersFaults, RandomRunsKeepTheInvariantsAndAgree) {
  const std::uint64_t seeds = 3000 / kScale;
  Duration longest{};
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Random random(seed);
    const std::size_t size = 3 + random.below(5);
    Fleet fleet(size, seed);
    for (std::size_t n = 0; n < size; ++n) {
      fleet.start(n);
      fleet.run(milliseconds(random.below(2000)));
    }
    for (int fault = 0; fault < 8; ++fault) {
      const std::size_t node = random.below(size);
      const std::size_t other = random.below(size);
      const std::size_t kind = random.below(7);
      if (kind == 0) fleet.net.link(node, other).blocked ^= true;
      if (kind == 1) fleet.net.link(node, other).loss = 0.3;
      if (kind == 2) fleet.net.pause(node, fleet.net.now() + milliseconds(random.below(20000)));
      if (kind == 3) fleet.stop(node);
      if (kind == 4 || kind == 5) fleet.start(node);
      if (kind == 5) fleet.stores[node] = 0;  // the next start has lost it
      if (kind == 6 && !fleet.net.is_down(node)) {
        Actions actions;
        fleet.nodes[node]->leave(fleet.net.now(), actions);
        fleet.execute(node, actions);
        fleet.stop(node);
      }
      fleet.run(milliseconds(random.below(15000)));
    }
    fleet.net.every_link(Link{});
    for (std::size_t n = 0; n < size; ++n) {
      if (fleet.net.is_down(n) && (n == 0 || random.below(2) == 0)) fleet.start(n);
    }
    longest = std::max(longest, fleet.until_agreed(minutes(3), milliseconds(500)));
    ASSERT_TRUE(fleet.agreed()) << "seed " << seed;
  }
  std::cout << seeds << " seeds: all agree at most " << in_seconds(longest) << " s after the last fault\n";
}

}  // namespace
}  // namespace reeltack::test
