// Reading the fields of a document that the schema cannot check: spans and addresses, and rules across keys.
//
// Owns: collecting every problem of a file, so that an operator sees them all at once.
// Must never: know what a key means.
//
// A reader of one kind of file derives from it. Threads: one at a time.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "yaml/document.h"

namespace reeltack::yaml {

// What is wrong is noted, and reading goes on.
class FieldReader {
 protected:
  // The document must outlive the reader.
  explicit FieldReader(const Document& document) : document_(document) {}
  ~FieldReader() = default;

  [[nodiscard]] const nlohmann::json& value() const { return document_.value(); }

  // Notes what is wrong at a pointer; goes on.
  void fail(const std::string& pointer, const std::string& text);
  [[nodiscard]] bool failed() const { return !problems_.empty(); }
  // Throws Error with all that was noted.
  void finish();

  // The span of a key of `at`, which stands at `pointer`. The fallback where the key is missing or malformed.
  Duration span(const nlohmann::json& at, const std::string& pointer, const char* key, Duration fallback);
  // The same, and notes a span that is not above 0.
  Duration span_above_zero(const nlohmann::json& at, const std::string& pointer, const char* key,
                           Duration fallback);

  // An address at `pointer`; nothing where it is malformed. `wanted` says what would be right: "an address as
  // 127.0.0.1:2905".
  std::optional<base::Address> parse_address(const std::string& text, const std::string& pointer,
                                             const char* wanted);
  // That of a key; nothing where the key is missing, too.
  std::optional<base::Address> address(const nlohmann::json& at, const std::string& pointer, const char* key,
                                       const char* wanted);

 private:
  const Document& document_;
  std::vector<Problem> problems_;
};

}  // namespace reeltack::yaml
