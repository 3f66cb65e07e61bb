// The operators' file of the fleet of controllers: YAML held to share/schemas/controllers.schema.json, then
// the rules across keys.
//
// Owns: reading, checking and defaulting of the fleet's terms.
// Must never: let a file pass under which a controller could not be told from another, or start anything.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "config/config.h"
#include "fleet/coordinator/coordinator.h"

namespace reeltack::config {

struct Controllers {
  std::string fleet;
  std::uint64_t epoch = 0;
  std::string zone;
  base::Address listen;
  base::Address advertise;
  std::size_t size = 1;
  std::vector<base::Address> seeds;
  std::map<std::string, base::Address> via;
  std::string store;       // a folder; empty: nothing is kept
  std::string rules_file;  // of the version of the rules that an operator offers; empty: none
  Duration wall_offset{};  // for tests
  fleet::CoordinatorSettings
      turn;  // with the platform's rules on cold offices and the classes taken from `node`
};

Controllers read_controllers(const std::string& path, const Node& node);  // throws yaml::Error
Controllers parse_controllers(const std::string& text, const std::string& file, const Node& node);
const char* controllers_schema();

// What recovery takes of the platform's configuration, which is not written again.
void take_platform_terms(const Settings& settings, fleet::recovery::RecoverySettings& recovery);

// 64 bits of a name, the same on every machine (FNV-1a); never 0.
std::uint64_t hash_of(const std::string& name);
fleet::Endpoint endpoint_of(const base::Address& address);

}  // namespace reeltack::config
