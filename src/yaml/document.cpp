#include "yaml/document.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <numeric>
#include <optional>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace reeltack::yaml {
namespace {

using nlohmann::json;

// Guards against aliases that unfold without end.
constexpr std::size_t kMostNodes = 200'000;
constexpr std::size_t kMostBytes = std::size_t{8} * 1024 * 1024;
constexpr int kMostDepth = 64;

std::string joined(const std::vector<Problem>& problems) {
  std::string out;
  for (const Problem& p : problems) out += (out.empty() ? "" : "\n") + p.shown();
  return out;
}

std::string escaped(std::string key) {  // RFC 6901, 3
  for (std::size_t at = 0; (at = key.find_first_of("~/", at)) != std::string::npos; at += 2)
    key.replace(at, 1, key[at] == '~' ? "~0" : "~1");
  return key;
}

// "/classes/0/share" as people write it: classes[0].share
std::string as_key(const std::string& pointer) {
  std::string out;
  std::istringstream parts(pointer);
  std::string part;
  std::getline(parts, part, '/');
  while (std::getline(parts, part, '/')) {
    for (std::size_t at = 0; (at = part.find('~', at)) != std::string::npos; ++at)
      part.replace(at, 2, part.compare(at, 2, "~0") == 0 ? "~" : "/");
    const bool index = !part.empty() && part.find_first_not_of("0123456789") == std::string::npos;
    if (index) {
      out.append("[").append(part).append("]");
    } else {
      out.append(out.empty() ? "" : ".").append(part);
    }
  }
  return out;
}

// YAML 1.2, 10.3.2: the core schema's types of plain scalars.
json typed(const YAML::Node& node) {
  const std::string& text = node.Scalar();
  if (node.Tag() == "!") return text;  // it was quoted
  if (text.empty() || text == "~" || text == "null" || text == "Null" || text == "NULL") return nullptr;
  if (text == "true" || text == "True" || text == "TRUE") return true;
  if (text == "false" || text == "False" || text == "FALSE") return false;
  const char* first = text.data() + (text[0] == '+' ? 1 : 0);
  const char* last = text.data() + text.size();
  std::int64_t whole = 0;
  if (const auto [end, error] = std::from_chars(first, last, whole); error == std::errc{} && end == last)
    return whole;
  double number = 0.0;
  // from_chars also takes "inf" and "nan", which no setting here can mean.
  if (text.find_first_of("iInN") == std::string::npos) {
    if (const auto [end, error] = std::from_chars(first, last, number); error == std::errc{} && end == last)
      return number;
  }
  return text;
}

std::size_t distance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t corner = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t changed = corner + (a[i] == b[j] ? 0 : 1);
      corner = row[j + 1];
      row[j + 1] = std::min({row[j] + 1, row[j + 1] + 1, changed});
    }
  }
  return row.back();
}

}  // namespace

std::string nearest(const std::string& word, const std::vector<std::string>& known) {
  std::string best;
  std::size_t least = std::max<std::size_t>(word.size() / 3, 1) + 1;
  for (const std::string& k : known) {
    if (const std::size_t d = distance(word, k); d < least) least = d, best = k;
  }
  return best;
}

std::string Problem::shown() const {
  std::string out = file;
  if (line > 0) out += ":" + std::to_string(line) + ":" + std::to_string(column);
  return out + ": " + (key.empty() ? "" : key + ": ") + text;
}

Error::Error(std::vector<Problem> problems)
    : std::runtime_error(joined(problems)), problems_(std::move(problems)) {}

class Builder {
 public:
  explicit Builder(Document& out) : out_(out) {}

  json build(const YAML::Node& node, const std::string& pointer, int depth) {
    if (++nodes_ > kMostNodes || depth > kMostDepth) {
      mark(node.Mark(), pointer);
      throw Error(
          {out_.problem(pointer, "holds more than this reader takes: at most " + std::to_string(kMostNodes) +
                                     " values, " + std::to_string(kMostDepth) + " deep")});
    }
    mark(node.Mark(), pointer);
    if (node.IsScalar()) return typed(node);
    if (node.IsSequence()) {
      json list = json::array();
      for (std::size_t i = 0; i < node.size(); ++i)
        list.push_back(build(node[i], pointer + "/" + std::to_string(i), depth + 1));
      return list;
    }
    if (!node.IsMap()) return nullptr;
    json object = json::object();
    for (const auto& field : node) {
      if (!field.first.IsScalar()) throw Error({out_.problem(pointer, "every key must be a plain word")});
      const std::string key = field.first.Scalar();
      const std::string at = pointer + "/" + escaped(key);
      if (object.contains(key)) {
        mark(field.first.Mark(), at);
        throw Error({out_.problem(at, "stands twice in the same place; one of them must go")});
      }
      object[key] = build(field.second, at, depth + 1);
      mark(field.first.Mark(), at);  // people look for the key, not for its value
    }
    return object;
  }

