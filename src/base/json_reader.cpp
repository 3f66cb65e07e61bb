// The strict reader of JSON texts (RFC 8259).
#include <charconv>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "base/json.h"

namespace reeltack::base {

// Reads one text; every method leaves `at_` behind what it took.
class JsonReader {
 public:
  explicit JsonReader(std::string_view text) : text_(text) {}

  Json whole() {
    if (!is_utf8(text_)) fail("is not UTF-8");
    Json out = value(0);
    space();
    if (at_ != text_.size()) fail("has something after its end");
    return out;
  }

 private:
  // A hostile peer must not run a thread off its small stack.
  static constexpr int kDeepest = 24;

  [[noreturn]] void fail(const char* what) const {
    throw JsonError("the JSON text " + std::string(what) + " (byte " + std::to_string(at_) + ")");
  }
  void space() {
    while (at_ < text_.size() &&
           (text_[at_] == ' ' || text_[at_] == '\t' || text_[at_] == '\n' || text_[at_] == '\r'))
      ++at_;
  }
  char peek() {
    if (at_ >= text_.size()) fail("ends too early");
    return text_[at_];
  }
  bool take(char wanted) {
    space();
    if (peek() != wanted) return false;
    ++at_;
    return true;
  }
  void need(char wanted) {
    if (!take(wanted)) fail("has an unexpected character");
  }
  bool word(std::string_view wanted) {
    if (text_.substr(at_, wanted.size()) != wanted) return false;
    at_ += wanted.size();
    return true;
  }

  Json value(int depth) {
    if (depth > kDeepest) fail("is nested too deep");
    space();
    Json out;
    const char c = peek();
    if (c == '{') {
      out.value_ = object(depth);
    } else if (c == '[') {
      out.value_ = array(depth);
    } else if (c == '"') {
      out.value_ = string();
    } else if (word("true")) {
      out.value_ = true;
    } else if (word("false")) {
      out.value_ = false;
    } else if (!word("null")) {
      out.value_ = number();
    }
    return out;
  }

  Json::Object object(int depth) {
    Json::Object out;
    need('{');
    if (take('}')) return out;
    do {
      space();
      std::string key = string();
      need(':');
      if (!out.emplace(std::move(key), value(depth + 1)).second) fail("names a key twice");
    } while (take(','));
    need('}');
    return out;
  }

  Json::Array array(int depth) {
    Json::Array out;
    need('[');
    if (take(']')) return out;
    do out.push_back(value(depth + 1));
    while (take(','));
    need(']');
    return out;
  }

  void digits() {
    const std::size_t from = at_;
    while (at_ < text_.size() && text_[at_] >= '0' && text_[at_] <= '9') ++at_;
    if (at_ == from) fail("has a malformed value");
  }
  Json::Number number() {
    const std::size_t from = at_;
    if (peek() == '-') ++at_;
    const bool zero = at_ < text_.size() && text_[at_] == '0';
    const std::size_t first = at_;
    digits();
    if (zero && at_ > first + 1) fail("has a number with a leading nought");
    if (at_ < text_.size() && text_[at_] == '.') ++at_, digits();
    if (at_ < text_.size() && (text_[at_] == 'e' || text_[at_] == 'E')) {
      ++at_;
      if (at_ < text_.size() && (text_[at_] == '+' || text_[at_] == '-')) ++at_;
      digits();
    }
    return {std::string(text_.substr(from, at_ - from))};
  }

  unsigned hex4() {
    unsigned out = 0;
    if (at_ + 4 > text_.size()) fail("ends too early");
    const auto [end, error] = std::from_chars(text_.data() + at_, text_.data() + at_ + 4, out, 16);
    if (error != std::errc{} || end != text_.data() + at_ + 4) fail("has a malformed escape");
    at_ += 4;
    return out;
  }
  void code_point(std::string& out) {
    unsigned c = hex4();
    if (c >= 0xdc00 && c < 0xe000) fail("has half a surrogate pair");
    if (c >= 0xd800 && c < 0xdc00) {
      if (!word("\\u")) fail("has half a surrogate pair");
      const unsigned low = hex4();
      if (low < 0xdc00 || low >= 0xe000) fail("has half a surrogate pair");
      c = 0x10000 + ((c - 0xd800) << 10U) + (low - 0xdc00);
    }
    const auto put = [&out](unsigned byte) { out += static_cast<char>(byte); };
    if (c < 0x80) return put(c);
    if (c < 0x800) return put(0xc0 | c >> 6U), put(0x80 | (c & 0x3fU));
    if (c < 0x10000) return put(0xe0 | c >> 12U), put(0x80 | (c >> 6U & 0x3fU)), put(0x80 | (c & 0x3fU));
    put(0xf0 | c >> 18U), put(0x80 | (c >> 12U & 0x3fU)), put(0x80 | (c >> 6U & 0x3fU)),
        put(0x80 | (c & 0x3fU));
  }
  std::string string() {
    std::string out;
    if (peek() != '"') fail("lacks a string");
    for (++at_; peek() != '"';) {
      const char c = text_[at_++];
      if (static_cast<unsigned char>(c) < 0x20) fail("has a control character in a string");
      if (c != '\\') {
        out += c;
        continue;
      }
      static constexpr std::string_view kNames = "\"\\/bfnrt";
      static constexpr std::string_view kMeant = "\"\\/\b\f\n\r\t";
      const char escape = peek();
      ++at_;
      const std::size_t place = kNames.find(escape);
      if (escape == 'u') {
        code_point(out);
      } else if (place == std::string_view::npos) {
        fail("has an unknown escape");
      } else {
        out += kMeant[place];
      }
    }
    ++at_;
    return out;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

Json Json::parse(std::string_view text) { return JsonReader(text).whole(); }

}  // namespace reeltack::base
