// Frames as the tests of the adapter build them.
#pragma once

#include <cstdint>
#include <string>

#include "wire.h"

namespace reeltack::wire {

// The bytes given by the hex digits of a text; blanks and line feeds are ignored.
inline Bytes hex(const std::string& text) {
  Bytes out;
  std::string digits;
  for (const char c : text) {
    if (c != ' ' && c != '\n') digits += c;
  }
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    out.push_back(static_cast<std::uint8_t>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  }
  return out;
}

// A complete batch frame around a body with this number of records.
inline Bytes framed(std::uint32_t records, const Bytes& body, std::uint64_t now = 0x1f568bf90) {
  Bytes out = hex("00000001");
  const auto put = [&](std::uint64_t v, int n) {
    for (int i = n - 1; i >= 0; --i) out.push_back(static_cast<std::uint8_t>(v >> (8 * i)));
  };
  put(now, 8);
  put(body.size() + 4, 4);
  put(records, 4);
  out.insert(out.end(), body.begin(), body.end());
  return out;
}

}  // namespace reeltack::wire
