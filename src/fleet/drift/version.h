// A version of the rules, as operators write it and controllers approve it: an epoch and its content.
//
// It has one canonical text, by which it is stored, replicated and compared:
//
//   1 EPOCH
//   KEY VALUE              for all controllers, in the order of keys
//   zone:ZONE KEY VALUE    another value for a zone, in the order of zones and keys
//   name:NAME KEY VALUE    for one controller, which takes precedence over its zone's
//
// One value per key; the meaning of keys is not interpreted here. read_version() returns nothing for any
// other text. Plain values without state.
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
struct VersionId {            // identifies one content of one epoch
  Epoch epoch = 0;
  rules::Digest digest = 0;
  auto operator<=>(const VersionId&) const = default;
};

struct Version {
  Epoch epoch = 0;
  rules::Rules rules;
  std::map<std::string, rules::Rules> zones, names;  // names as spelt by rules::escape_name()
  bool operator==(const Version&) const = default;
};

std::string write(const Version& version);
std::optional<Version> read_version(std::string_view text);
VersionId id_of(const Version& version);
// The rules that the version requires of the controller with this name and zone.
rules::Rules required_rules(const Version& version, std::string_view name, std::string_view zone);

}  // namespace reeltack::fleet::drift
