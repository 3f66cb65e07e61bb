// What usual callers earn beside connections that flood, by front and by the number of flooding connections
// of 24. Usage: flood_figures REELTACK [FLOOD_RATE [SECONDS]]
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include "flood_world.h"

namespace {

using namespace reeltack;

constexpr std::size_t kConnections = 24;
constexpr std::array<std::size_t, 4> kFloodingConnections{0, 1, 4, 16};

bool print_one(load::FloodPlan plan) {
  const load::FloodResult result = load::play_flood(plan);
  const load::Tally& usual = result.usual->recorder.all();
  const bool flooded = result.flood != nullptr;
  const load::Tally none;
  const load::Tally& flood = flooded ? result.flood->recorder.all() : none;
  std::printf(
      "%-4s %2zu flooding: usual worth %.3f, %llu of %llu calls, 99%% within %.0f ms; flood %llu of %llu "
      "calls; "
      "%.2f s of CPU, %.1f MB\n",
      plan.front == load::Target::Kind::sip ? "sip" : "ws", plan.flooding_connections, result.usual_worth(),
      static_cast<unsigned long long>(usual.results[0]), static_cast<unsigned long long>(usual.planned),
      std::chrono::duration<double, std::milli>(usual.latency.percentile(0.99)).count(),
      static_cast<unsigned long long>(flood.results[0]), static_cast<unsigned long long>(flood.planned),
      result.controller_cpu_seconds, result.controller_resident_mb);
  std::fflush(stdout);
  const std::uint64_t violations = result.usual->recorder.violations().total() +
                                   (flooded ? result.flood->recorder.violations().total() : 0);
  return result.ended_well && violations == 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2 || argc > 4) {
    std::fprintf(stderr, "usage: flood_figures REELTACK [FLOOD_RATE [SECONDS]]\n");
    return 2;
  }
  load::FloodPlan plan{.binary = argv[1]};
  plan.dir = (std::filesystem::temp_directory_path() / ("flood-" + std::to_string(::getpid()))).string();
  if (argc > 2) plan.flood_rate = std::strtod(argv[2], nullptr);
  if (argc > 3) plan.duration = std::chrono::seconds(std::strtol(argv[3], nullptr, 10));
  bool good = true;
  for (const load::Target::Kind front : {load::Target::Kind::sip, load::Target::Kind::ws}) {
    for (const std::size_t flooding : kFloodingConnections) {
      plan.front = front;
      plan.flooding_connections = flooding;
      plan.usual_connections = kConnections - flooding;
      good = print_one(plan) && good;
    }
  }
  return good ? 0 : 1;
}
