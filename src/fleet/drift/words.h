// What controllers say of their rules, as facts: votes, their own word, and the parts of a version's text.
//
//   fact     subject  value
//   vote     0        1 EPOCH DIGEST EPOCH DIGEST          voted for; approved, as far as known (0 0: none)
//   rules    0        1 EPOCH DIGEST GOVERNED WHOLE PENDING, then a line KEY VALUE of each that differs, KEY
//                     alone where it is not there, at most kMostNamed
//   version  N        1 EPOCH DIGEST PARTS, then the Nth part of its text, from 0
//
// Owns: the spelling and reading of these, and their bounds.
// Must never: believe one; the reader judges. Threads: none. Errors: what can't be read is nothing.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/drift/version.h"

namespace reeltack::fleet::drift {

inline constexpr std::size_t kMostNamed = 8;     // keys that differ, in a word
inline constexpr std::size_t kPartBytes = 3500;  // of a version's text, in one fact
inline constexpr std::size_t kMostParts = (kMaxVersionBytes + kPartBytes - 1) / kPartBytes;

struct Vote {
  Name vote, approved;
  bool operator==(const Vote&) const = default;
};
struct Word {                  // of one controller on itself
  Name by;                     // the version that it holds as approved
  rules::Digest governed = 0;  // of the keys that this governs, as read back
  rules::Digest whole = 0;     // of all its rules
  bool pending = false;        // what differs waits for a start
  std::vector<rules::Difference> named;
  bool operator==(const Word&) const = default;
};
struct Part {
  Name of;
  std::size_t parts = 1;
  std::string text;
};

std::string write(const Vote& vote);
std::string write(const Word& word);
std::string write(const Part& part);
std::optional<Vote> read_vote(std::string_view value);
std::optional<Word> read_word(std::string_view value);
std::optional<Part> read_part(std::string_view value);
std::vector<Part> parts_of(const Version& version);

}  // namespace reeltack::fleet::drift
