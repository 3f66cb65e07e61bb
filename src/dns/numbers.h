// Numbers in wire and master file form. Internal to this module.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reeltack::dns {

// Appends the low 16 or 32 bits, most significant byte first.
void append16(std::string& out, std::uint64_t value);
void append32(std::string& out, std::uint64_t value);
// Up to four bytes at `at`, most significant first.
std::uint32_t read_number(std::string_view data, std::size_t at, std::size_t bytes);
// Decimal digits only; nothing: anything else, or above `max`.
std::optional<std::uint64_t> parse_integer(std::string_view text, std::uint64_t max);
inline constexpr std::uint64_t kMaxTtl = 0x7fffffff;       // seconds; RFC 2181, 8
inline constexpr std::uint64_t kMaxInterval = 0xffffffff;  // seconds; of the fields of an SOA record
// A time in seconds, as plain digits (RFC 1035) or with the common unit letters: "1h30m". Nothing: malformed,
// or above `max`.
std::optional<std::uint64_t> parse_seconds(std::string_view text, std::uint64_t max = kMaxTtl);

}  // namespace reeltack::dns
