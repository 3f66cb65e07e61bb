#include "load/plan/description.h"

#include "load/plan/draws.h"

namespace reeltack::load {

std::string hex16(std::uint64_t value) {
  std::string out(16, '0');
  for (std::size_t i = 16; i-- > 0; value >>= 4U) out[i] = "0123456789abcdef"[value & 15U];
  return out;
}

std::string endpoint_description(std::uint64_t call, std::string_view endpoint, std::uint64_t number) {
  const std::string line = "o=" + std::string(endpoint) + " " + hex16(call) + " " + hex16(number);
  return line + "\r\nc=IN IP4 127.0.0.1\r\ns=" + hex16(hash(line)) + "\r\n";
}

std::string check_description(std::string_view text, std::uint64_t call, std::string* endpoint) {
  const std::string_view line = text.substr(0, text.find("\r\n"));
  const std::size_t one = line.find(' ');
  const std::size_t two = one == std::string_view::npos ? one : line.find(' ', one + 1);
  if (line.substr(0, 2) != "o=" || two == std::string_view::npos) return "no centrale's description";
  if (line.substr(one + 1, two - one - 1) != hex16(call)) return "the description of another call";
  if (text.find("s=" + hex16(hash(line)) + "\r\n") == std::string_view::npos) return "a spoilt description";
  if (endpoint != nullptr) *endpoint = line.substr(2, one - 2);
  return {};
}

}  // namespace reeltack::load
