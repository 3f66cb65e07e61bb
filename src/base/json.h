// JSON values, as the office lines, the configuration and the call-control API need them.
//
// Owns: reading one whole JSON text strictly (RFC 8259, UTF-8 checked, depth bounded) and writing strings.
// Must never: guess at malformed input, read past the text that it is given, or know any message.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace reeltack::base {

class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Json {
 public:
  using Array = std::vector<Json>;
  using Object = std::map<std::string, Json>;

  static Json parse(std::string_view text);  // throws JsonError with the byte at fault

  [[nodiscard]] const std::string* string() const { return std::get_if<std::string>(&value_); }
  [[nodiscard]] const Object* object() const { return std::get_if<Object>(&value_); }
  [[nodiscard]] const Array* array() const { return std::get_if<Array>(&value_); }
  [[nodiscard]] std::optional<double> number() const;
  [[nodiscard]] std::optional<bool> boolean() const;
  [[nodiscard]] const Json* find(const std::string& key) const;
  // A string or number (as it was written) or true/false; nothing for the rest.
  [[nodiscard]] std::optional<std::string> plain() const;
  // A number, or a string that holds one.
  [[nodiscard]] std::optional<double> numeric() const;

 private:
  friend class JsonReader;
  struct Number {
    std::string text;
  };
  std::variant<std::monostate, bool, Number, std::string, Array, Object> value_;
};

std::string quoted(std::string_view text);  // with its quotation marks
bool is_utf8(std::string_view text);
std::optional<double> read_number(std::string_view text);

}  // namespace reeltack::base
