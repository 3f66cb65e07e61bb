#include "sim_runs.h"

#include <algorithm>
#include <ctime>

namespace reeltack::test {
namespace {

double in_seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace

Outcome lose_power(std::size_t size, std::size_t offices, std::uint64_t seed, double loss) {
  WorldSettings s = world_of(size, offices, seed, 0.0);
  s.check_invariants = size <= 40;
  s.calls_per_second = 2.0;
  World w(s);
  for (std::size_t i = 0; i < size; ++i) w.start(i);
  w.run(35s);
  Outcome out;
  out.full_before = w.all(Stage::full);
  w.offices[2].up = false;
  w.list(2, recovery::OfficeState::gone);
  w.replace(1);
  w.run(4s);
  w.set_bulletins(false);
  for (std::size_t i = 0; i < size; ++i) w.kill(i);
  w.offices[3].up = false;  // while the power is out
  w.run(10s);
  w.reset_counts();
  w.set_loss(loss);
  for (std::size_t i = 0; i < size; ++i)
    w.schedule(Duration(w.below(1000)) * 1000000, [&w, i] { w.start(i); });
  w.run(1s);
  out.agreed = in_seconds(w.until([&w] { return w.agreed() && !w.usable(0)[3]; }, 15s));
  out.full = in_seconds(w.until([&w] { return w.all(Stage::full); }, 45s)) + out.agreed;
  w.run(5s);
  for (const World::Node& n : w.nodes)
    out.urgent = std::max(out.urgent, in_seconds(n.urgent_open - n.started_at));
  for (const World::Office& o : w.offices)
    out.falls += o.falls, out.max_allowance_used = std::max(out.max_allowance_used, o.max_allowance_used);
  out.to_gone = w.sent_to_gone;
  out.digest = w.digest();
  return out;
}

Quiet quiet(std::size_t size, std::size_t offices, std::uint64_t seed, double loss, Duration span) {
  WorldSettings s = world_of(size, offices, seed, loss);
  s.check_invariants = false;
  s.calls_per_second = 2.0;
  World w(s);
  for (std::size_t i = 0; i < size; ++i) w.start(i);
  w.run(std::max<Duration>(
      60s,
      static_cast<std::int64_t>(size) * Duration(600ms)));  // until the members have found each other
  w.reset_counts();
  const auto facts = [&w] {
    std::uint64_t all = 0;
    for (const World::Node& n : w.nodes) all += n.coordinator->facts().counts().accepted;
    return all;
  };
  const std::uint64_t facts_before = facts();
  const std::clock_t begun = std::clock();
  w.run(span);
  const double all = in_seconds(span) * static_cast<double>(size);
  Quiet out;
  out.cpu = static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC / all;
  for (const World::Node& n : w.nodes) {
    out.bytes += static_cast<double>(n.datagram_bytes + n.exchange_bytes) / all;
    out.datagrams += static_cast<double>(n.datagram_bytes) / all;
  }
  out.facts = static_cast<double>(facts() - facts_before) / all;
  out.suspicions = static_cast<double>(w.suspicions) * 3600.0 / all;
  out.deaths = static_cast<double>(w.deaths) * 3600.0 / all;
  static constexpr const char* kKinds[] = {"datagram",    "opened",    "accepted", "said",  "closed", "core",
                                           "incarnation", "malformed", "news",     "rules", "tick"};
  static_assert(std::size(kKinds) == std::tuple_size_v<decltype(w.steps)>);
  for (std::size_t k = 0; k < w.steps.size(); ++k) {
    const double steps = static_cast<double>(w.steps[k]) / all;
    out.steps += steps;
    if (w.steps[k] > 0) out.events += std::string(kKinds[k]) + "=" + std::to_string(steps) + " ";
  }
  out.digest = w.digest();
  return out;
}

}  // namespace reeltack::test
