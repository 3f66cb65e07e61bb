#include "dns/lexer.h"

#include <algorithm>

#include "dns/numbers.h"

namespace reeltack::dns {

std::optional<Entry> Lexer::next() {
  Entry out;
  int depth = 0;
  bool at_start = true;
  while (at_ < text_.size()) {
    const char c = text_[at_];
    if (c == '\n') {
      ++at_;
      ++line_;
      if (depth > 0) continue;
      if (!out.tokens.empty()) return out;
      out = {};
      at_start = true;
      continue;
    }
    if (at_start) {
      out.blank_owner = c == ' ' || c == '\t';
      out.line = line_;
      at_start = false;
    }
    if (c == ' ' || c == '\t' || c == '\r') {
      ++at_;
    } else if (c == ';') {
      at_ = std::min(text_.find('\n', at_), text_.size());
    } else if (c == '(' || c == ')') {
      depth += c == '(' ? 1 : -1;
      if (depth < 0) fail("a parenthesis closes that was not opened");
      ++at_;
    } else {
      out.tokens.push_back(c == '"' ? quoted_string() : plain_token());
    }
  }
  if (depth > 0) fail("a parenthesis is not closed");
  return out.tokens.empty() ? std::nullopt : std::optional(out);
}

void Lexer::fail(int line, const std::string& what) const {
  throw ZoneError(file_ + ":" + std::to_string(line) + ": " + what);
}

Token Lexer::quoted_string() {
  Token out{"", true};
  for (++at_; at_ < text_.size() && text_[at_] != '"'; ++at_) {
    if (text_[at_] == '\n') fail("a quoted string is not closed");
    out.text += text_[at_] == '\\' ? escaped() : text_[at_];
  }
  if (at_ >= text_.size()) fail("a quoted string is not closed");
  ++at_;
  return out;
}

// The octet that an escape stands for: \DDD, or a character that is no digit. Moves to the last character of
// it.
char Lexer::escaped() {
  constexpr std::size_t kDigits = 3;
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  ++at_;
  if (at_ >= text_.size() || text_[at_] == '\n') fail("a quoted string is not closed");
  if (!is_digit(text_[at_])) return text_[at_];
  const auto octet = parse_integer(text_.substr(at_, kDigits), 0xff);
  if (!octet || at_ + kDigits > text_.size()) fail("malformed escape (\\ and three digits, 000 to 255)");
  at_ += kDigits - 1;
  return static_cast<char>(*octet);
}

Token Lexer::plain_token() {
  const std::size_t end = std::min(text_.find_first_of(" \t\r\n;()\"", at_), text_.size());
  Token out{std::string(text_.substr(at_, end - at_)), false};
  at_ = end;
  return out;
}

}  // namespace reeltack::dns
