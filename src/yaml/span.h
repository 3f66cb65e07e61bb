// Times as operators write them: "500ms", "1.5s", "2min".
//
// Owns: the units and their spelling.
// Must never: take a bare number for a time.
#pragma once

#include <string>

#include "reeltack/controller.h"

namespace reeltack::yaml {

Duration parse_span(const std::string& text);  // throws std::invalid_argument; at most 24h
std::string show_span(Duration span);

}  // namespace reeltack::yaml
