// The operators' file of a version of the rules: YAML held to share/schemas/rules.schema.json, then each key
// to the rules that there are, in their one spelling.
//
// Owns: reading and checking it; laying an approved version over what the files of this start say.
// Must never: let a version pass that names no rule, or run a controller by one that its own checks refuse.
//
// Errors: parse_version() and read_version() throw yaml::Error, which names file, line, column and key.
#pragma once

#include <string>
#include <vector>

#include "config/controllers.h"
#include "fleet/drift/version.h"

namespace reeltack::config {

fleet::drift::Version read_version(const std::string& path, const Node& node);
fleet::drift::Version parse_version(const std::string& text, const std::string& file, const Node& node);
const char* rules_schema();

// All that this process is told to decide by, as one tree.
rules::Tree rules_of(const Node& node, const Controllers& controllers);
// Lays what the version asks of this controller over both: all of it, or nothing and why (a line each).
std::vector<std::string> lay_over(Node& node, Controllers& controllers, const fleet::drift::Version& version);

}  // namespace reeltack::config
