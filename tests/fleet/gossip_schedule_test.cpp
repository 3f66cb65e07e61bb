// The gossip schedule case by case: byte budget and debt, urgency, and the choice of the partner.
#include "fleet/gossip_schedule/gossip_schedule.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

namespace reeltack::fleet::gossip_schedule {
namespace {

using namespace std::chrono_literals;

std::vector<Peer> peers(std::size_t members, Incarnation incarnation = 1) {
  std::vector<Peer> out;
  for (std::size_t n = 1; n < members; ++n) out.push_back({MemberId{n}, incarnation});
  return out;
}

// One controller among `members`, past its startup window; the test sets the cost of each exchange.
struct Node {
  explicit Node(std::size_t members, std::uint64_t seed = 1) : schedule({}, seed) {
    schedule.begin(now);
    schedule.set_peers(peers(members));
    now += 10s;
    exchange(0, 0);
  }
  // Runs the next exchange, which takes no time, and returns the pause before it.
  Duration exchange(std::size_t bytes, std::size_t useful, bool truncated = false, bool returning = false) {
    const Time begun = now;
    now = std::max(now, schedule.next(returning));
    with = schedule.due(now, returning, true).value();
    schedule.exchange_ended(now, {with, true, true, truncated, bytes, useful});
    schedule.check();
    return now - begun;
  }
  Time now = Time{} + 1000s;
  GossipSchedule schedule;
  MemberId with{};
};

TEST(GossipSchedule, ADebtPausesNoLongerThanTheLimit) {
  Node one(12);
  one.exchange(1'000'000, 1'000);
  EXPECT_LE(one.exchange(9'000, 1'000), 5s);
  EXPECT_LE(one.exchange(9'000, 1'000, true), 5s);
  EXPECT_GT(one.exchange(0, 1), 4s) << "catching up after a truncated exchange pays the debt too";
}

TEST(GossipSchedule, WhileQuietTheMeanStaysWithinTheBudgetAndABurstIsSavedUp) {
  Node one(12);
  const Time begun = one.now;
  EXPECT_LE(one.exchange(8'000, 1'000) + one.exchange(100, 50), 3s) << "the bucket was full";
  double bytes = 8'100;
  for (; one.now < begun + 600s; bytes += 2'000) one.exchange(2'000, 1'000);
  EXPECT_LE(bytes, 600.0 * 600 + 8 * 1024 + 2'000);
  EXPECT_GE(bytes, 0.9 * 600 * 600);
}

TEST(GossipSchedule, AChangeIsSpreadToAFewPeersSoonDespiteTheDebt) {
  Node one(12);
  one.exchange(1'000'000, 1'000);
  one.schedule.spread_change(one.now);
  std::set<MemberId> partners;
  for (int n = 0; n < 3; ++n) {  // ceil(ln 12)
    EXPECT_LE(one.exchange(2'000, 100), 1s);
    partners.insert(one.with);
  }
  EXPECT_EQ(partners.size(), 3U);
  EXPECT_GT(one.exchange(0, 1), 2s) << "then the debt applies";
}

TEST(GossipSchedule, ThereIsNoDebtWhileReturningOrInTheStartupWindow) {
  Node one(12);
  for (int n = 0; n < 50; ++n) EXPECT_LE(one.exchange(18'000, 9'000, true, true), 250ms);
  GossipSchedule started({}, 1);
  started.begin(one.now);
  started.set_peers(peers(12));
  for (Time now = one.now; now < one.now + 4s;) {
    ASSERT_LE(started.next(false) - now, 250ms);
    now = std::max(now, started.next(false));
    started.exchange_ended(now, {*started.due(now, false, true), true, true, false, 18'000, 9'000});
  }
}

TEST(GossipSchedule, UnproductiveExchangesBecomeLessFrequent) {
  Node one(12);
  one.exchange(300, 100);
  EXPECT_LE(one.exchange(300, 0), 1250ms);
  one.exchange(300, 0);
  EXPECT_GE(one.exchange(300, 100), 1500ms);
  EXPECT_LE(one.exchange(300, 0), 1250ms);
}

TEST(GossipSchedule, EachPeerIsChosenOnceARoundTruncatedAndRestartedOnesFirst) {
  Node one(12);
  std::set<MemberId> met;
  for (int n = 0; n < 11; ++n) one.exchange(300, 1), met.insert(one.with);
  EXPECT_EQ(met.size(), 11U);
  one.exchange(300, 1, true);
  const MemberId truncated = one.with;
  one.exchange(300, 1);
  EXPECT_EQ(one.with, truncated);
  std::size_t prefer = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {  // members that notice a newcomer
    Node observer(300, seed);
    observer.exchange(300, 1);
    std::vector<Peer> now = peers(300);
    now[7].incarnation = 2;
    observer.schedule.set_peers(now);
    observer.exchange(300, 1);
    prefer += observer.with == now[7].id ? 1 : 0;
  }
  EXPECT_GE(prefer, 1U);
  EXPECT_LE(prefer, 12U);
}

}  // namespace
}  // namespace reeltack::fleet::gossip_schedule
