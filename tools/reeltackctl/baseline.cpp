// reeltackctl load baseline: what one controller on one core can do, by connections, centrales and wire.
#include <spdlog/spdlog.h>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <thread>

#include "commands.h"
#include "rig.h"

namespace reeltack::ctl {
namespace {

using namespace std::chrono_literals;

struct Options {
  std::string binary;
  std::string report = "load-baseline";
  std::vector<std::string> wires{"sip", "ws"};
  std::vector<std::size_t> connections{1, 10, 100};
  std::vector<std::size_t> centrales{2, 20, 200};
  double seconds = 3.0;
  double most = 16000.0;  // calls a second
  double bound_ms = 10.0;
};
// The highest rate that is good: doubled until one is not, then halved in between.
bool good(const Trial& t, const Options& o) {
  return !t.generator_late && t.sound && t.measured.p99_ms < o.bound_ms && t.measured.stood > 0.999;
}
Trial search(Rig& rig, const Options& o) {
  const auto span = std::chrono::round<Duration>(std::chrono::duration<double>(o.seconds));
  rig.play(200.0, 1s);  // warm: connections, pages, branches
  Trial best;
  double low = 0.0;
  double high = 0.0;
  for (double rate = 500.0; rate <= o.most && !stopped(); rate *= 2.0) {
    const Trial t = rig.play(rate, span);
    spdlog::info("  {:.0f} a second: 99% within {:.2f} ms, {:.0f} us of CPU a call, {:.1f}% stand{}", rate,
                 t.measured.p99_ms, t.measured.cpu_us, t.measured.stood * 100.0,
                 t.generator_late ? " (the generator was late)" : "");
    if (!good(t, o)) {
      high = rate;
      break;
    }
    best = t;
    low = rate;
  }
  for (int i = 0; i < 3 && high > 0.0 && !stopped(); ++i) {
    const double rate = (std::max(low, 100.0) + high) / 2.0;
    const Trial t = rig.play(rate, span);
    spdlog::info("  {:.0f} a second: 99% within {:.2f} ms, {:.0f} us of CPU a call", rate, t.measured.p99_ms,
                 t.measured.cpu_us);
    if (good(t, o)) {
      best = t;
      low = rate;
    } else {
      high = rate;
    }
  }
  return best;
}

int baseline(const Options& o, const Shared& shared) {
  catch_stop();
  const int cpu = keep_off_last_core();
  nlohmann::json rows = nlohmann::json::array();
  std::ostringstream table;
  table << "| wire | connections | centrales | set-ups a second | 99% within (ms) | CPU a call (us) | core "
           "busy |\n| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const std::string& wire : o.wires) {
    for (const std::size_t n : o.connections) {
      for (const std::size_t m : o.centrales) {
        if (stopped()) break;
        spdlog::info("{} connections by {}, {} centrales", n, wire, m);
        Rig rig({o.binary, wire, n, m, cpu});
        const Trial t = search(rig, o);
        table << "| " << wire << " | " << n << " | " << m << " | " << std::fixed << std::setprecision(0)
              << t.rate << " | " << std::setprecision(2) << t.measured.p99_ms << " | " << std::setprecision(0)
              << t.measured.cpu_us << " | " << t.busy * 100.0 << "% |\n";
        rows.push_back({{"wire", wire},
                        {"connections", n},
                        {"centrales", m},
                        {"rate", t.rate},
                        {"p99_ms", t.measured.p99_ms},
                        {"cpu_us", t.measured.cpu_us},
                        {"busy", t.busy}});
      }
    }
  }
  nlohmann::json memory;
  if (!stopped()) {
    // A connection: the difference of 1 and 401 that have each carried calls. A call: of 0 and some thousand
    // that stand on the same connections.
    const auto resident = [&](std::size_t n, Duration hold, std::size_t calls) {
      Rig rig({o.binary, "sip", n, 20, cpu});
      rig.play(400.0, 2s);
      if (calls == 0) return rig.controller().use().resident_mb;
      double most = 0.0;
      std::atomic<bool> done{false};
      std::thread watch([&] {
        while (!done) {
          most = std::max(most, rig.controller().use().resident_mb);
          std::this_thread::sleep_for(20ms);
        }
      });
      rig.play(static_cast<double>(calls) / 4.0, 4s, hold);
      done = true;
      watch.join();
      return most;
    };
    const double few = resident(1, 200ms, 0);
    const double many = resident(401, 200ms, 0);
    const double standing = resident(1, 20s, 8000);
    memory = {{"idle_mb", few},
              {"connection_kb", (many - few) * 1024.0 / 400.0},
              {"standing_call_kb", (standing - few) * 1024.0 / 8000.0}};
    table << "\nMemory: " << std::setprecision(1) << few << " MB with 20 centrales and 1 connection; "
          << memory["connection_kb"].get<double>() << " KB a connection, " << std::setprecision(2)
          << memory["standing_call_kb"].get<double>() << " KB a standing call.\n";
  }
  std::filesystem::create_directories(o.report);
  std::ofstream(o.report + "/baseline.md") << table.str();
  const nlohmann::json out{{"kind", "reeltack-load-baseline"},
                           {"version", 1},
                           {"bound_ms", o.bound_ms},
                           {"rows", rows},
                           {"memory", memory}};
  std::ofstream(o.report + "/baseline.json") << out.dump(2) << "\n";
  std::cout << (shared.json ? out.dump() + "\n" : table.str());
  return stopped() ? kFailed : kGood;
}

}  // namespace

void add_baseline(CLI::App& load, Shared& shared) {
  auto o = std::make_shared<Options>();
  o->binary = own_folder() + "/reeltack";
  CLI::App* b = load.add_subcommand(
      "baseline", "The most that one reeltack on one core can do; some ten minutes in full");
  b->add_option("--reeltack", o->binary, "The program to measure")->check(CLI::ExistingFile);
  b->add_option("--report", o->report, "Folder of the result")->capture_default_str();
  b->add_option("--wire", o->wires, "sip, ws")->delimiter(',')->check(CLI::IsMember({"sip", "ws"}));
  b->add_option("--connections", o->connections)->delimiter(',');
  b->add_option("--centrales", o->centrales)->delimiter(',');
  b->add_option("--seconds", o->seconds, "Of each trial")
      ->check(CLI::Range(1.0, 60.0))
      ->capture_default_str();
  b->add_option("--most", o->most, "The highest rate to try")
      ->check(CLI::Range(500.0, 100000.0))
      ->capture_default_str();
  b->add_option("--bound", o->bound_ms, "99% of set-ups must take less, in ms")
      ->check(CLI::Range(0.1, 10000.0))
      ->capture_default_str();
  b->callback([o, b, &shared] {
    if (b->get_subcommands().empty()) shared.result = baseline(*o, shared);
  });
  add_side_by_side(*b, shared);
}

}  // namespace reeltack::ctl
