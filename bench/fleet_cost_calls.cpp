// What the fleet costs a call: a controller that is one of a fleet of 12 beside two that are alone.
//
// Owns: the slices of load and their comparison. Must never: hide a slice.
//
//   build-test/fleet_cost calls          (about 9 minutes; 8 cores, nothing else running)
//
// All controllers run side by side; slices of load go to one of the three in turn, in an order that changes
// with each round. CPU: of the controller's whole process over its slice, a call, the fleet's own talk
// included. Answers: from the planned instant. The two that are alone, one to the other, tell the noise:
// what the fleet's ratio means below that, nobody knows. The three are pinned to two cores, all else to the
// others.
#include <sched.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <thread>

#include "fleet_cost.h"
#include "load/plan/side_by_side.h"
#include "tests/fleet/rig.h"

namespace reeltack::bench {
namespace {

using namespace std::chrono_literals;
using load::Scatter;
using load::scatter_of;
using rig::Rig;

constexpr double kMostRatio = 1.02;  // with the fleet to without
constexpr std::size_t kFleet = 12;
constexpr int kRounds = 15;
constexpr Duration kSlice = 4s;
constexpr std::array<const char*, 3> kNames{"on", "off", "off again"};
constexpr std::array<std::size_t, 3> kAt{0, kFleet, kFleet + 1};  // in the rig

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

// Nanoseconds of CPU that a process has used so far, all its threads.
std::int64_t cpu_of(pid_t pid) {
  clockid_t clock{};
  timespec t{};
  if (::clock_getcpuclockid(pid, &clock) != 0 || ::clock_gettime(clock, &t) != 0)
    throw std::runtime_error("a controller's clock cannot be read");
  return std::int64_t{t.tv_sec} * 1'000'000'000 + t.tv_nsec;
}

void pin(pid_t pid, const cpu_set_t& to) {
  for (const auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task"))
    static_cast<void>(::sched_setaffinity(std::stoi(task.path().filename()), sizeof to, &to));
}
// Two cores for those that are measured; false: there are too few.
bool pin_all(Rig& rig) {
  cpu_set_t all{}, measured{}, rest{};
  if (::sched_getaffinity(0, sizeof all, &all) != 0 || CPU_COUNT(&all) < 6) return false;
  for (int core = 0; core < CPU_SETSIZE; ++core)
    if (CPU_ISSET(core, &all)) CPU_SET(core, CPU_COUNT(&measured) < 2 ? &measured : &rest);
  pin(::getpid(), rest);
  for (std::size_t i = 0; i < rig.pack().size(); ++i)
    pin(rig.pack().member(i).pid(), std::count(kAt.begin(), kAt.end(), i) != 0 ? measured : rest);
  return true;
}

struct Slice {
  double cpu_us = 0, link_us = 0;  // a call
  load::Spread answers;
};
Slice play(Rig& rig, std::size_t which, double rate, Duration lasts) {
  load::Scenario scenario = rig.scenario();
  scenario.rate = rate;
  scenario.duration = lasts;
  load::PlayerOptions options;
  options.targets.push_back({load::Target::Kind::sip, rig.sip(kAt[which])});
  const pid_t pid = rig.pack().member(kAt[which]).pid();
  const auto link = [&] { return which == 0 ? rig.figure(0, "cpu_us") : 0; };
  Slice out;
  const std::int64_t link_before = link();
  const std::int64_t before = cpu_of(pid);
  const auto played = load::play(scenario, options);
  const std::int64_t after = cpu_of(pid);
  const load::Tally& all = played->recorder.all();
  const auto made = static_cast<double>(all.started);
  if (static_cast<double>(all.results[0]) < 0.99 * made)
    throw std::runtime_error("less than 99 of 100 calls stood: this is no measure of calls");
  out.cpu_us = static_cast<double>(after - before) / 1e3 / made;
  out.link_us = static_cast<double>(link() - link_before) / made;
  out.answers = all.latency;
  return out;
}

void print(const char* what, const std::vector<double>& ratios) {
  std::vector<double> sorted = ratios;
  std::sort(sorted.begin(), sorted.end());
  const Scatter s = scatter_of(ratios);
  std::printf("  %-34s median %.3f, half of the rounds %.3f to %.3f, all %.3f to %.3f\n", what, s.median,
              sorted[sorted.size() / 4], sorted[sorted.size() - 1 - sorted.size() / 4], s.least, s.most);
}

void compare(Rig& rig, double rate) {
  std::array<std::vector<Slice>, 3> of;
  for (std::size_t which = 0; which < 3; ++which) static_cast<void>(play(rig, which, rate, 2s));
  std::printf("%.0f calls a second\n%5s | %29s | %29s | %9s\n", rate, "round", "CPU us a call: on, off, off",
              "p99 ms: on, off, off", "link us");
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t n = 0; n < 3; ++n) {  // each place in the order as often
      const std::size_t turn = (n + static_cast<std::size_t>(round)) % 3;
      const std::size_t which = round % 2 == 0 ? turn : 2 - turn;
      of[which].push_back(play(rig, which, rate, kSlice));
    }
    std::printf("%5d |", round + 1);
    for (const auto& slices : of) std::printf(" %9.2f", slices.back().cpu_us);
    std::printf(" |");
    for (const auto& slices : of)
      std::printf(" %9.3f", seconds(slices.back().answers.percentile(0.99)) * 1e3);
    std::printf(" | %9.2f\n", of[0].back().link_us);
    std::fflush(stdout);
  }
  std::array<load::Spread, 3> answers;
  std::array<double, 3> cpu{};
  for (std::size_t which = 0; which < 3; ++which) {
    std::vector<double> all;
    for (const Slice& slice : of[which]) {
      answers[which].add(slice.answers);
      all.push_back(slice.cpu_us);
    }
    cpu[which] = scatter_of(all).median;
    std::printf("  %-10s CPU us a call, median %.2f; answers of all rounds: p50 %.3f ms, p99 %.3f ms\n",
                kNames[which], cpu[which], seconds(answers[which].percentile(0.5)) * 1e3,
                seconds(answers[which].percentile(0.99)) * 1e3);
  }
  const auto ratios = [&](const auto& value, std::size_t a, std::size_t b) {
    std::vector<double> out;
    for (std::size_t i = 0; i < of[a].size(); ++i) out.push_back(value(of[a][i]) / value(of[b][i]));
    return out;
  };
  const auto to_both = [&](const auto& value) {  // the mean of the two that are alone
    std::vector<double> out;
    for (std::size_t i = 0; i < of[0].size(); ++i)
      out.push_back(2 * value(of[0][i]) / (value(of[1][i]) + value(of[2][i])));
    return out;
  };
  const auto cpu_of_slice = [](const Slice& s) { return s.cpu_us; };
  const auto p99_of_slice = [](const Slice& s) { return seconds(s.answers.percentile(0.99)); };
  print("CPU a call, on to off:", to_both(cpu_of_slice));
  print("CPU a call, off again to off:", ratios(cpu_of_slice, 2, 1));
  print("p99, on to off:", to_both(p99_of_slice));
  print("p99, off again to off:", ratios(p99_of_slice, 2, 1));
  char text[160];
  for (const auto& [what, values] :
       {std::pair{"CPU a call", to_both(cpu_of_slice)}, std::pair{"p99 of a call", to_both(p99_of_slice)}}) {
    const double ratio = scatter_of(values).median;
    std::snprintf(text, sizeof text, "%s at %.0f a second, on to off: %.3f, at most %.2f", what, rate, ratio,
                  kMostRatio);
    judge(ratio <= kMostRatio, text);
  }
}

}  // namespace

void calls() {
  rig::RigSettings settings;
  settings.controllers = kFleet + 2;
  settings.without_fleet = 2;
  settings.processor = "{set_up: 1us, answer: 1us, release: 1us, refuse: 1us, repeat: 1us}";
  settings.ramp = 1s;
  if (const char* other = std::getenv("FLEET_COST_BINARY")) settings.binary = other;
  Rig rig(settings);
  rig.pack().start_all();
  const auto together = [&] {
    for (std::size_t i = 0; i < kFleet; ++i)
      if (rig.figure(i, "alive") != kFleet || rig.figure(i, "stage") != 5) return false;
    return true;
  };
  if (!rig.until(60s, together)) throw std::runtime_error("the fleet of 12 has not come together in 60 s");
  if (!pin_all(rig)) std::printf("nothing is pinned: fewer than 6 cores\n");
  for (const double rate : {1000.0, 3000.0}) compare(rig, rate);
}

}  // namespace reeltack::bench
