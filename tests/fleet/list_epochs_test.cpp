// Lists of a bulletin that has begun anew: which epoch they are of, and whose list counts among members.
#include <gtest/gtest.h>

#include "fleet/recovery/epochs.h"
#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

constexpr std::uint64_t kMost = ~std::uint64_t{0};

TEST(ListEpochs, AReplayAfterAnOrdinaryRestartIsNoNewEpochAndAPowerLossOfTheBulletinIs) {
  for (const std::uint64_t told : {900U, 901U, 899U, 1U}) {
    ListEpochs epochs;
    epochs.restore(3, 900);
    EXPECT_EQ(epochs.told(1, 0), 3U);
    EXPECT_EQ(epochs.number(), 900U) << "killed within the replay it would forget the number";
    EXPECT_EQ(epochs.told(told, 0), 3U);
    EXPECT_EQ(epochs.caught_up(), told < 900 ? 4U : 3U) << told;
    EXPECT_EQ(epochs.number(), told);
    EXPECT_EQ(epochs.caught_up(), epochs.epoch()) << "held against what was kept once";
    EXPECT_EQ(epochs.told(1, 2), told < 900 ? 5U : 4U) << "two restarts unseen are one";
    epochs.check();
  }
  ListEpochs last;
  last.restore(kMost, 9);
  EXPECT_EQ(last.told(1, 1), kMost) << "it does not begin at 0 again";
}

TEST(ListEpochs, OnlyTheVerySameListGivesItsEpochAndNotAnyHowFar) {
  const ListId own{0, 7, 42};
  const auto taken = [&](ListId peer) {
    ListEpochs epochs;
    epochs.told(own.number, 0);
    const bool took = epochs.take(own, peer);
    EXPECT_EQ(epochs.epoch(), took ? peer.epoch : 0U);
    return took;
  };
  EXPECT_TRUE(taken({4, 7, 42}));
  EXPECT_FALSE(taken({4, 7, 43}));
  EXPECT_FALSE(taken({4, 8, 42}));
  EXPECT_FALSE(taken({0, 7, 42}));
  EXPECT_TRUE(taken({ListEpochs::kMaxEpochLead, 7, 42}));
  EXPECT_FALSE(taken({ListEpochs::kMaxEpochLead + 1, 7, 42}));
  EXPECT_FALSE(taken({kMost, 7, 42}));
}

// The bulletin begins anew without an office; one member still follows its last life, with a higher number.
TEST(ListEpochs, AListOfALastLifeIsOutrankedAndANewcomerIsOfTheNewOne) {
  TestFleet fleet(4);
  fleet.settle();
  const auto usable = [&](std::size_t i) {
    return fleet.members[i].terms->offices[2].verdict == Verdict::trusted;
  };
  for (std::size_t i = 0; i < 4; ++i) fleet.tell_list(i, 40);
  fleet.run(1s, false);
  const ServerId removed{2};
  const auto kept = fleet.truth.extract(removed);
  for (std::size_t i = 0; i < 3; ++i) {
    ListReceived heard = fleet.list(2);
    heard.restarts = 1;
    fleet.give(i, heard);
    fleet.give(i, ListCaughtUp{});
  }
  fleet.run(1s, false);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_FALSE(usable(i)) << i;
  // An emptied disk: it follows the new list, and knows of no epoch but by the others.
  fleet.kill(2);
  fleet.members[2].store.clear();
  fleet.start(2);
  fleet.tell_list(2, 2);
  fleet.give(2, ListCaughtUp{});
  fleet.run(1s, false);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_FALSE(usable(i)) << i;
  const auto said = read_list(fleet.members[2].facts.at({facts::Kind::list, 0}).first);
  ASSERT_TRUE(said);
  EXPECT_EQ(said->id.epoch, 1U);
  // It is on the list again: by the new life's word alone.
  fleet.truth.insert({kept.key(), kept.mapped()});
  fleet.tell_list(2, 3);
  fleet.run(1s, false);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_TRUE(usable(i)) << i;
}

// All power was lost, the bulletin's too: what is kept names the number of its last life.
TEST(ListEpochs, AFleetThatReturnsWithItsBulletinFollowsTheNewLife) {
  TestFleet fleet(4);
  fleet.settle();
  for (std::size_t i = 0; i < 4; ++i) fleet.tell_list(i, 900);
  fleet.run(20s, false);
  for (std::size_t i = 0; i < 4; ++i) fleet.kill(i);
  fleet.now += 30s;
  for (std::size_t i = 0; i < 4; ++i) fleet.start(i);
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.tell_list(i, 2);
    if (i != 0) fleet.give(i, ListCaughtUp{});
  }
  fleet.run(1s);
  for (std::size_t i = 0; i < 4; ++i) {
    const auto said = read_list(fleet.members[i].facts.at({facts::Kind::list, 0}).first);
    ASSERT_TRUE(said);
    EXPECT_EQ(said->id.epoch, 1U) << i << ": the first takes it of the others";
  }
}

}  // namespace
}  // namespace reeltack::fleet::recovery
