// What a fleet's return from a power loss is worth: with the fleet, each alone, and with a list never lost.
//
// Owns: three plays of one loss under one seed, and the table of their worth and fallen cold offices.
// Must never: compare what did not run side by side in one call.
//
// fleet_return [rate=A_SECOND] [SEED...] (330, which is near what the offices left can carry, and 1 2 3
// without any). Each seed: 12 controllers and 8 offices under load are killed
// at once; an office restarts cold, one is gone, at one's address there is another; after a second power
// returns. Discovery is silent for 20 s in the first two plays. Counted: the calls planned within 30 s of the
// return. Exit 0: each aim was met (0.95 of the list never lost, above alone, none fallen); 1: one was not;
// 2: it could not be measured.
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include "../tests/fleet/rig.h"

namespace reeltack::rig {
namespace {

enum class Play { fleet, alone, list_known };

struct Worth {
  double part = 0.0;  // earned of offered
  std::uint64_t fallen = 0, stood = 0, started = 0, violations = 0;
};

Worth play(Play which, std::uint64_t seed, double rate) {
  RigSettings settings;
  settings.fleet = which == Play::fleet;
  settings.seed = seed;
  settings.rate = rate;
  settings.load_duration = 30s;
  settings.processor =
      "{set_up: 8ms, answer: 4ms, release: 4ms, refuse: 2ms, repeat: 2ms, cold_from: 0.33, ramp: 15s, "
      "fall_multiple: 2}";
  Rig rig(settings);
  rig.pack().start_all();
  // What offices carry is learnt in a play of its own, so that the worth counted is of the return alone.
  if (which == Play::fleet && !rig.until(60s, [&] { return rig.all("stage", 5) && rig.all("alive", 12); }))
    throw std::runtime_error("the fleet does not come into service");
  rig.warm(5s);
  rig.pack().kill_all_at_once();
  if (which != Play::list_known) rig.set_discovery_reachable(false);
  using Kind = standin::Trouble::Kind;
  rig.offices().befall({Kind::restart, {}, {4}, 900ms, 1.0});
  rig.offices().befall({Kind::die, {}, {5}, {}, 1.0});
  rig.offices().befall({Kind::replace, {}, {6}, 900ms, 1.0});
  ::usleep(1'000'000);
  rig.pack().start_all();
  rig.play();
  if (which != Play::list_known) {
    ::usleep(20'000'000);
    rig.set_discovery_reachable(true);
  }
  const auto played = rig.played();
  const load::Tally& all = played->recorder.all();
  if (all.worth_offered <= 0.0) throw std::runtime_error("nothing was offered");
  return {all.worth_earned / all.worth_offered, rig.offices().counts().fallen,
          all.results[static_cast<std::size_t>(load::Result::stands)], all.started,
          played->recorder.violations().total()};
}

int run(const std::vector<std::uint64_t>& seeds, double rate) {
  std::printf("%4s  %-16s %6s %6s %8s %8s %6s\n", "seed", "play", "worth", "ratio", "stood", "started",
              "fallen");
  bool met = true;
  for (const std::uint64_t seed : seeds) {
    const Worth known = play(Play::list_known, seed, rate);
    const Worth fleet = play(Play::fleet, seed, rate);
    const Worth alone = play(Play::alone, seed, rate);
    const auto line = [&](const char* name, const Worth& w) {
      std::printf("%4llu  %-16s %6.3f %6.3f %8llu %8llu %6llu\n", static_cast<unsigned long long>(seed), name,
                  w.part, w.part / known.part, static_cast<unsigned long long>(w.stood),
                  static_cast<unsigned long long>(w.started), static_cast<unsigned long long>(w.fallen));
    };
    line("fleet", fleet);
    line("each alone", alone);
    line("list never lost", known);
    std::fflush(stdout);
    met = met && fleet.part >= 0.95 * known.part && fleet.part > alone.part && fleet.fallen == 0 &&
          fleet.violations + alone.violations + known.violations == 0;
  }
  std::printf(met ? "each aim was met\n" : "an aim was not met\n");
  return met ? 0 : 1;
}

}  // namespace
}  // namespace reeltack::rig

int main(int argc, char** argv) {
  try {
    std::vector<std::uint64_t> seeds;
    double rate = 330.0;
    for (int i = 1; i < argc; ++i) {
      const std::string word = argv[i];
      if (word.rfind("rate=", 0) == 0)
        rate = std::stod(word.substr(5));
      else
        seeds.push_back(std::stoull(word));
    }
    if (seeds.empty()) seeds = {1, 2, 3};
    return reeltack::rig::run(seeds, rate);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fleet_return: %s\n", error.what());
    return 2;
  }
}
