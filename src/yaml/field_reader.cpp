#include "yaml/field_reader.h"

#include <stdexcept>
#include <utility>

#include "yaml/span.h"

namespace reeltack::yaml {

void FieldReader::fail(const std::string& pointer, const std::string& text) {
  problems_.push_back(document_.problem(pointer, text));
}

void FieldReader::finish() {
  if (failed()) throw Error(std::move(problems_));
}

Duration FieldReader::span(const nlohmann::json& at, const std::string& pointer, const char* key,
                           Duration fallback) {
  if (!at.contains(key)) return fallback;
  try {
    return parse_span(at[key]);
  } catch (const std::invalid_argument& error) {
    fail(pointer + "/" + key, error.what());
    return fallback;
  }
}

Duration FieldReader::span_above_zero(const nlohmann::json& at, const std::string& pointer, const char* key,
                                      Duration fallback) {
  const std::size_t noted = problems_.size();
  const Duration out = span(at, pointer, key, fallback);
  if (at.contains(key) && problems_.size() == noted && out <= Duration{})
    fail(pointer + "/" + key, "must be above 0");
  return out;
}

std::optional<base::Address> FieldReader::parse_address(const std::string& text, const std::string& pointer,
                                                        const char* wanted) {
  auto out = base::parse_address(text);
  if (!out) fail(pointer, std::string("must be ") + wanted + ", not '" + text + "'");
  return out;
}

std::optional<base::Address> FieldReader::address(const nlohmann::json& at, const std::string& pointer,
                                                  const char* key, const char* wanted) {
  if (!at.contains(key)) return std::nullopt;
  return parse_address(at[key], pointer + "/" + key, wanted);
}

}  // namespace reeltack::yaml
