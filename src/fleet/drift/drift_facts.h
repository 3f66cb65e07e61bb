// What controllers publish about rules, as facts: votes, reports on the rules in use, and the parts of a
// version's text. Encoding, decoding and bounds only; whether a content is true is left to the reader.
//
//   fact     subject  value
//   vote     0        1 EPOCH DIGEST EPOCH DIGEST          voted for; approved, as far as known (0 0: none)
//   rules    0        1 EPOCH DIGEST GOVERNED WHOLE PENDING, then a line KEY VALUE for each that differs, KEY
//                     alone if it is missing there, at most kMaxNamedKeys
//   version  N        1 EPOCH DIGEST PARTS, then the Nth part of its text, from 0
//
// The read functions return nothing for anything else. Plain values without state.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/drift/version.h"

namespace reeltack::fleet::drift {

inline constexpr std::size_t kMaxNamedKeys = 8;  // keys that differ, in a report
inline constexpr std::size_t kPartBytes = 3500;  // of a version's text, in one fact
inline constexpr std::size_t kMaxVersionParts = (kMaxVersionBytes + kPartBytes - 1) / kPartBytes;

struct Vote {
  VersionId vote, approved;
  bool operator==(const Vote&) const = default;
};
struct RulesReport {              // by one controller on itself
  VersionId version;              // the one that it holds as approved
  rules::Digest governed = 0;     // of the keys that the version governs, as read back
  rules::Digest full_digest = 0;  // of all its rules
  bool pending = false;           // the differing rules take effect at the next start
  std::vector<rules::Difference> differing;
  bool operator==(const RulesReport&) const = default;
};
struct VersionPart {
  VersionId version;
  std::size_t count = 1;  // of parts
  std::string text;
};

std::string write(const Vote& vote);
std::string write(const RulesReport& report);
std::string write(const VersionPart& part);
std::optional<Vote> read_vote(std::string_view value);
std::optional<RulesReport> read_rules_report(std::string_view value);
std::optional<VersionPart> read_part(std::string_view value);
std::vector<VersionPart> parts_of(const Version& version);

}  // namespace reeltack::fleet::drift
