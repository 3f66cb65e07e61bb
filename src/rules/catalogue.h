// The catalogue of the decision module's rules: their types and severities, when a change takes effect, and
// how each is read from and written to the module's settings. Also the bounds that the platform sets,
// whatever a file contains.
//
// Keys: `module.NAME`, `class.CLASS.NAME`, `tenant.N.NAME`; and `classes`, the class names in order, which no
// version can change: comparing it shows an extra or misspelt class. A controller's own keys (seed, own
// place) and default values are not in the catalogue.
//
// Thread safety: stateless functions. Errors are texts that name the key, the value found and what is
// required.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "rules/tree.h"

namespace reeltack::rules {

enum class Severity : std::uint8_t { notice, major, critical };
enum class Activation : std::uint8_t { live, at_start };  // when a running program applies a change
const char* name_of(Severity severity);

// One rule of the settings of type `Of`.
template <class Of>
struct Entry {
  const char* name = "";
  Type type{};
  Severity severity{};
  std::string (*get)(const Of& of) = nullptr;
  bool (*set)(Of& of, std::string_view text) = nullptr;  // false: not the canonical form of its type
};

// All rules of the module, from its settings.
[[nodiscard]] Tree rules_of(const Settings& settings, std::span<const std::string> class_names);
// Sets one rule in the settings. Returns an empty text, or an error text if the rule is unknown or its value
// invalid.
[[nodiscard]] std::string apply_rule(Settings& settings, std::span<const std::string> class_names,
                                     std::string_view key, std::string_view value);
struct RuleInfo {
  Type type{};
  Severity severity{};
  Activation takes = Activation::at_start;
};
// Describes a key of the module; nothing: no rule has this key (for these classes).
[[nodiscard]] std::optional<RuleInfo> rule_info(std::string_view key,
                                                std::span<const std::string> class_names,
                                                std::size_t tenants);

// Violations of bounds that hold for every controller, even for approved rules: not 1 to 5 attempts, a
// release guard under 300 ms, a class whose aim is longer than its deadline. One line each.
[[nodiscard]] std::vector<std::string> violated_bounds(const Tree& tree);
// The severity of `key` having the value `actual` (nothing: absent) where another one is expected: that
// of its rule, but critical if the value alone violates the bound on attempts or the release guard.
[[nodiscard]] Severity severity_of(std::string_view key, const std::optional<std::string>& actual);

}  // namespace reeltack::rules
