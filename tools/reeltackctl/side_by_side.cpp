// reeltackctl load baseline compare: two builds of reeltack in turns on one core, the cost of a call of each.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <sstream>

#include "commands.h"
#include "rig.h"

namespace reeltack::ctl {
namespace {

using namespace std::chrono_literals;

struct Options {
  std::string before;
  std::string now;
  std::string wire = "sip";
  std::string report = "load-compare";
  std::size_t connections = 16;
  std::size_t centrales = 20;
  std::vector<double> rates{1000.0, 5000.0};
  int rounds = 6;
  double seconds = 4.0;
  load::Bounds bounds;
};

nlohmann::json as_json(const load::Measured& m) {
  return {{"cpu_us", m.cpu_us}, {"p50_ms", m.p50_ms}, {"p99_ms", m.p99_ms}, {"stood", m.stood}};
}
nlohmann::json as_json(const load::Scatter& s) {
  return {{"least", s.least}, {"median", s.median}, {"most", s.most}};
}

// One rate: pairs of trials, old and new in turns A B B A, so that what drifts on the machine meets both.
std::vector<load::Round> play(Rig& before, Rig& now, double rate, const Options& o, bool& noisy) {
  const auto span = std::chrono::round<Duration>(std::chrono::duration<double>(o.seconds));
  std::vector<load::Round> out;
  for (int i = 0; i < o.rounds && !stopped(); ++i) {
    const bool old_first = i % 2 == 0;
    const Trial first = (old_first ? before : now).play(rate, span);
    const Trial second = (old_first ? now : before).play(rate, span);
    if (stopped()) break;
    noisy = noisy || first.generator_late || second.generator_late;
    out.push_back(
        {old_first ? first.measured : second.measured, old_first ? second.measured : first.measured});
    const load::Round& r = out.back();
    spdlog::info(
        "  {:.0f} a second, round {}: {:.0f} us of CPU a call before, {:.0f} now ({:.3f}); 99% {:.2f} and "
        "{:.2f} ms{}",
        rate, i + 1, r.before.cpu_us, r.now.cpu_us, r.now.cpu_us / std::max(r.before.cpu_us, 1e-9),
        r.before.p99_ms, r.now.p99_ms,
        first.generator_late || second.generator_late ? " (the generator was late)" : "");
  }
  return out;
}

int compare(const Options& o, const Shared& shared) {
  catch_stop();
  const int cpu = keep_off_last_core();
  std::unique_ptr<Rig> before;
  std::unique_ptr<Rig> now;
  try {
    before = std::make_unique<Rig>(RigSetup{o.before, o.wire, o.connections, o.centrales, cpu, 0});
    now = std::make_unique<Rig>(RigSetup{o.now, o.wire, o.connections, o.centrales, cpu, 1});
  } catch (const std::exception& error) {
    spdlog::error("nothing was compared: {}", error.what());
    return kUsage;
  }
  before->play(500.0, 1s);  // warm: connections, pages, branches
  now->play(500.0, 1s);
  std::ostringstream table;
  table << "| set-ups a second | CPU a call old (us) | new | ratio (least to most) | 50% old (ms) | new | "
           "99% old (ms) | "
           "new | ratio (least to most) |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  nlohmann::json rows = nlohmann::json::array();
  std::vector<std::string> faults;
  bool noisy = false;
  for (const double rate : o.rates) {
    const load::SideBySide s = load::side_by_side(play(*before, *now, rate, o, noisy), o.bounds);
    const auto spread = [](const load::Scatter& of) {
      std::ostringstream out;
      out << std::fixed << std::setprecision(3) << of.median << " (" << of.least << " to " << of.most << ")";
      return out.str();
    };
    table << std::fixed << std::setprecision(0) << "| " << rate << " | " << s.before.cpu_us << " | "
          << s.now.cpu_us << " | " << spread(s.cpu) << std::setprecision(2) << " | " << s.before.p50_ms
          << " | " << s.now.p50_ms << " | " << s.before.p99_ms << " | " << s.now.p99_ms << " | "
          << spread(s.p99) << " |\n";
    rows.push_back({{"rate", rate},
                    {"rounds", s.rounds},
                    {"old", as_json(s.before)},
                    {"new", as_json(s.now)},
                    {"cpu_ratio", as_json(s.cpu)},
                    {"p50_ratio", as_json(s.p50)},
                    {"p99_ratio", as_json(s.p99)},
                    {"faults", s.faults}});
    for (const std::string& fault : s.faults)
      faults.push_back("at " + std::to_string(std::lround(rate)) + " a second: " + fault);
  }
  if (stopped()) return kUsage;
  if (noisy)
    table << "\nThe generator was late in some trials: the machine was not quiet, and 99% is of both.\n";
  std::filesystem::create_directories(o.report);
  const nlohmann::json out{
      {"kind", "reeltack-load-side-by-side"},
      {"version", 1},
      {"connections", o.connections},
      {"centrales", o.centrales},
      {"wire", o.wire},
      {"generator_late", noisy},
      {"threads", {{"old", before->controller().use().threads}, {"new", now->controller().use().threads}}},
      {"rows", rows}};
  std::ofstream(o.report + "/compare.md") << table.str();
  std::ofstream(o.report + "/compare.json") << out.dump(2) << "\n";
  std::cout << (shared.json ? out.dump() + "\n" : table.str());
  for (const std::string& fault : faults) spdlog::warn("{}", fault);
  return faults.empty() ? kGood : kFailed;
}

}  // namespace

void add_side_by_side(CLI::App& baseline, Shared& shared) {
  auto o = std::make_shared<Options>();
  CLI::App* c = baseline.add_subcommand(
      "compare",
      "Two builds of reeltack in turns on one core. Exit 0: the new one keeps its bounds, 1: it does "
      "not, 2: nothing was compared");
  c->add_option("old", o->before, "The program that is the measure")->required()->check(CLI::ExistingFile);
  c->add_option("new", o->now, "The program that is measured")->required()->check(CLI::ExistingFile);
  c->add_option("--report", o->report, "Folder of the result")->capture_default_str();
  c->add_option("--wire", o->wire)->check(CLI::IsMember({"sip", "ws"}))->capture_default_str();
  c->add_option("--connections", o->connections)->check(CLI::Range(1, 1000))->capture_default_str();
  c->add_option("--centrales", o->centrales)->check(CLI::Range(1, 1000))->capture_default_str();
  c->add_option("--rates", o->rates, "Set-ups a second")
      ->delimiter(',')
      ->check(CLI::Range(1.0, 100000.0))
      ->capture_default_str();
  c->add_option("--rounds", o->rounds, "Pairs of trials at each rate")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  c->add_option("--seconds", o->seconds, "Of each trial")
      ->check(CLI::Range(1.0, 60.0))
      ->capture_default_str();
  c->add_option("--cpu-bound", o->bounds.cpu, "CPU a call, new to old, at most")->capture_default_str();
  c->add_option("--p99-bound", o->bounds.p99, "99% of answers, new to old, at most")->capture_default_str();
  c->callback([o, &shared] { shared.result = compare(*o, shared); });
}

}  // namespace reeltack::ctl