 private:
  void mark(const YAML::Mark& at, const std::string& pointer) {
    out_.marks_[pointer] = {at.line + 1, at.column + 1};
  }
  Document& out_;
  std::size_t nodes_ = 0;
};

Document Document::parse(const std::string& text, const std::string& file) {
  Document out;
  out.file_ = file;
  if (text.size() > kMostBytes) throw Error({{file, 0, 0, "", "is larger than 8 MiB"}});
  try {
    out.value_ = Builder(out).build(YAML::Load(text), "", 0);
  } catch (const YAML::Exception& error) {
    throw Error({{file, error.mark.line + 1, error.mark.column + 1, "", "is no YAML: " + error.msg}});
  }
  return out;
}

Document Document::read(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw Error({{path, 0, 0, "", "cannot be read"}});
  return parse(text.str(), path);
}

Problem Document::problem(const std::string& pointer, const std::string& text) const {
  // A key that is missing has no place of its own: its object's is the nearest.
  std::string at = pointer;
  auto found = marks_.find(at);
  while (found == marks_.end() && !at.empty()) {
    at.erase(at.rfind('/'));
    found = marks_.find(at);
  }
  const auto [line, column] = found == marks_.end() ? std::pair(0, 0) : found->second;
  return {file_, line, column, as_key(pointer), text};
}

namespace {

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

}  // namespace

void Document::check(const json& schema) const {
  valijson::Schema compiled;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema), compiled);
  valijson::Validator validator;  // strong types: what is a string stays one
  valijson::ValidationResults results;
  if (validator.validate(compiled, valijson::adapters::NlohmannJsonAdapter(value_), &results)) return;

  std::map<std::string, Problem> found;  // the deepest word on each place; an object's own come of its parts
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    std::string pointer;
    std::vector<std::string> path;
    for (std::size_t i = 1; i < error.context.size(); ++i) {  // "[key]" or "[0]" after "<root>"
      std::string part = error.context[i];
      if (part.size() >= 2 && part.front() == '[') part = part.substr(1, part.size() - 2);
      path.push_back(part);
      pointer.append("/").append(escaped(part));
    }
    const json* part = schema_at(schema, path);
    const json* value =
        value_.contains(json::json_pointer(pointer)) ? &value_[json::json_pointer(pointer)] : nullptr;
    bool own = false;
    if (part != nullptr && part->contains("properties") && value != nullptr && value->is_object()) {
      std::vector<std::string> known;
      for (const auto& [key, unused] : (*part)["properties"].items()) known.push_back(key);
      for (const auto& [key, unused] : value->items()) {
        if ((*part)["properties"].contains(key)) continue;
        const std::string near = nearest(key, known);
        std::string all;
        for (const std::string& k : known) all += (all.empty() ? "" : ", ") + k;
        const std::string at = pointer + "/" + escaped(key);
        found.emplace(at, problem(at, "is no key of this place; " +
                                          (near.empty() ? "known are " + all : "was " + near + " meant?")));
        own = true;
      }
      for (const json& key : part->value("required", json::array())) {
        if (value->contains(std::string(key))) continue;
        const std::string at = pointer + "/" + escaped(key);
        found.emplace(at, problem(at, "is missing"));
        own = true;
      }
      if (!own) continue;  // said of a part of it
    }
    if (own) continue;
    const std::string shown = value == nullptr ? "nothing" : value->dump().substr(0, 60);
    found.emplace(pointer, problem(pointer, "must be " + (part == nullptr ? "another value" : wanted(*part)) +
                                                ", not " + shown));
  }
  std::vector<Problem> problems;
  for (auto& [pointer, p] : found) {
    // What is wrong with a part is said there, and not once more of the whole.
    const auto inner = found.upper_bound(pointer + "/");
    if (inner == found.end() || inner->first.rfind(pointer + "/", 0) != 0) problems.push_back(std::move(p));
  }
  if (problems.empty()) problems.push_back(problem("", "does not fit its schema"));
  std::stable_sort(problems.begin(), problems.end(), [](const Problem& a, const Problem& b) {
    return std::pair(a.line, a.column) < std::pair(b.line, b.column);
  });
  throw Error(std::move(problems));
}

}  // namespace reeltack::yaml
