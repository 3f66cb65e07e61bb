#include "platform/sip_message.h"

#include <strings.h>

#include <algorithm>
#include <charconv>

#include "net/buffers.h"

namespace reeltack::platform {
namespace {

// More than any caller sends; each costs time to read, and the echoed ones to answer.
constexpr std::size_t kMaxHeaderFields = 100;

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() && ::strncasecmp(a.data(), b.data(), a.size()) == 0;
}
std::string_view trimmed(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}
bool parse_first_line(std::string_view line, SipMessage& out) {
  const std::size_t first_space = line.find(' ');
  const std::size_t second_space =
      first_space == std::string_view::npos ? first_space : line.find(' ', first_space + 1);
  if (second_space == std::string_view::npos) return false;
  const std::string_view a = line.substr(0, first_space);
  const std::string_view b = line.substr(first_space + 1, second_space - first_space - 1);
  if (a == "SIP/2.0") {
    const auto status = whole_number(b);
    if (!status || *status < 100 || *status > 699) return false;
    out.status = static_cast<int>(*status);
    return true;
  }
  if (a.empty() || b.empty() || line.substr(second_space + 1) != "SIP/2.0") return false;
  out.method = a;
  out.uri = b;
  return a.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") == std::string_view::npos;
}

}  // namespace

std::optional<std::int64_t> whole_number(std::string_view text) {
  std::int64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return out;
}

const std::string* SipMessage::header(std::string_view name) const {
  for (const auto& [n, value] : headers) {
    if (same_name(n, name)) return &value;
  }
  return nullptr;
}
std::string SipMessage::echoed() const {
  std::string out;
  for (const auto& [name, value] : headers) {
    for (const char* echoed_name : {"Via", "From", "To", "Call-ID", "CSeq"}) {
      if (same_name(name, echoed_name)) out.append(name).append(": ").append(value).append("\r\n");
    }
  }
  return out;
}

ParseResult parse_sip(std::string_view text, SipMessage& out, std::size_t& used) {
  out = {};
  used = 0;
  std::size_t start = 0;
  while (text.substr(start, 2) == "\r\n") start += 2;  // RFC 3261, 7.5: blank lines before a message
  if (start > 0 && start == text.size()) return used = start, ParseResult::more;
  const std::size_t end = text.find("\r\n\r\n", start);
  if (end == std::string_view::npos)
    return text.size() - start > net::kMaxInputMessageBytes ? ParseResult::malformed : ParseResult::more;
  std::string_view head = text.substr(start, end - start);
  std::size_t length = 0;
  bool first = true;
  bool has_length = false;
  while (!head.empty()) {
    const std::string_view line = head.substr(0, head.find("\r\n"));
    head.remove_prefix(std::min(line.size() + 2, head.size()));
    if (first) {
      if (!parse_first_line(line, out)) return ParseResult::malformed;
      first = false;
      continue;
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = trimmed(line.substr(0, std::min(colon, line.size())));
    if (colon == std::string_view::npos || name.empty() || line.find('\n') != std::string_view::npos)
      return ParseResult::malformed;
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (same_name(name, "Content-Length") || same_name(name, "l")) {
      const auto n = whole_number(value);
      if (!n || *n < 0 || *n > static_cast<std::int64_t>(net::kMaxInputMessageBytes) ||
          (has_length && static_cast<std::size_t>(*n) != length))
        return ParseResult::malformed;
      length = static_cast<std::size_t>(*n);
      has_length = true;
    }
    if (out.headers.size() == kMaxHeaderFields) return ParseResult::malformed;
    out.headers.emplace_back(name, value);
  }
  // Over a stream, only Content-Length shows where the message ends.
  if (!has_length || end + 4 + length - start > net::kMaxInputMessageBytes) return ParseResult::malformed;
  if (text.size() < end + 4 + length) return ParseResult::more;
  out.body = text.substr(end + 4, length);
  used = end + 4 + length;
  return ParseResult::complete;
}

}  // namespace reeltack::platform
