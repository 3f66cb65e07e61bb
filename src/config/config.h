// All that the program is told: environment, JSON configuration and our own deploy file.
//
// Owns: reading, checking and defaulting of every key; the only place that does.
// Must never: let a key that cannot be read pass, or start anything.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/json.h"
#include "config/settings.h"
#include "core/core.h"

namespace reeltack::config {

// The text names the file and the key at fault.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Limits {
  double cores = 1.0;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
};

// One controller, as the platform (or a written application configuration) tells it.
struct Node {
  std::string name = "reeltack";
  std::optional<base::Address> listen;    // where SIP callers connect
  std::optional<base::Address> mgmt;      // the management address, for operators alone; none: off
  std::optional<base::Address> bulletin;  // none: the offices come from elsewhere
  std::uint64_t seed = 1;
  Limits limits;
  std::uint64_t known_no = 0;
  std::vector<core::OfficeEntry> known;  // the list after all events of the start
  Settings settings;
  std::string settings_text;  // as read, to tell whether it has changed
  std::vector<std::string> class_names;
  Duration dial_limit = std::chrono::milliseconds(500);
};

// Our own deploy file: the second front and the zone. All off where nothing says otherwise.
struct Fronts {
  std::optional<base::Address> websocket;  // clients at /calls, centrales at /centrales
  std::size_t websocket_connections = 128;
  std::vector<std::string> websocket_origins;  // of browsers; none: any
  std::optional<base::Address> updates;        // dynamic updates of the zone
  std::string zone_file;
  std::string zone_service;  // the owner name whose SRV records are the offices
  std::string trunks_file;   // YAML, read by config/trunks
  std::string fleet_file;    // YAML of the fleet of controllers, read by config/controllers
  std::string admin_socket;  // a path; for operators of this user alone
};

std::string read_file(const std::string& path);
base::Json read_json(const std::string& path);
Node read_node(const base::Json& json, const std::string& source);
Fronts read_fronts(const base::Json& json, const std::string& source);

// The keys that differ and that a running program does not take anew.
std::vector<std::string> changed_but_kept(const Node& running, const Node& read);

// From PROXY_CONFIG, with PROXY_NAME, PROXY_LISTEN and PROXY_MGMT before the file's own words.
Node node_from_environment();

}  // namespace reeltack::config
