// Which rules there are: their types, who can change them when, how much a wrong one matters; and, for the
// decision module, how each is read back from its settings and laid over them.
//
// Owns: the list of the module's keys; the bounds that the platform's pages set, whatever a file says.
// Must never: hold a controller's own keys (seed, own place), give a default, or read a file.
//
// Keys: `module.NAME`, `class.CLASS.NAME`, `tenant.N.NAME`; and `classes`, the names in their order, which no
// version can change: a class more or one misspelt is seen by it.
//
// Threads: none. Errors: in words that name key, what was found and what would be right.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "rules/tree.h"

namespace reeltack::rules {

enum class Severity : std::uint8_t { notice, major, critical };
enum class Takes : std::uint8_t { live, at_start };  // when a running program takes it anew
const char* name_of(Severity severity);

// One rule of what is held in an `Of`.
template <class Of>
struct Entry {
  const char* name = "";
  Type type{};
  Severity severity{};
  std::string (*get)(const Of& of) = nullptr;
  bool (*set)(Of& of, std::string_view text) = nullptr;  // false: not spelt as its type
};

// What the module decides by, as one tree.
[[nodiscard]] Tree read_back(const Settings& settings, std::span<const std::string> class_names);
// Lays one rule over the settings; empty if it is done, else why not.
[[nodiscard]] std::string lay_over(Settings& settings, std::span<const std::string> class_names,
                                   std::string_view key, std::string_view value);
struct Meaning {
  Type type{};
  Severity severity{};
  Takes takes = Takes::at_start;
};
// Of a key of the module's; nothing: no rule has this key (for these classes).
[[nodiscard]] std::optional<Meaning> rule_info(std::string_view key, std::span<const std::string> class_names,
                                               std::size_t tenants);

// What no controller may run by, whoever approved it: attempts over five, a release guard under 300 ms, a
// class whose wanted time is longer than its give-up time. A line each; empty: none.
[[nodiscard]] std::vector<std::string> violated_bounds(const Tree& tree);
// How much it matters that `key` is `is` (none: not there) where another value is wanted: critical where it
// breaks one of those bounds by itself.
[[nodiscard]] Severity severity_of(std::string_view key, const std::optional<std::string>& is);

}  // namespace reeltack::rules
