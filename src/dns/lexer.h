// Lexical form of a master file (RFC 1035, 5.1): entries of tokens, comments, quotes and parentheses.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace reeltack::dns {

// A malformed master file; the message begins with file and line.
class ZoneError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Token {
  std::string text;
  bool quoted = false;
};

// One entry of a master file: its tokens, its first line, and whether the owner was omitted.
struct Entry {
  std::vector<Token> tokens;
  int line = 0;
  bool blank_owner = false;
};

// Splits the text of a master file into entries. The text must outlive the lexer.
class Lexer {
 public:
  Lexer(std::string_view text, std::string file) : text_(text), file_(std::move(file)) {}

  // The next entry; nothing at the end of the file. Throws ZoneError.
  std::optional<Entry> next();
  [[noreturn]] void fail(const std::string& what) const { fail(line_, what); }
  [[noreturn]] void fail(int line, const std::string& what) const;

 private:
  Token quoted_string();
  char escaped();
  Token plain_token();
  std::string_view text_;
  std::string file_;
  std::size_t at_ = 0;
  int line_ = 1;
};

}  // namespace reeltack::dns
