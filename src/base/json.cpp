#include "base/json.h"

#include <charconv>
#include <cmath>
#include <system_error>

namespace reeltack::base {

std::optional<double> read_number(std::string_view text) {
  double value = 0.0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

// Strict: no overlong forms, no surrogates, nothing beyond U+10FFFF.
bool is_utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    const std::size_t more = lead < 0x80   ? 0
                             : lead < 0xc2 ? 9
                             : lead < 0xe0 ? 1
                             : lead < 0xf0 ? 2
                             : lead < 0xf5 ? 3
                                           : 9;
    if (more == 9 || i + more >= text.size()) return false;
    for (std::size_t k = 1; k <= more; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xc0U) != 0x80) return false;
      if (k > 1) continue;
      if ((lead == 0xe0 && next < 0xa0) || (lead == 0xed && next > 0x9f) || (lead == 0xf0 && next < 0x90) ||
          (lead == 0xf4 && next > 0x8f))
        return false;
    }
    i += more + 1;
  }
  return true;
}

std::optional<double> Json::number() const {
  const auto* n = std::get_if<Number>(&value_);
  return n == nullptr ? std::nullopt : read_number(n->text);
}

std::optional<bool> Json::boolean() const {
  const auto* b = std::get_if<bool>(&value_);
  return b == nullptr ? std::nullopt : std::optional<bool>(*b);
}

const Json* Json::find(const std::string& key) const {
  const Object* fields = object();
  if (fields == nullptr) return nullptr;
  const auto found = fields->find(key);
  return found == fields->end() ? nullptr : &found->second;
}

std::optional<std::string> Json::plain() const {
  if (const auto* s = string()) return *s;
  if (const auto* n = std::get_if<Number>(&value_)) return n->text;
  if (const auto b = boolean()) return *b ? "true" : "false";
  return std::nullopt;
}

std::optional<double> Json::numeric() const {
  const auto* s = string();
  return s != nullptr ? read_number(*s) : number();
}

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (c == '\n') {
      out += "\\n";
    } else if (c == '\r') {
      out += "\\r";
    } else if (byte < 0x20) {
      static constexpr char kHex[] = "0123456789abcdef";
      out += "\\u00";
      out += kHex[byte >> 4U];
      out += kHex[byte & 15U];
    } else {
      out += c;
    }
  }
  return out += '"';
}

}  // namespace reeltack::base
