// What a start does before there is a core: opens the store, and lays the approved rules over the files'.
//
// Owns: that order. Must never: let a process run by rules that its own checks refuse; it says so in the log
// and goes on by the files. Errors: std::runtime_error where another process has the store; the text names
// it.
#pragma once

#include <memory>

#include "config/controllers.h"
#include "fleet/service/keeping.h"

namespace reeltack::fleet {

struct Prepared {
  config::Controllers controllers;
  std::unique_ptr<FleetStorage> keeping;
};
// `node` is changed where an approved version asks for it.
Prepared prepare(config::Controllers controllers, config::Node& node);

}  // namespace reeltack::fleet
