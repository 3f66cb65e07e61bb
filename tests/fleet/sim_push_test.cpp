// Only one controller follows the bulletin; the others stop using an ended office in time through eager push.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "coordinator_world.h"

namespace reeltack::test {
namespace {

using recovery::OfficeState;

// Time from the list of the only source until each other member bars the office, in ms and sorted, for
// several offices one after the other.
std::vector<double> bar_times(std::size_t size, std::uint64_t seed, double loss) {
  WorldSettings s = world_of(size, 8, seed, loss);
  s.check_invariants = size <= 40;
  World w(s);
  for (std::size_t i = 0; i < size; ++i) w.start(i);
  w.run(35s);
  EXPECT_TRUE(w.all(Stage::full) && w.fully_connected());
  const std::size_t source = seed % size;
  for (std::size_t i = 0; i < size; ++i)
    if (i != source) w.set_bulletin(i, false);
  w.run(2s);
  std::vector<double> out;
  double bytes = 0.0, messages = 0.0;
  const auto count = [&](double sign) {
    for (const World::Node& n : w.nodes) {
      messages += sign * static_cast<double>(n.push_messages);
      bytes += sign * static_cast<double>(n.push_bytes);
    }
  };
  count(-1.0);
  w.run(10s);
  count(1.0);
  EXPECT_EQ(messages, 0.0) << "pushed although nothing is urgent";
  w.reset_counts();
  count(-1.0);
  constexpr std::size_t kOffices = 4;
  for (std::size_t office = 0; office < kOffices; ++office) {
    const Time listed = w.now();
    w.list(office, office % 2 == 0 ? OfficeState::gone : OfficeState::draining);
    std::vector<bool> stopped(size, false);
    for (std::size_t left = size; left > 0 && w.now() < listed + 5s; w.run(1ms)) {
      left = 0;
      for (std::size_t i = 0; i < size; ++i) {
        if (!stopped[i] && !w.usable(i)[office]) {
          stopped[i] = true;
          out.push_back(std::chrono::duration<double, std::milli>(w.now() - listed).count());
        }
        left += stopped[i] ? 0 : 1;
      }
    }
    w.run(3s);
  }
  count(1.0);
  EXPECT_EQ(out.size(), size * kOffices);
  std::sort(out.begin(), out.end());
  std::printf(
      "%3zu controllers, %2.0f%% lost, seed %llu: 99%% within %5.1f ms, all within %5.1f; a fact costs "
      "%5.0f messages, %6.0f bytes; sent to after %.3f s\n",
      size, 100 * loss, static_cast<unsigned long long>(seed), out[out.size() * 99 / 100], out.back(),
      messages / kOffices, bytes / kOffices, std::chrono::duration<double>(w.late_by_push).count());
  EXPECT_EQ(w.sent_to_gone, 0U);
  return out;
}

// Tolerance of 20 ms: at most 5 ms per hop, and ceil(log(size) / log(fan-out)) + 1 hops between two pushes.
TEST(FleetSim, OneBulletinStopsAllMembersWithinAQuarterOfASecond) {
  for (const std::size_t size : {12U, 40U}) {
    if (size > 12 && kScale > 1) break;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
      EXPECT_LE(bar_times(size, seed, 0.0).back(), 250.0 + 20.0) << "seed " << seed;
  }
}

TEST(FleetSim, OneBulletinStopsNearlyAllMembersAtTwentyPercentLoss) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const std::vector<double> ms = bar_times(12, seed, 0.2);
    EXPECT_LE(ms[ms.size() * 99 / 100], 250.0 + 20.0) << "seed " << seed;
  }
}

// The links from the first four members to the others are blocked, the links back are not. So each side holds
// the other dead, and no exchange between them completes. An office that the others' list drains must be
// barred by the four as well.
TEST(FleetSim, MembersThatAreNotHeardStillReceivePushes) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    WorldSettings s = world_of(12, 8, seed);
    World w(s);
    for (std::size_t i = 0; i < 12; ++i) w.start(i);
    w.run(35s);
    for (std::size_t i = 0; i < 4; ++i) {
      w.set_bulletin(i, false);
      for (std::size_t j = 4; j < 12; ++j) w.block_link(i, j, true);
    }
    w.run(60s);
    for (const World::Node& n : w.nodes)
      EXPECT_LT(n.coordinator->members().alive(), 12U) << "dead to each other";
    w.list(2, OfficeState::draining);
    const auto barred = [&] {
      for (std::size_t i = 0; i < 12; ++i)
        if (w.usable(i)[2]) return false;
      return true;
    };
    const Duration took = w.until(barred, 20s, 5ms);
    std::printf("seed %d: the members that are not heard bar it after %.3f s\n", static_cast<int>(seed),
                std::chrono::duration<double>(took).count());
    EXPECT_LE(took, 250ms + 20ms) << "seed " << seed;
  }
}

// A quiet fleet with one bulletin where no push arrives: exchanges alone deliver the change.
TEST(FleetSim, WithoutPushesExchangesDeliverWithinSeconds) {
  double most = 0.0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    WorldSettings s = world_of(12, 8, seed, seed % 2 == 0 ? 0.05 : 0.0);
    s.deliver_pushes = false;
    World w(s);
    for (std::size_t i = 0; i < 12; ++i) w.start(i);
    w.run(35s);
    for (std::size_t i = 0; i < 12; ++i) w.set_bulletin(i, i == seed);
    w.run(20s);
    for (std::size_t office = 0; office < 4; ++office) {
      w.list(office, office % 2 == 0 ? OfficeState::gone : OfficeState::draining);
      const Duration took = w.until([&] { return w.agreed() && !w.usable(0)[office]; }, 60s);
      EXPECT_LE(took, 5s) << "seed " << seed << " office " << office;
      most = std::max(most, std::chrono::duration<double>(took).count());
      w.run(10s);
    }
  }
  std::printf("12 controllers, no push delivered: all know after at most %.2f s\n", most);
}

}  // namespace
}  // namespace reeltack::test
