// Implementation of the rig.
#include "rig.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "load/scenario_file.h"

namespace reeltack::rig {

Rig::Rig(RigSettings settings) : settings_(std::move(settings)), host_(standin::own_host(1)) {
  std::string file = (settings_.two_lists ? "" : "bulletin: " + host_ + ":2379\n") +
                     "seed: " + std::to_string(settings_.seed) +
                     "\ncentrales:\n  - {count: " + std::to_string(settings_.offices) +
                     ", at: " + standin::own_host(11) +
                     ":2905, lines: 2000, processor: " + settings_.processor + "}\n";
  if (!settings_.troubles.empty()) file += "troubles:\n" + settings_.troubles;
  offices_ = std::make_unique<standin::Centrales>(standin::parse_centrales(file, "rig"));
  standin::BetweenSettings between;
  for (std::size_t i = 0; i < settings_.controllers; ++i) between.members.push_back({name(i), link(i)});
  between.members.push_back({"bulletin", {host_, 2379}});
  if (settings_.two_lists) {
    between.members.push_back({"bulletin2", {host_, 2380}});
    lists_ = std::make_unique<Lists>(std::vector<base::Address>{{host_, 2379}, {host_, 2380}});
    std::vector<standin::Bulletin::Entry> all;
    for (std::size_t i = 0; i < settings_.offices; ++i) all.push_back(entry(i));
    for (const std::size_t list : {0, 1}) lists_->tell(list, all);
  }
  between.relays = {standin::own_host(2), 20000};
  between.seed = settings_.seed;
  between_ = std::make_unique<standin::Between>(std::move(between));
  standin::PackSettings pack;
  for (std::size_t i = 0; i < settings_.controllers; ++i) pack.members.push_back(setup(i));
  pack_ = std::make_unique<standin::Pack>(std::move(pack));
}

standin::Bulletin::Entry Rig::entry(std::size_t office) const {
  return {static_cast<std::uint32_t>(office + 1),
          {standin::own_host(11 + static_cast<int>(office)), 2905},
          0,
          static_cast<std::uint32_t>(office),
          1.0,
          0};
}

std::int64_t Rig::figure(std::size_t i, const std::string& name) const {
  try {
    const auto all = mgmt::parse_figures(mgmt::ask(mgmt(i), "STATS", base::now() + 1s).text);
    const auto found = all.find("fleet_" + name);
    return found == all.end() ? -1 : static_cast<std::int64_t>(found->second);
  } catch (const std::exception&) {
    return -1;
  }
}

Time Rig::ready_time_of(std::size_t i, Duration limit) const {
  for (const Time by = base::now() + limit; base::now() < by; std::this_thread::sleep_for(2ms)) {
    try {
      if (mgmt::ask(mgmt(i), "READY", by).ok) break;
    } catch (const mgmt::MgmtError&) {  // not listening yet
    }
  }
  return base::now();
}

std::int64_t Rig::list_number() const {
  return nlohmann::json::parse(offices_->known_json())["no"].get<std::int64_t>();
}

load::Scenario Rig::scenario() const {
  load::Scenario out = load::parse_scenario(
      "seed: " + std::to_string(settings_.seed) + "\nduration: " +
          std::to_string(
              std::chrono::duration_cast<std::chrono::milliseconds>(settings_.load_duration).count()) +
          "ms\narrivals: {process: poisson, rate: " + std::to_string(settings_.rate) + R"(}
classes:
  - {name: estado-viaje, share: 0.61, aim: 1500ms, deadline: 9s, patience: 35%, worth: 1, hold: {mean: 1s}}
  - {name: pedido-viaje, share: 0.17, aim: 2s, deadline: 9s, patience: 35%, worth: 3, hold: {mean: 1s}}
  - {name: posicion-movil, share: 0.22, aim: 2500ms, deadline: 9s, patience: 35%, worth: 1, hold: {mean: 1s}}
redial: {most: 3, wait: 500ms, spread: 50%, cut: true}
numbers: {count: 100000, zipf: 0}
connections: 24
)",
      "rig");
  out.lateness_bound = 10s;  // tolerates a busy machine
  return out;
}

standin::ControllerSetup Rig::setup(std::size_t i) const {
  standin::ControllerSetup out;
  out.binary = i == 0 && !settings_.first_binary.empty() ? settings_.first_binary : settings_.binary;
  out.dir = (std::filesystem::temp_directory_path() /
             ("reeltack-rig-" + std::to_string(::getpid()) + "-" + std::to_string(i)))
                .string();
  out.name = name(i);
  if (settings_.fleet && i + settings_.without_fleet < settings_.controllers) out.fleet = yaml(i);
  out.sip = sip(i);
  out.mgmt = base::to_text(mgmt(i));
  if (settings_.offices_known) {
    const bool second = settings_.two_lists && i >= settings_.controllers / 2;
    out.bulletin = base::to_text(between_->relay(name(i), second ? "bulletin2" : "bulletin"));
    out.known = offices_->known_json();
  }
  out.gateways = static_cast<std::uint32_t>(settings_.controllers);
  out.ramp = settings_.ramp;
  for (const auto& c : scenario().classes)
    out.classes.push_back({c.name, c.aim, c.deadline, c.worth, c.late_worth});
  if (settings_.adjust) settings_.adjust(i, out);
  return out;
}

std::string Rig::yaml(std::size_t i) const {
  std::string seeds;
  for (std::size_t s = 0; s < std::min<std::size_t>(3, settings_.controllers); ++s) {
    if (s != i)
      seeds += (seeds.empty() ? "" : ", ") + ("\"" + base::to_text(between_->relay(name(i), name(s))) + "\"");
  }
  std::string out = "fleet:\n  id: rig\n  zone: z" + std::to_string(i % settings_.zones) + "\n  listen: \"" +
                    base::to_text(link(i)) +
                    "\"\n  size: " + std::to_string(settings_.controllers - settings_.without_fleet) +
                    "\n  seeds: [" + seeds + "]\n  via: " + between_->via_yaml(name(i)) + "\n";
  if (settings_.store)
    out += "  store: \"" +
           (std::filesystem::temp_directory_path() /
            ("reeltack-rig-" + std::to_string(::getpid()) + "-" + std::to_string(i)) / "store")
               .string() +
           "\"\n";
  if (settings_.rules)
    out += "  rules: \"" +
           (std::filesystem::temp_directory_path() /
            ("reeltack-rig-" + std::to_string(::getpid()) + "-" + std::to_string(i)) / "rules.yaml")
               .string() +
           "\"\n";
  if (!settings_.recovery.empty()) out += "  recovery: " + settings_.recovery + "\n";
  return out;
}

}  // namespace reeltack::rig
