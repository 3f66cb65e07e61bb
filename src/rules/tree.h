// The rules in effect in a process: a sorted tree of keys and values with digests at three levels: key,
// section (the key up to its last point) and tree.
//
// A controller's own keys (name, addresses, seed, disk, zone) do not belong here, since they differ by
// design. What a key means is defined in catalogue.h.
//
// Equal rules have equal digests in whatever order they were put. Trees that differ are compared by section
// first, so the cost of finding the differing keys depends on the difference.
//
// Not thread-safe. Errors: put() refuses invalid keys and values, and keys that are already present.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rules/value.h"

namespace reeltack::rules {

using Digest = std::uint64_t;  // XXH3, never 0
using Rules = std::map<std::string, std::string, std::less<>>;

struct Section {
  std::string name;  // such as class.voice; empty: keys without a point
  Digest digest = 0;
  std::size_t rules = 0;
  bool operator==(const Section&) const = default;
};
struct Difference {
  std::string key;
  std::optional<std::string> actual, expected;  // nothing: the key is absent
  bool operator==(const Difference&) const = default;
};

inline constexpr std::size_t kMaxRules = 4096;
// A key has 1 to 128 bytes of a-z, 0-9, _, - and ~ in non-empty parts separated by points. Class names are
// put into keys with escape_name().
[[nodiscard]] bool is_key(std::string_view text);
std::string escape_name(std::string_view name);  // writes other bytes as ~XX; deterministic and unambiguous
[[nodiscard]] std::string_view section_of(std::string_view key);

class Tree {
 public:
  [[nodiscard]] bool put(std::string key, std::string value);
  [[nodiscard]] const Rules& rules() const { return rules_; }
  [[nodiscard]] std::optional<std::string> value(std::string_view key) const;
  [[nodiscard]] std::vector<Section> sections() const;
  [[nodiscard]] Digest digest() const;
  [[nodiscard]] bool operator==(const Tree&) const = default;

 private:
  Rules rules_;
};

Digest digest_of(std::string_view key, std::string_view value);
// Of the keys of `governed` alone, with the values in `tree`: what a rules version (fleet/drift) compares.
Digest digest_of(const Rules& governed, const Tree& tree);
Digest digest_of(const Rules& rules);
// The keys of `expected` whose values in `tree` differ.
std::vector<Difference> differences(const Tree& tree, const Rules& expected);
// Differences over the keys of both trees. Only sections whose digests differ are compared key by key; their
// number is stored in `sections_compared`.
std::vector<Difference> differences(const Tree& a, const Tree& b, std::size_t* sections_compared = nullptr);

}  // namespace reeltack::rules
