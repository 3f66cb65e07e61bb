#include "dns/numbers.h"

#include <algorithm>
#include <charconv>

#include "base/base.h"

namespace reeltack::dns {

void append16(std::string& out, std::uint64_t value) {
  out += static_cast<char>(value >> 8U);
  out += static_cast<char>(value);
}

void append32(std::string& out, std::uint64_t value) {
  append16(out, value >> 16U);
  append16(out, value);
}

std::uint32_t read_number(std::string_view data, std::size_t at, std::size_t bytes) {
  return static_cast<std::uint32_t>(base::big_endian(data, at, bytes));
}

std::optional<std::uint64_t> parse_integer(std::string_view text, std::uint64_t max) {
  std::uint64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size() || out > max)
    return std::nullopt;
  return out;
}

std::optional<std::uint64_t> parse_seconds(std::string_view text, std::uint64_t max) {
  static constexpr std::string_view kLetters = "smhdw";
  static constexpr std::uint64_t kUnits[] = {1, 60, 3600, 86400, 604800};
  std::uint64_t sum = 0;
  while (!text.empty()) {
    const std::size_t n = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto value = parse_integer(text.substr(0, n), max);
    if (!value) return std::nullopt;
    const std::size_t unit = n == text.size() ? 0 : kLetters.find(static_cast<char>(text[n] | 0x20));
    if (unit == std::string_view::npos) return std::nullopt;
    sum += *value * kUnits[unit];
    text.remove_prefix(std::min(n + 1, text.size()));
  }
  return sum > max ? std::nullopt : std::optional(sum);
}

}  // namespace reeltack::dns
