#include "config/config.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "config/section.h"

namespace reeltack::config {
namespace {

using base::Json;

// The settings as path=value lines, the spelling that one reader serves both wires by.
void flatten(const Json& json, const std::string& path, std::string& out) {
  const auto line = [&out](const std::string& key, std::string value) {
    for (char& c : value) {
      if (c == ' ' || c == '\n') c = '_';
    }
    out += key + "=" + value + "\n";
  };
  if (const auto* fields = json.object()) {
    for (const auto& [key, value] : *fields)
      flatten(value, path.empty() ? key : std::string(path).append(".").append(key), out);
  } else if (const auto* items = json.array()) {
    std::string joined;
    bool plain = true;
    for (const Json& item : *items) {
      const auto text = item.plain();
      plain = plain && text;
      if (text) joined += (joined.empty() ? "" : ",") + *text;
    }
    if (plain) return line(path, joined);
    line(path + ".count", std::to_string(items->size()));
    for (std::size_t i = 0; i < items->size(); ++i) flatten((*items)[i], path + "." + std::to_string(i), out);
  } else if (const auto text = json.plain()) {
    line(path, *text);
  }
}

core::OfficeEntry read_endpoint(const Section& at) {
  core::OfficeEntry out;
  const auto id = base::parse_office_name(at.text("name"));
  if (!id) at.fail("name", "must be s- and 8 hex digits, not '" + at.text("name") + "'");
  out.entry.server = *id;
  const auto address = at.address("address");
  if (!address) at.fail("address", "is missing");
  out.address = base::to_text(*address);
  const std::string state = at.text("status");
  if (state == "in_service") {
    out.entry.state = ServerState::ready;
  } else if (state == "terminating") {
    out.entry.state = ServerState::draining;
  } else if (state == "terminated") {
    out.entry.state = ServerState::gone;
  } else {
    at.fail("status", "must be in_service, terminating or terminated, not '" + state + "'");
  }
  out.entry.place = static_cast<std::uint32_t>(at.number("group", 0, 65535, 0.0));
  out.entry.capacity = at.number("weight", 0, 1.0e9, 1.0);
  const double since = at.number("since_ms", 0, 9.0e12, 0.0);
  out.entry.start = StartId{static_cast<std::uint64_t>(since)};
  return out;
}

void read_known(const Section& known, Node& node) {
  if (!known.given()) return;
  node.known_no = static_cast<std::uint64_t>(known.number("no", 0, 9.0e15));
  const Json* items = known.find("items");
  if (items == nullptr || items->array() == nullptr) known.fail("items", "must be a list");
  std::map<ServerId, core::OfficeEntry> list;
  for (std::size_t i = 0; i < items->array()->size(); ++i) {
    const Section item(&(*items->array())[i], known.path() + ".items." + std::to_string(i));
    const Section roster = item.at("roster");
    if (!roster.given()) continue;
    const Json* endpoints = roster.find("endpoints");
    if (endpoints == nullptr || endpoints->array() == nullptr) roster.fail("endpoints", "must be a list");
    if (roster.flag("snapshot", false)) list.clear();
    for (std::size_t e = 0; e < endpoints->array()->size(); ++e) {
      const core::OfficeEntry entry =
          read_endpoint({&(*endpoints->array())[e], roster.path() + ".endpoints." + std::to_string(e)});
      list[entry.entry.server] = entry;
    }
  }
  for (const auto& [id, entry] : list) node.known.push_back(entry);
}

}  // namespace

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw ConfigError(path + ": cannot be read");
  return text.str();
}

Json read_json(const std::string& path) {
  const std::string text = read_file(path);
  try {
    Json out = Json::parse(text);
    if (out.object() == nullptr) throw ConfigError(path + ": must hold a JSON object");
    return out;
  } catch (const base::JsonError& error) {
    throw ConfigError(path + ": " + error.what());
  }
}

Node read_node(const Json& json, const std::string& source) {
  const Section top(&json, source);
  Node out;
  out.name = top.text("name", "reeltack");
  out.listen = top.address("listen");
  out.mgmt = top.address("mgmt");
  out.bulletin = top.address("bulletin");
  const std::string seed = top.text("seed", "0000000000000001");
  if (seed.empty() || seed.size() > 16 ||
      seed.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    top.fail("seed", "must be up to 16 hex digits, not '" + seed + "'");
  out.seed = std::strtoull(seed.c_str(), nullptr, 16);
  const Section limits = top.at("limits");
  out.limits.cores = limits.number("cores", 0.01, 1024, out.limits.cores);
  out.limits.memory_mb = static_cast<std::size_t>(limits.number("memory_mb", 16, 1.0e7, 192.0));
  out.limits.sockets = static_cast<std::size_t>(limits.number("sockets", 32, 1.0e7, 1024.0));
  read_known(top.at("known"), out);
  const Json* settings = top.find("settings");
  if (settings == nullptr || settings->object() == nullptr) top.fail("settings", "must be an object");
  std::string lines;
  flatten(*settings, "", lines);
  out.settings_text = lines;
  try {
    out.settings = wire::parse_settings(lines).settings;
  } catch (const wire::SettingsError& error) {
    throw ConfigError(source + ".settings: " + error.what());
  }
  const Json* classes = settings->find("Classes");
  if (classes == nullptr || classes->array() == nullptr) top.fail("settings.Classes", "must be a list");
  for (std::size_t i = 0; i < classes->array()->size(); ++i) {
    const Section one(&(*classes->array())[i], source + ".settings.Classes." + std::to_string(i));
    out.class_names.push_back(one.text("Name"));
    if (std::count(out.class_names.begin(), out.class_names.end(), out.class_names.back()) > 1)
      one.fail("Name", "names a class twice");
  }
  const Section limits_of_policy = top.at("settings").at("PolicyLimits");
  out.dial_limit =
      Duration{static_cast<std::int64_t>(limits_of_policy.number("DialTimeoutNs", 1.0e6, 6.0e10, 5.0e8))};
  return out;
}

std::vector<std::string> changed_but_kept(const Node& running, const Node& read) {
  const auto text = [](const std::optional<base::Address>& a) {
    return a ? base::to_text(*a) : std::string();
  };
  std::vector<std::string> out;
  if (running.name != read.name) out.emplace_back("name");
  if (text(running.listen) != text(read.listen)) out.emplace_back("listen");
  if (text(running.mgmt) != text(read.mgmt)) out.emplace_back("mgmt");
  if (running.limits.cores != read.limits.cores || running.limits.memory_mb != read.limits.memory_mb ||
      running.limits.sockets != read.limits.sockets)
    out.emplace_back("limits");
  if (running.settings_text != read.settings_text) out.emplace_back("settings");
  return out;
}

Node node_from_environment() {
  const char* path = std::getenv("PROXY_CONFIG");
  if (path == nullptr) throw ConfigError("PROXY_CONFIG: is missing from the environment");
  Node out = read_node(read_json(path), path);
  if (const char* name = std::getenv("PROXY_NAME")) out.name = name;
  if (const char* listen = std::getenv("PROXY_LISTEN")) {
    out.listen = base::parse_address(listen);
    if (!out.listen)
      throw ConfigError("PROXY_LISTEN: must be an address as 127.0.0.1:2905, not '" + std::string(listen) +
                        "'");
  }
  if (const char* mgmt = std::getenv("PROXY_MGMT")) {
    out.mgmt = base::parse_address(mgmt);
    if (!out.mgmt)
      throw ConfigError("PROXY_MGMT: must be an address as 127.0.0.1:2906, not '" + std::string(mgmt) + "'");
  }
  return out;
}

}  // namespace reeltack::config
