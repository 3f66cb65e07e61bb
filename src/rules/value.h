// The canonical form of rule values: equal values have equal texts, whoever wrote them. Other forms are
// rejected.
//
//   duration  whole nanoseconds          300000000ns
//   number    the shortest that reads back (std::to_chars); no -0, no infinity, no NaN
//   count     decimal digits             5
//   flag      yes, no
//   word      unchanged: 1 to 256 bytes, no control characters
//
// Thread safety: stateless functions. Errors: the read functions return nothing unless the text is canonical.
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
std::string to_canonical(double value);  // not finite: "none", which is not a number when read back
std::string to_canonical(std::uint64_t value);
std::string to_canonical(bool value);

std::optional<Duration> read_duration(std::string_view text);
std::optional<double> read_number(std::string_view text);
std::optional<std::uint64_t> read_count(std::string_view text);
std::optional<bool> read_flag(std::string_view text);
[[nodiscard]] bool is_word(std::string_view text);
[[nodiscard]] bool is_canonical(Type type, std::string_view text);

}  // namespace reeltack::rules
