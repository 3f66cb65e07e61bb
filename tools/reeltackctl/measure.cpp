// reeltackctl mgmt measure: how fast the management address answers while the program is under load.
#include <unistd.h>

#include <filesystem>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "commands.h"
#include "load/scenario_file.h"
#include "mgmt/client.h"
#include "standin/centrales.h"
#include "standin/controller.h"

namespace reeltack::ctl {
namespace {

using namespace std::chrono_literals;

struct Options {
  std::string binary = own_folder() + "/reeltack";
  double rate = 2000.0;
  double for_s = 10.0;
  int stalled = 32;
};

// Callers that send half a line or nothing, each dialled again when it has been let go.
void stall_on(const net::Address& at, const std::atomic<bool>& over, int n) {
  std::vector<net::Fd> held(static_cast<std::size_t>(n));
  while (!over) {
    for (std::size_t i = 0; i < held.size(); ++i) {
      if (held[i] && !held[i].far_end_closed()) continue;
      held[i] = net::dial(at, net::now() + 1s).fd;
      if (i % 2 == 0 && held[i]) net::write_all(held[i], "STA");
    }
    net::pause_until(net::now() + 50ms);
  }
}

int measure(const Options& o, const Shared& shared) {
  const std::string host = standin::own_host(1);
  const net::Address management{host, 2906};
  standin::Centrales centrales(standin::parse_centrales(
      "bulletin: " + host + ":2379\ncentrales:\n  - {count: 20, at: " + standin::own_host(11) +
          ":2905, lines: 4000}\n",
      "measure"));
  standin::ControllerSetup setup;
  setup.binary = o.binary;
  setup.dir =
      (std::filesystem::temp_directory_path() / ("reeltack-measure-" + std::to_string(::getpid()))).string();
  setup.sip = {host, 5060};
  setup.mgmt = net::to_text(management);
  setup.bulletin = host + ":2379";
  setup.known = centrales.known_json();
  setup.classes.push_back({"voice", 1500ms, 9s, 1.0, 0.25});
  setup.cpu = 0;
  load::Scenario scenario = load::parse_scenario(
      "seed: 7\nduration: " + std::to_string(o.for_s) +
          "s\narrivals: {process: poisson, rate: " + std::to_string(o.rate) +
          "}\nclasses:\n  - {name: voice, aim: 1500ms, deadline: 9s, patience: 35%, hold: {mean: 400ms}}\n"
          "first_choice: {places: 20}\nconnections: 100\nlimits: {lateness: 10ms}\n",
      "measure");
  const Time from = net::now();
  standin::Controller controller(std::move(setup));
  while (!mgmt::ask(management, "READY", net::now() + 1s).ok) net::pause_until(net::now() + 1ms);
  const Duration ready = net::now() - from;
  load::PlayerOptions options;
  options.targets.push_back({load::Target::Kind::sip, {host, 5060}});
  options.stop = &stopped();
  options.progress = progress_line(scenario.duration);
  catch_stop();
  std::atomic<bool> over{false};
  mgmt::Watch seen;
  std::thread asks([&] { seen = mgmt::watch_figures(management, 100ms, [&over](Time) { return !over; }); });
  std::thread stalls([&] { stall_on(management, over, o.stalled); });
  const auto played = load::play(scenario, options);
  over = true;
  asks.join();
  stalls.join();
  end_progress_line();
  const auto use = controller.use();
  const load::Tally& all = played->recorder.all();
  nlohmann::json out = watch_json(seen);
  out.update({{"ready_after_ms", ms(ready)},
              {"calls", all.started},
              {"stood", all.results[0]},
              {"call_p99_ms", ms(all.latency.percentile(0.99))},
              {"generator_sound", played->valid()},
              {"cpu_s", use.cpu_seconds},
              {"threads", use.threads}});
  std::cout << out.dump(shared.json ? -1 : 2) << "\n";
  return controller.stop() && watch_result(seen) == kGood ? kGood : kFailed;
}

}  // namespace

void add_measure(CLI::App& mgmt, Shared& shared) {
  auto o = std::make_shared<Options>();
  CLI::App* m = mgmt.add_subcommand(
      "measure", "Start stand-ins and reeltack on one core, load it, and time READY and STATS meanwhile");
  m->add_option("--reeltack", o->binary, "The program to start")->check(CLI::ExistingFile);
  m->add_option("--rate", o->rate, "Set-ups a second")
      ->capture_default_str()
      ->check(CLI::Range(1.0, 50000.0));
  m->add_option("--for", o->for_s, "Seconds")->capture_default_str()->check(CLI::Range(1.0, 600.0));
  m->add_option("--stalled", o->stalled, "Callers that send nothing or half a line")
      ->capture_default_str()
      ->check(CLI::Range(0, 63));
  m->callback([o, &shared] { shared.result = measure(*o, shared); });
}

}  // namespace reeltack::ctl
