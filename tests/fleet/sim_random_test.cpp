// Short runs of small fleets with faults drawn by the seed, and what must hold in each.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "turn_world.h"

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
      if (w.nodes[i].turn) w.kill(i);
      break;
    case 2:  // with its store, an older copy of it, or an emptied one
      if (w.nodes[i].turn) w.kill(i);
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
      w.sides([at](std::size_t n) { return n < at ? 0U : 1U; });
      break;
    }
    case 5:
      w.cut(i, w.below(size), true);
      break;
    case 6:  // for good; a quarter of the offices at most
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
      w.reach(i, !w.nodes[i].bulletin);
  }
}

// At the end one bulletin alone is left, and over ways that lose some it ends an office that is still ready.
void one_hears(World& w, std::uint64_t seed) {
  w.until([&] { return w.whole(); }, 60s);
  for (std::size_t i = 0; i < w.nodes.size(); ++i) w.reach(i, i == seed % w.nodes.size());
  w.set_loss(0.1 * static_cast<double>(seed % 3));
  w.run(1s);
  for (std::size_t k = 0; k < w.offices.size(); ++k)
    if (w.offices[k].listed == OfficeState::ready) return w.list(k, OfficeState::gone), w.run(2s);
}

TEST(FleetSim, RandomFaultsBreakNoRule) {
  const std::uint64_t seeds = 2000 / kScale;
  double late = 0.0, by_news = 0.0, most = 0.0, slowest = 0.0;
  std::uint64_t falls = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    World w(world_of(3 + seed % 10, 4, seed));
    for (std::size_t i = 0; i < w.nodes.size(); ++i) w.start(i);
    w.run(12s);
    std::map<std::size_t, std::map<std::string, World::Record>> copies;
    const bool dark = seed % 3 == 0;  // the whole power is lost as well
    for (std::size_t n = 0; n < 6; ++n) {
      fault(w, copies);
      w.run(Duration(w.below(1500)) * 1000000);
      if (dark && n == 3)
        for (std::size_t i = 0; i < w.nodes.size(); ++i) w.kill(i);
    }
    w.set_loss(0.0);
    w.sides([](std::size_t) { return 0U; });
    for (std::size_t i = 0; i < w.nodes.size(); ++i)
      if (!w.nodes[i].turn) w.start(i);
    const Duration took = w.until([&] { return w.all(Stage::full); }, 60s);
    slowest = std::max(slowest, std::chrono::duration<double>(took).count());
    EXPECT_LT(took, 45s) << "seed " << seed;
    one_hears(w, seed);
    EXPECT_EQ(w.sent_to_gone, 0U) << "seed " << seed;
    for (const World::Office& o : w.offices) {
      most = std::max(most, o.most);
      falls += o.falls;
      EXPECT_EQ(o.falls, 0U) << "seed " << seed;
    }
    // Ways lose up to 30% here, where news comes by its third push at the latest: 160 ms, and the hops.
    EXPECT_LE(w.late_by_news, 250ms + 20ms) << "seed " << seed;
    by_news = std::max(by_news, std::chrono::duration<double>(w.late_by_news).count());
    late = std::max(late, std::chrono::duration<double>(w.late_to_gone).count());
  }
  std::printf(
      "%d seeds: a cold office got at most %.2f of its allowance (%d falls), stage full %.1f s at most\n"
      "after the last fault, a gone office sent to for %.3f s by another's word in a whole fleet, %.2f s in "
      "one\n"
      "cut, or started anew, since\n",
      static_cast<int>(seeds), most, static_cast<int>(falls), slowest, by_news, late);
}

}  // namespace
}  // namespace reeltack::test
