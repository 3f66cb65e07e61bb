// Operators' YAML files: read whole, typed, held to a JSON Schema, with the place of every value kept.
//
// Owns: YAML 1.2's core types, duplicate keys, bounds on size, and messages that name file, line, column,
// key. Must never: give a default, know what a key means, or read a file that it was not told of.
//
// Threads: a Document is plain data; functions keep no state. Errors: everything thrown is yaml::Error.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "yaml/problem.h"

namespace reeltack::yaml {

// A value and where each part of it stands. Paths are JSON pointers (RFC 6901): "/classes/0/share".
class Document {  // NOLINT(bugprone-exception-escape): of the JSON library's moves
 public:
  static Document read(const std::string& path);                            // throws Error
  static Document parse(const std::string& text, const std::string& file);  // throws Error

  [[nodiscard]] const nlohmann::json& value() const { return value_; }
  [[nodiscard]] Problem problem(const std::string& pointer, const std::string& text) const;
  // Throws Error with all that the schema (JSON Schema draft 7) finds.
  void check(const nlohmann::json& schema) const;

 private:
  friend class Builder;
  std::string file_;
  nlohmann::json value_;
  std::map<std::string, std::pair<int, int>> marks_;
};

}  // namespace reeltack::yaml
