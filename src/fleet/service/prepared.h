// The part of the start that precedes the core: opens the store, then applies the approved rules over those
// of the files.
//
// If the node's own checks refuse the approved rules, that is logged and the files' rules stay in effect.
// Errors: std::runtime_error if another process holds the store; the text names the store.
#pragma once

#include <memory>

#include "config/controllers.h"
#include "fleet/service/fleet_storage.h"

namespace reeltack::fleet {

struct Prepared {
  config::Controllers controllers;
  std::unique_ptr<FleetStorage> storage;
};
// Changes `node` where an approved version requires it.
Prepared prepare(config::Controllers controllers, config::Node& node);

}  // namespace reeltack::fleet
