// The log of stand-in centrales as text: an event a line.
//
// Owns: the spelling of an event.
// Must never: judge what a log tells.
//
// Any thread. Errors: std::runtime_error with file, line and fault.
#pragma once

#include <string>
#include <vector>

#include "load/plan/rules.h"

namespace reeltack::standin {

// An event as one JSON object, and a file of them back.
std::string as_json(const load::OfficeEvent& event);
std::vector<load::OfficeEvent> read_log(const std::string& path);

}  // namespace reeltack::standin
