// reeltackctl load baseline: what one controller on one core can do, by connections, centrales and wire.
#include <sched.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <thread>

#include "commands.h"
#include "load/report.h"
#include "standin/controller.h"
#include "standin/fleet.h"

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
struct Trial {
  double rate = 0.0;
  double p99 = 0.0;
  double cpu_us = 0.0;  // of the controller, a call
  double busy = 0.0;    // of its core
  double stood = 0.0;   // part of all
  bool good = false;
  bool valid = true;
};

// The generator and the stand-ins keep off the core that the controller has.
int keep_off_last_core() {
  cpu_set_t all;
  if (::sched_getaffinity(0, sizeof all, &all) != 0) return -1;
  int last = -1;
  for (int i = 0; i < CPU_SETSIZE; ++i) {
    if (CPU_ISSET(static_cast<std::size_t>(i), &all)) last = i;
  }
  if (CPU_COUNT(&all) < 2) return -1;
  CPU_CLR(static_cast<std::size_t>(last), &all);
  ::sched_setaffinity(0, sizeof all, &all);
  return last;
}

class Rig {
 public:
  Rig(const Options& o, std::string wire, std::size_t connections, std::size_t centrales, int cpu)
      : options_(o), wire_(std::move(wire)), connections_(connections) {
    standin::FleetSettings f;
    for (std::size_t i = 0; i < centrales; ++i) {
      standin::CentraleSettings c;
      c.id = static_cast<std::uint32_t>(i + 1);
      c.at = {"127.200." + std::to_string(1 + i / 200) + "." + std::to_string(1 + i % 200),
              static_cast<std::uint16_t>(20000 + ::getpid() % 20000)};
      c.place = static_cast<std::uint32_t>(i);
      c.lines = 1'000'000;
      f.centrales.push_back(c);
    }
    places_ = static_cast<std::uint32_t>(centrales);
    fleet_ = std::make_unique<standin::Fleet>(std::move(f));
    standin::ControllerSetup s;
    s.binary = o.binary;
    s.dir = (std::filesystem::temp_directory_path() / ("reeltack-baseline-" + std::to_string(::getpid())))
                .string();
    s.sip = {standin::own_host(1), 5060};
    s.websocket = base::to_text({standin::own_host(1), 5070});
    s.websocket_connections = connections + 64;
    s.known = fleet_->known_json();
    s.classes.push_back({"voice", 1500ms, 9s, 1.0, 0.25});
    s.sockets = 4096;
    s.memory_mb = 2048;
    s.cpu = cpu;
    s.ramp = {};
    s.fall_multiple = 0.0;  // the centrales are warm, and the guard for cold ones is not what is measured
    controller_ = std::make_unique<standin::Controller>(std::move(s));
  }
  Trial play(double rate, Duration span, Duration hold = 200ms) {
    load::Scenario s;
    s.seed = 11;
    s.duration = span;
    s.rate = rate;
    s.places = places_;
    load::LoadClass c;
    c.name = "voice";
    c.aim = 1500ms;
    c.deadline = 9s;
    c.hold_mean = hold;
    c.hold_law = load::HoldLaw::constant;
    s.classes.push_back(c);
    s.connections = connections_;
    s.lateness_bound = 5ms;
    load::PlayerOptions p;
    p.targets.push_back({wire_ == "sip" ? load::Target::Kind::sip : load::Target::Kind::ws,
                         {standin::own_host(1), static_cast<std::uint16_t>(wire_ == "sip" ? 5060 : 5070)}});
    p.stop = &stopped();
    const auto before = controller_->use();
    const auto run = load::play(s, p);
    const auto after = controller_->use();
    static_cast<void>(fleet_->take_log());
    const auto& all = run->recorder.all();
    Trial out;
    out.rate = rate;
    out.p99 = std::chrono::duration<double, std::milli>(all.latency.percentile(0.99)).count();
    const auto calls = static_cast<double>(std::max<std::uint64_t>(all.planned, 1));
    out.cpu_us = (after.cpu_seconds - before.cpu_seconds) * 1e6 / calls;
    out.busy = (after.cpu_seconds - before.cpu_seconds) / std::chrono::duration<double>(run->lasted).count();
    out.stood = static_cast<double>(all.results[0]) / calls;
    out.valid = run->valid();
    out.good = out.valid && out.p99 < options_.bound_ms && out.stood > 0.999 &&
               run->recorder.violations().total() == 0;
    return out;
  }
  standin::Controller& controller() { return *controller_; }

 private:
  const Options& options_;
  const std::string wire_;
  const std::size_t connections_;
  std::uint32_t places_ = 1;
  std::unique_ptr<standin::Fleet> fleet_;
  std::unique_ptr<standin::Controller> controller_;
};

// The highest rate that is good: doubled until one is not, then halved in between.
Trial search(Rig& rig, const Options& o) {
  const auto span = std::chrono::round<Duration>(std::chrono::duration<double>(o.seconds));
  rig.play(200.0, 1s);  // warm: connections, pages, branches
  Trial best;
  double low = 0.0;
  double high = 0.0;
  for (double rate = 500.0; rate <= o.most && !stopped(); rate *= 2.0) {
    const Trial t = rig.play(rate, span);
    spdlog::info("  {:.0f} a second: 99% within {:.2f} ms, {:.0f} us of CPU a call, {:.1f}% stand{}", rate,
                 t.p99, t.cpu_us, t.stood * 100.0, t.valid ? "" : " (the generator was late)");
    if (!t.good) {
      high = rate;
      break;
    }
    best = t;
    low = rate;
  }
  for (int i = 0; i < 3 && high > 0.0 && !stopped(); ++i) {
    const double rate = (std::max(low, 100.0) + high) / 2.0;
    const Trial t = rig.play(rate, span);
    spdlog::info("  {:.0f} a second: 99% within {:.2f} ms, {:.0f} us of CPU a call", rate, t.p99, t.cpu_us);
    if (t.good) {
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
        Rig rig(o, wire, n, m, cpu);
        const Trial t = search(rig, o);
        table << "| " << wire << " | " << n << " | " << m << " | " << std::fixed << std::setprecision(0)
              << t.rate << " | " << std::setprecision(2) << t.p99 << " | " << std::setprecision(0) << t.cpu_us
              << " | " << t.busy * 100.0 << "% |\n";
        rows.push_back({{"wire", wire},
                        {"connections", n},
                        {"centrales", m},
                        {"rate", t.rate},
                        {"p99_ms", t.p99},
                        {"cpu_us", t.cpu_us},
                        {"busy", t.busy}});
      }
    }
  }
  nlohmann::json memory;
  if (!stopped()) {
    // A connection: the difference of 1 and 401 that have each carried calls. A call: of 0 and some thousand
    // that stand on the same connections.
    const auto resident = [&](std::size_t n, Duration hold, std::size_t calls) {
      Rig rig(o, "sip", n, 20, cpu);
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
  b->callback([o, &shared] { shared.result = baseline(*o, shared); });
}

}  // namespace reeltack::ctl
