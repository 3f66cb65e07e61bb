// Holding a document to its JSON Schema (draft 7), with messages for operators.
#include <algorithm>
#include <map>
#include <utility>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

#include "yaml/document.h"
#include "yaml/pointer.h"

namespace reeltack::yaml {

namespace {

using nlohmann::json;

constexpr std::size_t kMostShown = 60;  // bytes of a faulty value in a message

// The part of a schema that stands for the value at a pointer, through properties, items and local $ref.
const json* schema_at(const json& schema, const std::vector<std::string>& path) {
  const json* at = &schema;
  const auto resolve = [&schema](const json* s) {
    while (s != nullptr && s->is_object() && s->contains("$ref")) {
      const std::string ref = (*s)["$ref"];
      s = &schema.at(json::json_pointer(ref.substr(1)));
    }
    return s;
  };
  at = resolve(at);
  for (const std::string& part : path) {
    if (at == nullptr || !at->is_object()) return nullptr;
    if (at->contains("properties") && (*at)["properties"].contains(part)) {
      at = resolve(&(*at)["properties"][part]);
    } else if (at->contains("items")) {
      at = resolve(&(*at)["items"]);
    } else {
      return nullptr;
    }
  }
  return at;
}

std::string wanted(const json& part) {
  if (part.contains("x-wanted")) return part["x-wanted"];
  if (part.contains("enum")) {
    std::string out = "one of";
    for (const json& word : part["enum"]) out += " " + (word.is_string() ? std::string(word) : word.dump());
    return out;
  }
  std::string out = part.contains("type") ? "a value of type " + part["type"].dump() : "another value";
  if (part.contains("minimum")) out += ", at least " + part["minimum"].dump();
  if (part.contains("exclusiveMinimum")) out += ", above " + part["exclusiveMinimum"].dump();
  if (part.contains("maximum")) out += ", at most " + part["maximum"].dump();
  if (part.contains("minItems")) out += ", with at least " + part["minItems"].dump() + " entries";
  return out;
}

// "/a/0" of a place as the validator names it: "[key]" or "[0]" after "<root>".
std::vector<std::string> path_of(const std::vector<std::string>& context) {
  std::vector<std::string> path;
  for (std::size_t i = 1; i < context.size(); ++i) {
    std::string part = context[i];
    if (part.size() >= 2 && part.front() == '[') part = part.substr(1, part.size() - 2);
    path.push_back(std::move(part));
  }
  return path;
}

// Collects what is wrong, one problem a place.
class Findings {
 public:
  Findings(const Document& document, const json& schema) : document_(document), schema_(schema) {}

  void take(const std::vector<std::string>& path) {
    std::string pointer;
    for (const std::string& part : path) pointer.append("/").append(escaped(part));
    const json* part = schema_at(schema_, path);
    const json& top = document_.value();
    const json* value =
        top.contains(json::json_pointer(pointer)) ? &top[json::json_pointer(pointer)] : nullptr;
    if (part != nullptr && part->contains("properties") && value != nullptr && value->is_object()) {
      unknown_keys(pointer, *part, *value);
      missing_keys(pointer, *part, *value);
      return;  // the rest is said of a part of it
    }
    const std::string shown = value == nullptr ? "nothing" : value->dump().substr(0, kMostShown);
    add(pointer, "must be " + (part == nullptr ? "another value" : wanted(*part)) + ", not " + shown);
  }

  // In the order of the file.
  [[nodiscard]] std::vector<Problem> problems() const {
    std::vector<Problem> out;
    for (const auto& [pointer, problem] : found_) {
      // What is wrong with a part is said there, and not once more of the whole.
      const auto inner = found_.upper_bound(pointer + "/");
      if (inner == found_.end() || !inner->first.starts_with(pointer + "/")) out.push_back(problem);
    }
    if (out.empty()) out.push_back(document_.problem("", "does not fit its schema"));
    std::stable_sort(out.begin(), out.end(), [](const Problem& a, const Problem& b) {
      return std::pair(a.line, a.column) < std::pair(b.line, b.column);
    });
    return out;
  }

 private:
  void add(const std::string& pointer, const std::string& text) {
    found_.emplace(pointer, document_.problem(pointer, text));
  }
  void unknown_keys(const std::string& pointer, const json& part, const json& value) {
    std::vector<std::string> known;
    for (const auto& [key, unused] : part["properties"].items()) known.push_back(key);
    for (const auto& [key, unused] : value.items()) {
      if (part["properties"].contains(key)) continue;
      const std::string near = nearest(key, known);
      std::string all;
      for (const std::string& k : known) all += (all.empty() ? "" : ", ") + k;
      add(pointer + "/" + escaped(key),
          "is no key of this place; " + (near.empty() ? "known are " + all : "was " + near + " meant?"));
    }
  }
  void missing_keys(const std::string& pointer, const json& part, const json& value) {
    for (const json& key : part.value("required", json::array())) {
      if (!value.contains(std::string(key))) add(pointer + "/" + escaped(key), "is missing");
    }
  }

  const Document& document_;
  const json& schema_;
  std::map<std::string, Problem> found_;
};

}  // namespace

void Document::check(const nlohmann::json& schema) const {
  valijson::Schema compiled;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema), compiled);
  valijson::Validator validator;  // strong types: what is a string stays one
  valijson::ValidationResults results;
  if (validator.validate(compiled, valijson::adapters::NlohmannJsonAdapter(value_), &results)) return;

  Findings findings(*this, schema);
  valijson::ValidationResults::Error error;
  while (results.popError(error)) findings.take(path_of(error.context));
  throw Error(findings.problems());
}

}  // namespace reeltack::yaml
