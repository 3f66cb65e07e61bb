// Trunk groups' file: YAML held to share/schemas/trunks.schema.json, then the rules across keys.
//
// Owns: reading, checking and defaulting of trunk groups.
// Must never: let a group pass whose audits cannot free a stuck circuit within its bound.
#pragma once

#include <vector>

#include "trunk/trunk.h"

namespace reeltack::config {

std::vector<trunk::TrunkSettings> read_trunks(const std::string& path);  // throws yaml::Error
std::vector<trunk::TrunkSettings> parse_trunks(const std::string& text,
                                               const std::string& file);  // throws yaml::Error
const char* trunks_schema();

}  // namespace reeltack::config
