// Usual callers beside connections that pipeline sound set-ups faster than all the offices could answer.
#pragma once

#include <unistd.h>

#include <memory>
#include <string>
#include <thread>

#include "load/player.h"
#include "standin/centrales.h"
#include "standin/controller.h"

namespace reeltack::load {

struct FloodPlan {
  Target::Kind front = Target::Kind::sip;
  std::size_t usual_connections = 23;
  std::size_t flooding_connections = 1;
  double flood_rate = 3000.0;  // set-ups a second on all of these connections together
  Duration duration = std::chrono::seconds(10);
  std::string binary;
  std::string dir;  // of the controller; made, and removed at the end
};

struct FloodResult {
  std::unique_ptr<Played> usual;
  std::unique_ptr<Played> flood;  // null: none was asked for
  double controller_cpu_seconds = 0.0;
  double controller_resident_mb = 0.0;
  bool ended_well = false;
  [[nodiscard]] double usual_worth() const {
    return usual->recorder.all().worth_earned / usual->recorder.all().worth_offered;
  }
};

// Three centrales of some 20 calls a second each, of which the usual callers ask for two thirds.
inline standin::CentralesSettings flood_centrales() {
  return standin::parse_centrales("bulletin: " + standin::own_host(2) +
                                      ":2379\ncentrales:\n  - {count: 3, at: \"" + standin::own_host(10) +
                                      ":2905\", lines: 400, processor: {set_up: 22ms, answer: 11ms, release: "
                                      "11ms, refuse: 5ms, repeat: 5ms}}\n",
                                  "flood");
}

inline Scenario usual_calls(const FloodPlan& plan) {
  using namespace std::chrono_literals;
  Scenario scenario;
  scenario.seed = 7;
  scenario.duration = plan.duration;
  scenario.rate = 40.0;
  scenario.classes = {
      {.name = "status", .share = 0.6, .aim = 1500ms, .deadline = 9s, .worth = 1.0, .hold_mean = 1s},
      {.name = "order", .share = 0.2, .aim = 2s, .deadline = 9s, .worth = 3.0, .hold_mean = 1s},
      {.name = "position", .share = 0.2, .aim = 2500ms, .deadline = 9s, .worth = 1.0, .hold_mean = 1s}};
  scenario.places = 3;
  scenario.connections = plan.usual_connections;
  scenario.lateness_bound = 10s;
  return scenario;
}

// All of the class of the least worth, begun anew as soon as one is refused.
inline Scenario flooding_calls(const FloodPlan& plan) {
  Scenario scenario = usual_calls(plan);
  scenario.seed = 8;
  scenario.process = Process::constant;
  scenario.rate = plan.flood_rate;
  scenario.classes[0].share = 0.0;
  scenario.classes[1].share = 0.0;
  scenario.classes[2].share = 1.0;
  scenario.numbers = 1'000'000;
  scenario.connections = plan.flooding_connections;
  return scenario;
}

inline FloodResult play_flood(const FloodPlan& plan) {
  using namespace std::chrono_literals;
  standin::Centrales centrales(flood_centrales());
  standin::ControllerSetup setup;
  setup.binary = plan.binary;
  setup.dir = plan.dir;
  setup.sip = {standin::own_host(1), 5060};
  setup.websocket = standin::own_host(1) + ":5070";
  setup.bulletin = standin::own_host(2) + ":2379";
  setup.known = centrales.known_json();
  for (const LoadClass& c : usual_calls(plan).classes)
    setup.classes.push_back({c.name, c.aim, c.deadline, c.worth, c.late_worth});
  standin::Controller controller(std::move(setup));
  PlayerOptions options;
  const bool sip = plan.front == Target::Kind::sip;
  options.targets = {{plan.front, {standin::own_host(1), static_cast<std::uint16_t>(sip ? 5060 : 5070)}}};
  FloodResult result;
  std::thread flooder([&] {
    if (plan.flooding_connections > 0) result.flood = play(flooding_calls(plan), options);
  });
  result.usual = play(usual_calls(plan), options);
  flooder.join();
  const auto use = controller.use();
  result.controller_cpu_seconds = use.cpu_seconds;
  result.controller_resident_mb = use.resident_mb;
  result.ended_well = controller.stop();
  return result;
}

}  // namespace reeltack::load
