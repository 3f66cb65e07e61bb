// The rules that a process decides by, as one sorted tree of key and value, with digests of three levels.
//
// Owns: keys and values in their one spelling (value.h); the digest of a key, of a section (all up to the
// key's
//   last point) and of the whole.
// Must never: hold a controller's own keys (name, addresses, seed, disk, zone): these differ by right. Know
//   what a key means (catalogue.h does).
//
// Equal rules have equal digests whatever the order in which they were put. Two trees that differ compare
// sections first, so that the keys that differ are found at a cost of the difference.
//
// Threads: none. Errors: put() refuses a key or a value that is none, and a key that is there already.
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
  std::string name;  // as class.voice; empty: keys without a point
  Digest digest = 0;
  std::size_t rules = 0;
  bool operator==(const Section&) const = default;
};
struct Difference {
  std::string key;
  std::optional<std::string> is, wanted;  // none: not there
  bool operator==(const Difference&) const = default;
};

inline constexpr std::size_t kMaxRules = 4096;
// 1 to 128 bytes of a-z, 0-9, _ and -, in parts of at least one, between points; class names as they are told
// are put into it by escape_name().
[[nodiscard]] bool is_key(std::string_view text);
std::string escape_name(std::string_view name);  // other bytes as ~XX; the same name is spelt the same
[[nodiscard]] std::string_view section_of(std::string_view key);

class Tree {
 public:
  [[nodiscard]] bool put(std::string key, std::string value);
  [[nodiscard]] const Rules& rules() const { return rules_; }
  [[nodiscard]] std::optional<std::string> value(std::string_view key) const;
  [[nodiscard]] std::vector<Section> sections() const;
  [[nodiscard]] Digest whole() const;
  [[nodiscard]] bool operator==(const Tree&) const = default;

 private:
  Rules rules_;
};

Digest digest_of(std::string_view key, std::string_view value);
// Of the rules in `governed` alone, as `tree` holds them: what a version (fleet/drift) compares.
Digest digest_of(const Rules& governed, const Tree& tree);
Digest digest_of(const Rules& rules);
// What `tree` holds otherwise than `wanted` says, by key.
std::vector<Difference> differences(const Tree& tree, const Rules& wanted);
// By the keys of both: sections whose digests differ are looked into, no others; their number goes to
// `looked`.
std::vector<Difference> differences(const Tree& a, const Tree& b, std::size_t* looked = nullptr);

}  // namespace reeltack::rules
