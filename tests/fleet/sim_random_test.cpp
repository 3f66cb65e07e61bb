// Short runs of small fleets with random faults, and the rules that must hold in each.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "coordinator_world.h"

namespace reeltack::test {
namespace {

using recovery::OfficeState;

void fault(World& w, std::map<std::size_t, std::map<std::string, World::Record>>& copies) {
  const std::size_t size = w.nodes.size();
  const std::size_t i = w.below(size);
  const std::size_t k = w.below(w.offices.size());
  switch (w.below(10)) {
    case 0:
    case 1:
      if (w.nodes[i].coordinator) w.kill(i);
      break;
    case 2:  // restart with its store, an older copy of it, or an emptied one
      if (w.nodes[i].coordinator) w.kill(i);
      if (w.below(3) == 0 && copies.contains(i)) w.nodes[i].store = copies[i];
      if (w.below(3) == 0) w.nodes[i].store.clear();
      w.start(i);
      break;
    case 3:
      copies[i] = w.nodes[i].store;
      w.set_loss(w.uniform() * 0.3);
      break;
    case 4: {
      const std::size_t at = w.below(size);
      w.partition([at](std::size_t n) { return n < at ? 0U : 1U; });
      break;
    }
    case 5:
      w.block_link(i, w.below(size), true);
      break;
    case 6:  // permanent; at most a quarter of the offices
      if (k % 4 != 0) break;
      w.offices[k].up = false;
      w.list(k, w.below(2) == 0 ? OfficeState::gone : OfficeState::draining);
      break;
    case 7:
      w.replace(k);
      break;
    case 8:
      w.restart_bulletin();
      break;
    default:
      w.set_bulletin(i, !w.nodes[i].bulletin);
  }
}

// Finally only one controller reaches the bulletin, which ends an office that is still ready, over lossy
// links.
void list_to_one(World& w, std::uint64_t seed) {
  w.until([&] { return w.fully_connected(); }, 60s);
  for (std::size_t i = 0; i < w.nodes.size(); ++i) w.set_bulletin(i, i == seed % w.nodes.size());
  w.set_loss(0.1 * static_cast<double>(seed % 3));
  w.run(1s);
  for (std::size_t k = 0; k < w.offices.size(); ++k)
    if (w.offices[k].listed == OfficeState::ready) return w.list(k, OfficeState::gone), w.run(2s);
}

TEST(FleetSim, RandomFaultsBreakNoRule) {
  const std::uint64_t seeds = 2000 / kScale;
  double late = 0.0, by_push = 0.0, max_allowance_used = 0.0, slowest = 0.0;
  std::uint64_t falls = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    World w(world_of(3 + seed % 10, 4, seed));
    for (std::size_t i = 0; i < w.nodes.size(); ++i) w.start(i);
    w.run(12s);
    std::map<std::size_t, std::map<std::string, World::Record>> copies;
    const bool power_loss = seed % 3 == 0;  // the entire fleet loses power as well
    for (std::size_t n = 0; n < 6; ++n) {
      fault(w, copies);
      w.run(Duration(w.below(1500)) * 1000000);
      if (power_loss && n == 3)
        for (std::size_t i = 0; i < w.nodes.size(); ++i) w.kill(i);
    }
    w.set_loss(0.0);
    w.partition([](std::size_t) { return 0U; });
    for (std::size_t i = 0; i < w.nodes.size(); ++i)
      if (!w.nodes[i].coordinator) w.start(i);
    const Duration took = w.until([&] { return w.all(Stage::full); }, 60s);
    slowest = std::max(slowest, std::chrono::duration<double>(took).count());
    EXPECT_LT(took, 45s) << "seed " << seed;
    list_to_one(w, seed);
    EXPECT_EQ(w.sent_to_gone, 0U) << "seed " << seed;
    for (const World::Office& o : w.offices) {
      max_allowance_used = std::max(max_allowance_used, o.max_allowance_used);
      falls += o.falls;
      EXPECT_EQ(o.falls, 0U) << "seed " << seed;
    }
    // Links lose up to 30% here, where a fact arrives by its third push at the latest: 160 ms, and the hops.
    EXPECT_LE(w.late_by_push, 250ms + 20ms) << "seed " << seed;
    by_push = std::max(by_push, std::chrono::duration<double>(w.late_by_push).count());
    late = std::max(late, std::chrono::duration<double>(w.late_to_gone).count());
  }
  std::printf(
      "%d seeds: a cold office received at most %.2f of its allowance (%d falls), stage full at most %.1f s\n"
      "after the last fault, a gone office was sent to for %.3f s after another member's list in a connected "
      "fleet,\n"
      "%.2f s in one partitioned or restarted since\n",
      static_cast<int>(seeds), max_allowance_used, static_cast<int>(falls), slowest, by_push, late);
}

}  // namespace
}  // namespace reeltack::test
