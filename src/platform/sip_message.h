// Grammar of SIP over TCP (RFC 3261, 7 and 18.3), as far as callers use it. Pure functions without I/O or
// state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace reeltack::platform {

struct SipMessage {
  std::string method;  // empty: a response
  std::string uri;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  [[nodiscard]] const std::string* header(std::string_view name) const;  // case-insensitive; null: absent
  [[nodiscard]] std::string echoed() const;  // the header lines that an answer repeats
};
enum class ParseResult { complete, more, malformed };
// Parses the message at the start of `text`; `used` is its length. malformed: no further byte can mend it.
ParseResult parse_sip(std::string_view text, SipMessage& out, std::size_t& used);
std::optional<std::int64_t> whole_number(std::string_view text);  // decimal digits with optional minus only

}  // namespace reeltack::platform
