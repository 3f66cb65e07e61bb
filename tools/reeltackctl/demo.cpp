// reeltackctl demo: stand-in centrales, a bulletin, reeltack, and a Carnival surge of 20 s.
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>
#include <memory>

#include "commands.h"
#include "load/report.h"
#include "load/scenario_file.h"
#include "standin/centrales.h"
#include "standin/controller.h"

namespace reeltack::ctl {
namespace {

using namespace std::chrono_literals;

// The operators' classes and a day's surge, at the size of one controller with three centrales.
constexpr const char* kScenario = R"(
seed: 7
duration: 20s
arrivals: {process: poisson, rate: 40}
shape:
  - {at: 5s, factor: 1.4, rise: 500ms, hold: 3s, fall: 500ms}
  - {at: 11s, factor: 1.8, rise: 500ms, hold: 4s, fall: 1s}
classes:
  - {name: estado-viaje, share: 0.61, aim: 1500ms, deadline: 9s, patience: 35%, worth: 1, hold: {mean: 2s}}
  - {name: pedido-viaje, share: 0.17, aim: 2s, deadline: 9s, patience: 35%, worth: 3, hold: {mean: 3s}}
  - {name: posicion-movil, share: 0.22, aim: 2500ms, deadline: 9s, patience: 35%, worth: 1, hold: {mean: 1s}}
redial: {most: 3, wait: 500ms, spread: 50%, cut: true}
first_choice: {places: 3, drift: [5s, 10s]}
numbers: {count: 10000, zipf: 1.0}
connections: 8
)";

int demo(const std::string& report, const std::string& binary, const Shared& shared) {
  const std::string host = standin::own_host(1);
  standin::CentralesSettings settings = standin::parse_centrales(
      "bulletin: " + host + ":2379\ncentrales:\n  - {count: 3, at: " + standin::own_host(11) +
          ":2905, lines: 200, processor: {set_up: 22ms, answer: 11ms, release: 11ms, refuse: 5ms, repeat: "
          "5ms}}\n"
          "troubles:\n  - {at: 13s, do: slow, centrales: [1], factor: 2.5, lasts: 3s}\n",
      "demo");
  standin::Centrales centrales(settings);
  standin::ControllerSetup setup;
  setup.binary = binary;
  setup.dir =
      (std::filesystem::temp_directory_path() / ("reeltack-demo-" + std::to_string(::getpid()))).string();
  setup.name = "demo";
  setup.sip = {host, 5060};
  setup.bulletin = host + ":2379";
  setup.known = centrales.known_json();
  const load::Scenario scenario = load::parse_scenario(kScenario, "demo");
  for (const auto& c : scenario.classes)
    setup.classes.push_back({c.name, c.aim, c.deadline, c.worth, c.late_worth});
  standin::Controller controller(std::move(setup));
  spdlog::info("3 centrales, a bulletin and {} are up; a surge of 1.4 and 1.8 times follows", binary);
  load::PlayerOptions options;
  options.targets.push_back({load::Target::Kind::sip, {host, 5060}});
  options.stop = &stopped();
  options.progress = progress_line(scenario.duration);
  catch_stop();
  const auto played = load::play(scenario, options);
  end_progress_line();
  const auto use = controller.use();
  const bool ended_well = controller.stop();
  load::RulesChecker checker;
  for (const auto& event : centrales.take_log()) checker.take(event);
  checker.finish();
  load::write_report(report, *played, &checker.found());
  auto json = load::report_json(*played, &checker.found());
  json["controller"] = {
      {"cpu_s", use.cpu_seconds}, {"resident_mb", use.resident_mb}, {"ended_well", ended_well}};
  if (shared.json) {
    std::cout << json.dump() << "\n";
  } else {
    std::cout << load::show_report(json) << "controller " << use.cpu_seconds << " s of CPU, "
              << use.resident_mb << " MB\n"
              << "report    " << report << "/report.html\n";
  }
  return ended_well && played->valid() && checker.found().total() == 0 && json["violations"]["total"] == 0
             ? kGood
             : kFailed;
}

}  // namespace

void add_demo(CLI::App& app, Shared& shared) {
  auto report = std::make_shared<std::string>("reeltack-demo");
  auto binary = std::make_shared<std::string>(own_folder() + "/reeltack");
  CLI::App* d = app.add_subcommand(
      "demo", "Start stand-ins and reeltack, play a Carnival surge of 20 s, write the report");
  d->add_option("--report", *report, "Folder of the report")->capture_default_str();
  d->add_option("--reeltack", *binary, "The program to start")->check(CLI::ExistingFile);
  d->callback([report, binary, &shared] { shared.result = demo(*report, *binary, shared); });
}

}  // namespace reeltack::ctl
