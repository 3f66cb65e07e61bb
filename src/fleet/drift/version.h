// A version of the rules, as operators write it and controllers approve it: an epoch and its content.
//
// Owns: its one text, by which it is kept, spread and compared; what it asks of one member.
// Must never: hold two values for one key, or know what a key means.
//
//   1 EPOCH
//   KEY VALUE              of all, in the order of keys
//   zone:ZONE KEY VALUE    another value for a zone, in the order of zones and keys
//   name:NAME KEY VALUE    and for one controller, which goes before its zone's
//
// Threads: none. Errors: read_version() gives nothing for any other text.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rules/tree.h"

namespace reeltack::fleet::drift {

inline constexpr std::size_t kMaxVersionBytes = std::size_t{40} * 1024;  // bytes

using Epoch = std::uint64_t;  // from 1; 0: none
struct Name {                 // of one content of one epoch
  Epoch epoch = 0;
  rules::Digest digest = 0;
  auto operator<=>(const Name&) const = default;
};

struct Version {
  Epoch epoch = 0;
  rules::Rules rules;
  std::map<std::string, rules::Rules> zones, names;  // as spelt by rules::escape_name()
  bool operator==(const Version&) const = default;
};

std::string write(const Version& version);
std::optional<Version> read_version(std::string_view text);
Name name_of(const Version& version);
// What it asks of the controller of this name and zone.
rules::Rules required_rules(const Version& version, std::string_view name, std::string_view zone);

}  // namespace reeltack::fleet::drift
