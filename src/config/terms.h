// The fleet's terms as rules: `fleet.NAME`, of what a turn was set to.
//
// Owns: the list of these keys. Must never: hold a controller's own terms (addresses, zone, store, seeds).
// Threads: none. Errors: in words that name the key.
#pragma once

#include <string>
#include <string_view>

#include "fleet/coordinator/coordinator.h"
#include "rules/catalogue.h"

namespace reeltack::config {

void add_terms(const fleet::CoordinatorSettings& settings, rules::Tree& to);
// Lays one over the settings; empty if it is done, else why not.
std::string lay_over(fleet::CoordinatorSettings& settings, std::string_view key, std::string_view value);
std::optional<rules::Type> type_of_term(std::string_view key);  // nothing: no term has this key

}  // namespace reeltack::config
