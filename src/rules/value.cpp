#include "rules/value.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace reeltack::rules {
namespace {

template <class T>
std::optional<T> parse_all(std::string_view text) {
  T out{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return out;
}

}  // namespace

const char* name_of(Type type) {
  constexpr const char* kNames[] = {"duration", "number", "count", "flag", "word"};
  return kNames[static_cast<int>(type)];
}

std::string to_canonical(Duration value) { return std::to_string(value.count()) + "ns"; }
std::string to_canonical(double value) {
  if (!std::isfinite(value)) return "none";
  char out[32];
  const auto end = std::to_chars(out, out + sizeof out, value == 0.0 ? 0.0 : value).ptr;
  return {out, end};
}
std::string to_canonical(std::uint64_t value) { return std::to_string(value); }
std::string to_canonical(bool value) { return value ? "yes" : "no"; }

std::optional<Duration> read_duration(std::string_view text) {
  if (!text.ends_with("ns")) return std::nullopt;
  const auto ns = parse_all<std::int64_t>(text.substr(0, text.size() - 2));
  if (!ns || to_canonical(Duration{*ns}) != text) return std::nullopt;
  return Duration{*ns};
}
std::optional<double> read_number(std::string_view text) {
  const auto out = parse_all<double>(text);
  if (!out || !std::isfinite(*out) || to_canonical(*out) != text) return std::nullopt;
  return out;
}
std::optional<std::uint64_t> read_count(std::string_view text) {
  const auto out = parse_all<std::uint64_t>(text);
  if (!out || to_canonical(*out) != text) return std::nullopt;
  return out;
}
std::optional<bool> read_flag(std::string_view text) {
  if (text == "yes") return true;
  if (text == "no") return false;
  return std::nullopt;
}
bool is_word(std::string_view text) {
  constexpr std::size_t kMaxSize = 256;
  return !text.empty() && text.size() <= kMaxSize && std::all_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) >= 0x20 && c != 0x7f;
  });
}

bool is_canonical(Type type, std::string_view text) {
  switch (type) {
    case Type::duration:
      return read_duration(text).has_value();
    case Type::number:
      return read_number(text).has_value();
    case Type::count:
      return read_count(text).has_value();
    case Type::flag:
      return read_flag(text).has_value();
    case Type::word:
      return is_word(text);
  }
  return false;
}

}  // namespace reeltack::rules
