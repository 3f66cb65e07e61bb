// How a bounded amount of memory is shared among owners.
#include "limits/memory_shares.h"

#include <gtest/gtest.h>

namespace reeltack::test {
namespace {

using limits::MemoryShares;
constexpr std::size_t kCapacity = 1200;
constexpr MemoryShares::Owner kFirst{1};
constexpr MemoryShares::Owner kSecond{2};

std::size_t take_all(MemoryShares& shares, MemoryShares::Owner owner) {
  while (shares.take(owner, 1)) continue;
  return shares.held_by(owner);
}

TEST(MemoryShares, OneOwnerGetsHalf) {
  MemoryShares shares(kCapacity);
  EXPECT_EQ(take_all(shares, kFirst), kCapacity / 2);
}

TEST(MemoryShares, ALaterOwnerFindsRoomBesideOneThatTakesAll) {
  MemoryShares shares(kCapacity);
  take_all(shares, kFirst);
  EXPECT_EQ(take_all(shares, kSecond), kCapacity / 4);
}

TEST(MemoryShares, TwoThatTakeAllInTurnGetAThirdEach) {
  MemoryShares shares(kCapacity);
  for (bool some = true; some;) {
    const bool first = shares.take(kFirst, 1);
    some = shares.take(kSecond, 1) || first;
  }
  EXPECT_EQ(shares.held_by(kFirst), kCapacity / 3);
  EXPECT_EQ(shares.held_by(kSecond), kCapacity / 3);
}

TEST(MemoryShares, WhatIsGivenBackCanBeTakenAgain) {
  MemoryShares shares(kCapacity);
  take_all(shares, kFirst);
  shares.give_back(kFirst, 100);
  EXPECT_EQ(take_all(shares, kFirst), kCapacity / 2);
  shares.give_back(kFirst, kCapacity);  // more than was taken
  EXPECT_EQ(shares.held(), 0U);
}

TEST(MemoryShares, MoreThanThereIsIsNeverTaken) {
  MemoryShares shares(kCapacity);
  EXPECT_FALSE(shares.take(kFirst, kCapacity + 1));
  EXPECT_TRUE(shares.take(kFirst, kCapacity));
  EXPECT_FALSE(shares.take(kSecond, 1));
  EXPECT_EQ(shares.held(), kCapacity);
}

}  // namespace
}  // namespace reeltack::test
