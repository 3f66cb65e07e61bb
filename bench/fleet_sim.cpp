// The fleet's return and its quiet talk in virtual time, for sizes and seeds beyond what every build runs.
//
// Owns: the command line and the lines it prints. Must never: judge by the machine's clock.
//
//   build-test/fleet_sim power SIZE OFFICES LOSS SEEDS      all lose power, the bulletin silent
//   build-test/fleet_sim quiet SIZE OFFICES LOSS SECONDS    what the talk costs after a minute
//
// Exit: 0 within the aims of docs/fleet.md, 1 not, 2 not understood.
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>

#include "tests/fleet/sim_runs.h"

namespace {

using namespace reeltack::test;

double used() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

bool power(std::size_t size, std::size_t offices, double loss, std::uint64_t seeds) {
  bool good = true;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const double begun = used();
    const Outcome o = lose_power(size, offices, seed, loss);
    good &= o.agreed <= 5.0 && o.full <= 45.0 && o.urgent <= 1.0 && o.falls == 0 && o.to_gone == 0;
    std::printf(
        "controllers %zu offices %zu loss %.2f seed %llu: agreed %.2f s, full %.2f s, urgent %.2f s, cold "
        "%.2f of allowance, %llu falls, %llu to gone, digest %016llx (%.1f s of a core)\n",
        size, offices, loss, static_cast<unsigned long long>(seed), o.agreed, o.full, o.urgent,
        o.max_allowance_used, static_cast<unsigned long long>(o.falls),
        static_cast<unsigned long long>(o.to_gone), static_cast<unsigned long long>(o.digest),
        used() - begun);
    std::fflush(stdout);
  }
  return good;
}

bool silence(std::size_t size, std::size_t offices, double loss, std::uint64_t span) {
  const double begun = used();
  const Quiet q = quiet(size, offices, 1, loss, std::chrono::seconds(span));
  std::printf(
      "controllers %zu offices %zu loss %.2f: %.0f bytes a second and controller, both ways (datagrams "
      "%.0f), "
      "%.1f steps (%s), %.1f facts, cpu %.3f%%, an hour and controller %.1f suspicions, %.2f deaths, "
      "digest %016llx (%.1f s of a core)\n",
      size, offices, loss, q.bytes, q.datagrams, q.steps, q.events.c_str(), q.facts, 100.0 * q.cpu,
      q.suspicions, q.deaths, static_cast<unsigned long long>(q.digest), used() - begun);
  return q.bytes <= 2048.0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc == 6 ? argv[1] : "";
  if (what != "power" && what != "quiet") {
    std::fprintf(stderr, "fleet_sim power SIZE OFFICES LOSS SEEDS | quiet SIZE OFFICES LOSS SECONDS\n");
    return 2;
  }
  const auto number = [&](int at) { return std::strtoull(argv[at], nullptr, 10); };
  const double loss = std::strtod(argv[4], nullptr);
  if (number(2) < 2 || number(2) > 1000 || number(3) < 4 || number(5) < 1) return 2;
  return (what == "power" ? power : silence)(number(2), number(3), loss, number(5)) ? 0 : 1;
}
