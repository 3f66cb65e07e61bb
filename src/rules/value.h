// The one spelling of a rule's value: what is equal is spelt equally, whoever wrote it and however.
//
// Owns: the spelling of each type, and its reading.
// Must never: take a spelling that is not the one, or know what a value is for.
//
//   duration  whole nanoseconds          300000000ns
//   number    the shortest that reads back (std::to_chars); no -0, no infinity, no NaN
//   count     decimal digits             5
//   flag      yes, no
//   word      as it stands: 1 to 256 bytes, no control characters
//
// Threads: none. Errors: read() gives nothing where the text is not the spelling of that type.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "reeltack/settings.h"

namespace reeltack::rules {

enum class Type : std::uint8_t { duration, number, count, flag, word };
const char* name_of(Type type);

std::string to_canonical(Duration value);
std::string to_canonical(double value);  // not finite: "none", which reads back as nothing
std::string to_canonical(std::uint64_t value);
std::string to_canonical(bool value);

std::optional<Duration> read_duration(std::string_view text);
std::optional<double> read_number(std::string_view text);
std::optional<std::uint64_t> read_count(std::string_view text);
std::optional<bool> read_flag(std::string_view text);
[[nodiscard]] bool is_word(std::string_view text);
[[nodiscard]] bool is_canonical(Type type, std::string_view text);

}  // namespace reeltack::rules
