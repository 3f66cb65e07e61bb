#include "dns/name.h"

namespace reeltack::dns {

namespace {

constexpr std::size_t kMaxName = 254;  // RFC 1035, 2.3.4: 255 bytes on the wire
constexpr std::size_t kMaxLabel = 63;
constexpr int kMaxSteps = 128;  // labels and pointers of one name; bounds a loop of pointers

}  // namespace

std::optional<std::string> read_name(std::string_view text, std::string_view origin) {
  std::string out;
  if (text == "@") {
    out = origin;
  } else if (text == ".") {
    return ".";
  } else {
    out = text;
    if (!out.empty() && out.back() != '.') out += origin == "." ? "." : "." + std::string(origin);
  }
  if (out.empty() || out.back() != '.' || out.size() > kMaxName) return std::nullopt;
  std::size_t start = 0;
  for (std::size_t i = 0; i < out.size(); ++i) {
    if (out[i] >= 'A' && out[i] <= 'Z') out[i] = static_cast<char>(out[i] + 32);
    const char c = out[i];
    const bool letter = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '*';
    if (c == '.') {
      if (i == start || i - start > kMaxLabel) return std::nullopt;
      start = i + 1;
    } else if (!letter) {
      return std::nullopt;
    }
  }
  return out;
}

std::string name_to_wire(const std::string& name) {
  std::string out;
  for (std::size_t at = 0; at < name.size() && name != ".";) {
    const std::size_t dot = name.find('.', at);
    out += static_cast<char>(dot - at);
    out += name.substr(at, dot - at);
    at = dot + 1;
  }
  return out += '\0';
}

std::optional<std::string> name_from_wire(std::string_view message, std::size_t& at) {
  std::string out;
  std::size_t here = at;
  bool jumped = false;
  for (int steps = 0; steps < kMaxSteps; ++steps) {
    if (here >= message.size()) return std::nullopt;
    const std::size_t n = static_cast<unsigned char>(message[here]);
    if ((n & 0xc0U) == 0xc0U) {
      if (here + 1 >= message.size()) return std::nullopt;
      if (!jumped) at = here + 2;
      jumped = true;
      here = (n & 0x3fU) << 8U | static_cast<unsigned char>(message[here + 1]);
      continue;
    }
    if ((n & 0xc0U) != 0 || here + 1 + n > message.size()) return std::nullopt;
    if (n == 0) {
      if (!jumped) at = here + 1;
      return out.empty() ? std::optional<std::string>(".") : read_name(out, ".");
    }
    const std::string_view label = message.substr(here + 1, n);
    if (label.find('.') != std::string_view::npos)
      return std::nullopt;  // has no form in text without escapes
    out += label;
    out += '.';
    here += 1 + n;
  }
  return std::nullopt;
}

bool within(const std::string& name, const std::string& zone) {
  if (name == zone || zone == ".") return true;
  return name.size() > zone.size() && name.compare(name.size() - zone.size(), zone.size(), zone) == 0 &&
         name[name.size() - zone.size() - 1] == '.';
}

}  // namespace reeltack::dns
