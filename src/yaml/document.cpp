#include "yaml/document.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <sstream>

#include "yaml/pointer.h"

namespace reeltack::yaml {

namespace {

using nlohmann::json;

// Guards against aliases that unfold without end.
constexpr std::size_t kMostNodes = 200'000;
constexpr std::size_t kMostBytes = std::size_t{8} * 1024 * 1024;  // 8 MiB
constexpr int kMostDepth = 64;

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

}  // namespace

// Turns the nodes of one file into values, and keeps the mark of each.
class Builder {
 public:
  explicit Builder(Document& out) : out_(out) {}

  nlohmann::json build(const YAML::Node& node, const std::string& pointer, int depth) {
    if (++nodes_ > kMostNodes || depth > kMostDepth) {
      mark(node.Mark(), pointer);
      throw Error(
          {out_.problem(pointer, "holds more than this reader takes: at most " + std::to_string(kMostNodes) +
                                     " values, " + std::to_string(kMostDepth) + " deep")});
    }
    mark(node.Mark(), pointer);
    if (node.IsScalar()) return typed(node);
    if (node.IsSequence()) {
      nlohmann::json list = nlohmann::json::array();
      for (std::size_t i = 0; i < node.size(); ++i)
        list.push_back(build(node[i], pointer + "/" + std::to_string(i), depth + 1));
      return list;
    }
    if (!node.IsMap()) return nullptr;
    nlohmann::json object = nlohmann::json::object();
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

}  // namespace reeltack::yaml
