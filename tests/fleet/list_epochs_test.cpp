// Lists of a bulletin that has restarted: to which epoch they belong, and which member's list counts.
#include <gtest/gtest.h>

#include "fleet/recovery/epochs.h"
#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

constexpr std::uint64_t kMaxEpoch = ~std::uint64_t{0};

TEST(ListEpochs, APowerLossOfTheBulletinIsANewEpochAndAReplayIsNot) {
  for (const std::uint64_t number : {900U, 901U, 899U, 1U}) {
    ListEpochs epochs;
    epochs.restore(3, 900);
    EXPECT_EQ(epochs.update(1, 0), 3U);
    EXPECT_EQ(epochs.number(), 900U) << "a crash during the replay must not lose the number";
    EXPECT_EQ(epochs.update(number, 0), 3U);
    EXPECT_EQ(epochs.caught_up(), number < 900 ? 4U : 3U) << number;
    EXPECT_EQ(epochs.number(), number);
    EXPECT_EQ(epochs.caught_up(), epochs.epoch()) << "compared with the stored number only once";
    EXPECT_EQ(epochs.update(1, 2), number < 900 ? 5U : 4U) << "two missed restarts count as one";
    epochs.check();
  }
  ListEpochs last;
  last.restore(kMaxEpoch, 9);
  EXPECT_EQ(last.update(1, 1), kMaxEpoch) << "it does not wrap to 0";
}

TEST(ListEpochs, AnEpochIsAdoptedOnlyFromTheSameListWithinTheMaximumLead) {
  const ListId own{0, 7, 42};
  const auto adopted = [&](ListId peer) {
    ListEpochs epochs;
    epochs.update(own.number, 0);
    const bool result = epochs.adopt(own, peer);
    EXPECT_EQ(epochs.epoch(), result ? peer.epoch : 0U);
    return result;
  };
  EXPECT_TRUE(adopted({4, 7, 42}));
  EXPECT_FALSE(adopted({4, 7, 43}));
  EXPECT_FALSE(adopted({4, 8, 42}));
  EXPECT_FALSE(adopted({0, 7, 42}));
  EXPECT_TRUE(adopted({ListEpochs::kMaxEpochLead, 7, 42}));
  EXPECT_FALSE(adopted({ListEpochs::kMaxEpochLead + 1, 7, 42}));
  EXPECT_FALSE(adopted({kMaxEpoch, 7, 42}));
}

// The bulletin restarts without an office; one member still follows its previous run, with a higher number.
TEST(ListEpochs, AListOfThePreviousRunIsOutrankedAndANewcomerAdoptsTheNewEpoch) {
  TestFleet fleet(4);
  fleet.settle();
  const auto usable = [&](std::size_t i) {
    return fleet.members[i].terms->offices[2].verdict == Verdict::trusted;
  };
  for (std::size_t i = 0; i < 4; ++i) fleet.deliver_list(i, 40);
  fleet.run(1s, false);
  const ServerId removed{2};
  const auto office = fleet.truth.extract(removed);
  for (std::size_t i = 0; i < 3; ++i) {
    ListReceived received = fleet.list(2);
    received.restarts = 1;
    fleet.deliver(i, received);
    fleet.deliver(i, ListCaughtUp{});
  }
  fleet.run(1s, false);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_FALSE(usable(i)) << i;
  // With an emptied disk the member follows the new list and learns the epoch only from the others.
  fleet.kill(2);
  fleet.members[2].store.clear();
  fleet.start(2);
  fleet.deliver_list(2, 2);
  fleet.deliver(2, ListCaughtUp{});
  fleet.run(1s, false);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_FALSE(usable(i)) << i;
  const auto published = read_list(fleet.members[2].facts.at({facts::Kind::list, 0}).first);
  ASSERT_TRUE(published);
  EXPECT_EQ(published->id.epoch, 1U);
  // The office is listed again, which only the new run can report. Members 0 and 1 wait for their own list.
  fleet.truth.insert({office.key(), office.mapped()});
  fleet.deliver_list(2, 3);
  fleet.run(1s, false);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(usable(i), i >= 2) << i;
  for (const std::size_t i : {0U, 1U}) fleet.deliver_list(i, 3);
  fleet.run(1s, false);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_TRUE(usable(i)) << i;
}

// All power was lost, including the bulletin's: the stored number is from the bulletin's previous run.
TEST(ListEpochs, AFleetThatReturnsWithItsBulletinFollowsTheNewRun) {
  TestFleet fleet(4);
  fleet.settle();
  for (std::size_t i = 0; i < 4; ++i) fleet.deliver_list(i, 900);
  fleet.run(20s, false);
  for (std::size_t i = 0; i < 4; ++i) fleet.kill(i);
  fleet.now += 30s;
  for (std::size_t i = 0; i < 4; ++i) fleet.start(i);
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.deliver_list(i, 2);
    if (i != 0) fleet.deliver(i, ListCaughtUp{});
  }
  fleet.run(1s);
  for (std::size_t i = 0; i < 4; ++i) {
    const auto published = read_list(fleet.members[i].facts.at({facts::Kind::list, 0}).first);
    ASSERT_TRUE(published);
    EXPECT_EQ(published->id.epoch, 1U) << i << ": the first member adopts it from the others";
  }
}

}  // namespace
}  // namespace reeltack::fleet::recovery
