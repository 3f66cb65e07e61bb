// Partial power losses: return zone by zone, a second loss during recovery, a partitioned minority, a rolling
// restart, survivors.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "coordinator_world.h"

namespace reeltack::test {
namespace {

double in_seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

// A fleet in full service with warm offices.
std::unique_ptr<World> fleet(std::size_t size, std::size_t offices, std::uint64_t seed, double loss = 0.0) {
  WorldSettings s = world_of(size, offices, seed, loss);
  s.check_invariants = size <= 40;
  auto w = std::make_unique<World>(s);
  for (std::size_t i = 0; i < size; ++i) w->start(i);
  w->run(35s);
  EXPECT_TRUE(w->all(Stage::full));
  w->reset_counts();
  return w;
}
void kill_all(World& w) {
  w.set_bulletins(false);
  for (std::size_t i = 0; i < w.nodes.size(); ++i) w.kill(i);
}
std::uint64_t falls(const World& w) {
  std::uint64_t all = 0;
  for (const World::Office& o : w.offices) all += o.falls;
  return all;
}

TEST(FleetSim, PowerReturnsZoneByZone) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const auto w = fleet(12, 8, seed, 0.05);
    w->replace(1);
    w->run(3s);
    kill_all(*w);
    w->offices[3].up = false;
    w->run(10s);
    for (std::size_t i = 0; i < 12; ++i) w->schedule(i % 3 * 3s, [&w, i] { w->start(i); });
    w->run(6001ms);
    const Duration took = w->until([&] { return w->agreed() && !w->usable(0)[3]; }, 20s);
    EXPECT_LE(in_seconds(took), 3.0) << "seed " << seed;
    EXPECT_LT(w->until([&] { return w->all(Stage::full); }, 45s), 45s) << "seed " << seed;
    EXPECT_EQ(falls(*w), 0U);
  }
}

TEST(FleetSim, ASecondPowerLossDuringRecoveryFromTheFirst) {
  std::set<Stage> met;
  for (const Duration in : {1ms, 20ms, 100ms, 400ms, 800ms, 1200ms, 1800ms, 2500ms, 5000ms}) {
    const auto w = fleet(12, 8, 3);
    w->replace(1);
    w->run(3s);
    kill_all(*w);
    w->offices[3].up = w->offices[4].up = w->offices[5].up = w->offices[6].up = w->offices[7].up = false;
    w->run(20s);
    for (std::size_t i = 0; i < 12; ++i) w->start(i);
    w->run(in);
    for (const World::Node& n : w->nodes) met.insert(n.coordinator->recovery().stage());
    for (std::size_t i = 0; i < 12; ++i) w->kill(i);
    for (World::Office& o : w->offices) o.up = true;
    w->run(1s);
    for (std::size_t i = 0; i < 12; ++i) w->start(i);
    EXPECT_LT(w->until([&] { return w->correct(); }, 20s), 20s) << in_seconds(in);
    EXPECT_LT(w->until([&] { return w->all(Stage::full); }, 45s), 45s) << in_seconds(in);
    EXPECT_EQ(falls(*w), 0U);
  }
  std::printf("the second loss occurred in %d different stages\n", static_cast<int>(met.size()));
  EXPECT_GE(met.size(), 3U);
}

// Partitions the fleet, and restarts an office during the partition.
void partition_minority(std::size_t size, std::size_t minority, std::size_t offices) {
  const auto w = fleet(size, offices, 7);
  w->partition([&](std::size_t i) { return i < minority ? 0U : 1U; });
  w->run(20s);  // the last leases have expired
  w->replace(1);
  w->run(15s);
  const auto in_minority = [&](std::size_t i) {
    return w->nodes[i].coordinator->recovery().share(w->now()).minority;
  };
  const auto noticed = [&] {  // by all on the smaller side
    for (std::size_t i = 0; i < minority; ++i)
      if (!in_minority(i)) return false;
    return true;
  };
  EXPECT_LT(w->until(noticed, 120s), 120s);
  double parts = 0.0;  // of the allowance, both sides together
  for (const World::Node& n : w->nodes) parts += n.coordinator->recovery().share(w->now()).part;
  EXPECT_LE(parts, 1.0 + 1.0e-9);
  for (std::size_t i = 0; i < size; ++i) {
    const recovery::Recovery& r = w->nodes[i].coordinator->recovery();
    if (i < minority) {
      EXPECT_EQ(r.agreed(), size) << "a minority agrees on no other size";
      EXPECT_EQ(r.share(w->now()).size, size);
    }
    EXPECT_EQ(w->nodes[i].recoveries, 0U);
  }
  EXPECT_EQ(falls(*w), 0U);
  std::printf("%d of %d partitioned: %.2f of the cold allowance sent\n", static_cast<int>(minority),
              static_cast<int>(size), w->offices[1].max_allowance_used);
  w->partition([](std::size_t) { return 0U; });
  const Duration healed = w->until(
      [&] {
        return std::all_of(w->nodes.begin(), w->nodes.end(), [&](const World::Node& n) {
          return n.coordinator->members().alive() == size &&
                 !n.coordinator->recovery().share(w->now()).minority;
        });
      },
      60s);
  EXPECT_LT(healed, 60s);
}
TEST(FleetSim, AMinorityUsesSharesOfTheLargerFleetSize) {
  partition_minority(12, 5, 8);
  partition_minority(30, 12, 8);
}

TEST(FleetSim, ARollingRestartIsNotTakenForAPowerLoss) {
  const auto w = fleet(40, 8, 9);
  for (std::size_t tenth = 0; tenth < 10; ++tenth) {
    for (std::size_t i = 4 * tenth; i < 4 * tenth + 4; ++i) w->leave(i);
    w->run(1s);
    for (std::size_t i = 4 * tenth; i < 4 * tenth + 4; ++i) w->start(i);
    w->run(3s);
  }
  w->run(10s);
  EXPECT_TRUE(w->all(Stage::full));
  for (const World::Node& n : w->nodes) EXPECT_EQ(n.recoveries, 0U);
}

TEST(FleetSim, ThreeSurvivorsOfTwelveAreBelieved) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const auto w = fleet(12, 8, seed, 0.05);
    w->set_bulletins(false);
    for (std::size_t i = 3; i < 12; ++i) w->kill(i);
    w->offices[5].up = w->offices[6].up = false;
    w->run(15s);
    for (std::size_t i = 3; i < 12; ++i) w->start(i);
    const auto known = [&] { return w->agreed() && w->usable(0)[0] && !w->usable(0)[5] && !w->usable(0)[6]; };
    EXPECT_LE(in_seconds(w->until(known, 20s)), 3.0) << "seed " << seed;
    for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(w->nodes[i].recoveries, 0U);
  }
}

}  // namespace
}  // namespace reeltack::test
