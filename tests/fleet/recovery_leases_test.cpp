// Shares of a cold office's allowance: together never more than all of it, whatever sizes the members assume.
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "fleet/recovery/leases.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;

Time at(Duration since) { return Time{} + 1h + since; }
Leases restored(std::size_t agreed, std::size_t largest, std::size_t planned = 1) {
  LeaseSettings settings;
  settings.min_size = planned;
  Leases leases(settings);
  leases.restore(agreed, largest);
  return leases;
}

TEST(Leases, AMajorityDividesByTheAgreedSizeNotTheVisibleOne) {
  Leases leases = restored(12, 12);
  leases.update(at(0s), {7, 12, 7, 12});
  EXPECT_DOUBLE_EQ(leases.share(at(1s)).part, 1.0 / 12);
  EXPECT_FALSE(leases.share(at(1s)).minority);
  leases.check();
}

TEST(Leases, CutOffAMemberKeepsItsLeaseThenTakesTheSmallestShare) {
  Leases leases = restored(4, 9);
  leases.update(at(0s), {4, 4, 4, 4});
  EXPECT_DOUBLE_EQ(leases.share(at(0s)).part, 0.25) << "all live members report four";
  leases.update(at(1s), {1, 4, 1, 9});
  EXPECT_DOUBLE_EQ(leases.share(at(4s)).part, 0.25);
  EXPECT_EQ(leases.next(at(4s)), at(5s));
  EXPECT_DOUBLE_EQ(leases.share(at(5s)).part, 1.0 / 9);
  EXPECT_TRUE(leases.share(at(5s)).minority);
  leases.check();
}

TEST(Leases, TheLargerSizeCountsWhereTheMembershipIsDoubtful) {
  Leases leases = restored(10, 10);
  leases.update(at(0s), {10, 10, 10, 12});
  EXPECT_EQ(leases.share(at(0s)).size, 12U);
  Leases planned = restored(3, 3, 40);
  planned.update(at(0s), {3, 3, 3, 3});
  EXPECT_EQ(planned.share(at(0s)).size, 40U);
}

TEST(Leases, ANewcomerWaitsUntilLeasesOfTheSmallerSizeHaveExpired) {
  Leases leases{LeaseSettings{}};
  EXPECT_DOUBLE_EQ(leases.share(at(0s)).part, 1.0) << "it knows of no other member";
  leases.update(at(0s), {5, 5, 5, 5});
  for (int s = 1; s < 10; ++s) leases.update(at(std::chrono::seconds(s)), {5, 5, 5, 5});
  EXPECT_DOUBLE_EQ(leases.share(at(9s)).part, 0.0);
  EXPECT_DOUBLE_EQ(leases.share(at(10s)).part, 0.2);
  leases.check();
}

TEST(Leases, SetUpsAreCountedPerInstanceOfTheOffice) {
  Leases leases = restored(1, 1);
  leases.record_set_ups(at(0s), ServerId{1}, 5, 3.0);
  leases.record_set_ups(at(0s), ServerId{1}, 5, 2.0);
  EXPECT_DOUBLE_EQ(leases.set_ups_spent(ServerId{1}), 5.0);
  leases.record_set_ups(at(0s), ServerId{1}, 6, 1.0);
  leases.record_set_ups(at(0s), ServerId{1}, 5, 1.0);
  EXPECT_DOUBLE_EQ(leases.set_ups_spent(ServerId{1}), 1.0);
}

// A fleet of twelve with random partitions and restarts: the shares of all members never add up to more than
// one.
TEST(Leases, AllSharesTogetherNeverExceedTheAllowance) {
  std::mt19937_64 random(19);
  for (int round = 0; round < 200; ++round) {
    std::vector<Leases> all(12, restored(12, 12));
    std::vector<std::size_t> side(12, 0);
    for (int step = 0; step < 120; ++step) {
      const Time now = at(std::chrono::milliseconds(500 * step));
      if (random() % 10 == 0)
        for (std::size_t& s : side) s = random() % (1 + random() % 3);
      if (random() % 10 == 0) all[random() % 12] = restored(12, 12);
      double sum = 0.0;
      for (std::size_t i = 0; i < all.size(); ++i) {
        const auto reachable = static_cast<std::size_t>(std::count(side.begin(), side.end(), side[i]));
        all[i].update(now, {reachable, 12, reachable, 12});
        all[i].check();
        sum += all[i].share(now).part;
      }
      ASSERT_LE(sum, 1.0 + 1.0e-9) << "round " << round << " step " << step;
    }
  }
}

}  // namespace
}  // namespace reeltack::fleet::recovery
