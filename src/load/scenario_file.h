// Scenario files: YAML held to share/schemas/scenario.schema.json, then the rules across keys.
//
// Owns: reading, checking and defaulting of a scenario.
// Must never: let a key that cannot mean anything pass.
#pragma once

#include "load/plan/scenario.h"
#include "yaml/document.h"
#include "yaml/span.h"

namespace reeltack::load {

Scenario read_scenario(const std::string& path);                            // throws yaml::Error
Scenario parse_scenario(const std::string& text, const std::string& file);  // throws yaml::Error
const char* scenario_schema();                                              // as it ships

using yaml::parse_span;
using yaml::show_span;

}  // namespace reeltack::load
