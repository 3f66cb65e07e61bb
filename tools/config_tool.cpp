// reeltack-config: writes an application's configuration, and checks one with the program's own reader.
//
// Owns: the command line and the templates it writes.
// Must never: have an opinion of its own on what is valid; src/config/ and src/dns/ decide that.
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>

#include "config/config.h"
#include "dns/zone.h"

namespace {

using namespace reeltack;

constexpr const char* kUsage =
    "usage: reeltack-config write DIR [--name NAME] [--listen HOST:PORT] [--websocket HOST:PORT]\n"
    "                       [--service DOMAIN. --zone FILE [--updates HOST:PORT]] [--class "
    "NAME:AIM_MS:WORTH]...\n"
    "       reeltack-config check CONFIG.json [FRONTS.json]\n";

class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Wanted {
  std::string name = "reeltack", listen, websocket, service, zone, updates;
  std::vector<std::string> classes;
};

std::string class_json(const std::string& spec) {
  const std::size_t one = spec.find(':');
  const std::size_t two = one == std::string::npos ? one : spec.find(':', one + 1);
  if (one == 0 || two == std::string::npos)
    throw UsageError("--class: must be NAME:AIM_MS:WORTH, not '" + spec + "'");
  const auto aim = base::read_number(spec.substr(one + 1, two - one - 1));
  const auto worth = base::read_number(spec.substr(two + 1));
  if (!aim || *aim < 1.0 || *aim > 3.6e6)
    throw UsageError("--class: AIM_MS must be a number from 1 to 3600000");
  if (!worth || *worth <= 0.0) throw UsageError("--class: WORTH must be a number above 0");
  const auto ns = static_cast<long long>(*aim * 1.0e6);
  return "{\"Name\": " + base::quoted(spec.substr(0, one)) + ", \"GoalTimeNs\": " + std::to_string(ns) +
         ", \"DeadlineNs\": " + std::to_string(6 * ns) + ", \"Points\": " + spec.substr(two + 1) +
         ", \"LateValue\": 0.25, \"Effect\": \"repeatable\"}";
}

void write_checked(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::trunc);
  if (!(out << text) || !out.flush()) throw config::ConfigError(path + ": cannot be written");
}

void check(const std::string& node_file, const std::string& fronts_file) {
  const config::Node node = config::read_node(config::read_json(node_file), node_file);
  std::cout << node_file << ": good, " << node.class_names.size() << " classes, " << node.known.size()
            << " offices known\n";
  if (fronts_file.empty()) return;
  const config::Fronts fronts = config::read_fronts(config::read_json(fronts_file), fronts_file);
  std::cout << fronts_file << ": good, WebSocket "
            << (fronts.websocket ? base::to_text(*fronts.websocket) : "off") << "\n";
  if (fronts.zone_file.empty()) return;
  const dns::Zone zone = dns::Zone::read(config::read_file(fronts.zone_file), fronts.zone_file);
  std::vector<std::string> missing;
  const auto offices = zone.offices(fronts.zone_service, &missing);
  if (!missing.empty())
    throw dns::ZoneError(fronts.zone_file + ": " + fronts.zone_service + " names " + missing.front() +
                         ", which has no address");
  if (!dns::within(fronts.zone_service, zone.origin()))
    throw config::ConfigError(fronts_file + ".zone.service: lies outside the zone " + zone.origin());
  std::cout << fronts.zone_file << ": good, " << offices.size() << " offices\n";
}

void write(const std::string& dir, const Wanted& w) {
  std::string classes;
  for (const std::string& spec : w.classes)
    classes += (classes.empty() ? "" : ",\n      ") + class_json(spec);
  std::string node = "{\n  \"name\": " + base::quoted(w.name) + ",\n";
  if (!w.listen.empty()) node += "  \"listen\": " + base::quoted(w.listen) + ",\n";
  node +=
      "  \"seed\": \"0000000000000001\",\n"
      "  \"limits\": {\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024},\n"
      "  \"settings\": {\n    \"Balancers\": 1,\n    \"Classes\": [\n      " +
      classes +
      "\n    ],\n    \"Domain\": {\"Shape\": \"pools\", \"ReleaseGuardNs\": 300000000},\n"
      "    \"Obligations\": {\"ColdFrom\": 0.33, \"RampTimeNs\": 15000000000, \"FallMultiple\": 2.0, "
      "\"FallNs\": 1000000000},\n"
      "    \"PolicyLimits\": {\"AttemptsCap\": 5, \"Cancel\": true, \"RetryAfter\": true, "
      "\"MaxRetryAfterNs\": 2000000000, \"DialTimeoutNs\": 500000000},\n"
      "    \"TickNs\": 5000000\n  }\n}\n";
  std::string fronts = "{\n  \"websocket\": {\"on\": " + std::string(w.websocket.empty() ? "false" : "true");
  if (!w.websocket.empty()) fronts += ", \"listen\": " + base::quoted(w.websocket);
  fronts += "},\n  \"zone\": {\"on\": " + std::string(w.zone.empty() ? "false" : "true");
  if (!w.zone.empty())
    fronts += ", \"file\": " + base::quoted(w.zone) + ", \"service\": " + base::quoted(w.service);
  if (!w.updates.empty()) fronts += ", \"updates\": " + base::quoted(w.updates);
  fronts += "}\n}\n";
  write_checked(dir + "/config.json", node);
  write_checked(dir + "/fronts.json", fronts);
  check(dir + "/config.json", dir + "/fronts.json");
}

int run(const std::vector<std::string>& words) {
  if (words.size() >= 2 && words.size() <= 3 && words[0] == "check") {
    check(words[1], words.size() > 2 ? words[2] : "");
    return 0;
  }
  if (words.size() < 2 || words[0] != "write" || words.size() % 2 != 0) throw UsageError("what is wanted?");
  Wanted w;
  for (std::size_t i = 2; i < words.size(); i += 2) {
    const std::string& value = words[i + 1];
    if (words[i] == "--class") {
      w.classes.push_back(value);
      continue;
    }
    std::string* to = words[i] == "--name"        ? &w.name
                      : words[i] == "--listen"    ? &w.listen
                      : words[i] == "--websocket" ? &w.websocket
                      : words[i] == "--service"   ? &w.service
                      : words[i] == "--zone"      ? &w.zone
                      : words[i] == "--updates"   ? &w.updates
                                                  : nullptr;
    if (to == nullptr) throw UsageError(words[i] + ": is not an option");
    *to = value;
  }
  if (w.classes.empty()) throw UsageError("--class: at least one is needed");
  if (w.zone.empty() != w.service.empty()) throw UsageError("--zone: goes with --service");
  write(words[1], w);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run({argv + 1, argv + argc});
  } catch (const UsageError& error) {
    std::fprintf(stderr, "reeltack-config: %s\n%s", error.what(), kUsage);
    return 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "reeltack-config: %s\n", error.what());
    return 1;
  }
}
