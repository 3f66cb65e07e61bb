#include "config/versions.h"

#include "config/terms.h"
#include "yaml/document.h"
#include "yaml/field_reader.h"
#include "yaml/span.h"

namespace reeltack::config {

extern const char* const kRulesSchema;
const char* rules_schema() { return kRulesSchema; }

namespace {

using fleet::drift::Version;
using nlohmann::json;
using rules::Type;

std::optional<Type> type_of(std::string_view key, const Node& node) {
  if (const auto term = type_of_term(key)) return term;
  const auto meaning = rules::rule_info(key, node.class_names, node.settings.tenants.size());
  return meaning ? std::optional(meaning->type) : std::nullopt;
}

class Reader : yaml::FieldReader {
 public:
  Reader(const yaml::Document& document, const Node& node) : FieldReader(document), node_(node) {
    const rules::Tree module = rules::rules_of(node.settings, node.class_names);
    for (const auto& [key, value] : module.rules()) known_.push_back(key);
    rules::Tree terms;
    add_terms({}, terms);
    for (const auto& [key, value] : terms.rules()) known_.push_back(key);
  }

  Version read() {
    const json& top = value()["version"];
    Version out;
    out.epoch = top["epoch"];
    take(top["rules"], "/version/rules", out.rules);
    for (const char* of : {"zones", "names"}) {
      if (!top.contains(of)) continue;
      for (const auto& [name, rules] : top[of].items())
        take(rules, std::string("/version/") + of + "/" + name,
             (of[0] == 'z' ? out.zones : out.names)[rules::escape_name(name)]);
    }
    if (!failed()) check(out);
    finish();
    return out;
  }

 private:
  void take(const json& from, const std::string& at, rules::Rules& into) {
    for (const auto& [key, value] : from.items()) {
      const auto type = type_of(key, node_);
      if (!type) {
        const std::string near = yaml::nearest(key, known_);
        fail(place(at, key), near.empty() ? "is no rule" : "is no rule; was " + near + " meant?");
        continue;
      }
      const auto text = spelt(value, *type);
      if (text && rules::is_canonical(*type, *text))
        into.insert_or_assign(key, *text);
      else
        fail(place(at, key), std::string("must be ") + wanted(*type) + ", not " + value.dump());
    }
  }
  static std::string place(std::string at, const std::string& key) { return at.append("/").append(key); }
  static const char* wanted(Type type) {
    constexpr const char* kWanted[] = {"a time with its unit, as 300ms", "a number",
                                       "a whole number from 0 on", "true or false", "a word"};
    return kWanted[static_cast<int>(type)];
  }
  static std::optional<std::string> spelt(const json& value, Type type) {
    switch (type) {
      case Type::duration:
        try {
          return value.is_string() ? std::optional(rules::to_canonical(yaml::parse_span(value)))
                                   : std::nullopt;
        } catch (const std::invalid_argument&) {
          return std::nullopt;
        }
      case Type::number:
        return value.is_number() ? std::optional(rules::to_canonical(value.get<double>())) : std::nullopt;
      case Type::count:
        return value.is_number_integer() && value.get<std::int64_t>() >= 0
                   ? std::optional(rules::to_canonical(value.get<std::uint64_t>()))
                   : std::nullopt;
      case Type::flag:
        return value.is_boolean() ? std::optional(rules::to_canonical(value.get<bool>())) : std::nullopt;
      case Type::word:
        return value.is_string() ? std::optional(value.get<std::string>()) : std::nullopt;
    }
    return std::nullopt;
  }
  // What it would have this controller, and each that it names, run by.
  void check(const Version& version) {
    const auto whole = [&](const std::string& name, const std::string& zone, const std::string& at) {
      rules::Tree tree;
      rules::Rules running = rules::rules_of(node_.settings, node_.class_names).rules();
      for (const auto& [key, value] : required_rules(version, name, zone))
        running.insert_or_assign(key, value);
      for (const auto& [key, value] : running) static_cast<void>(tree.put(key, value));
      for (const std::string& broken : rules::violated_bounds(tree)) fail(at, broken);
    };
    whole("", "", "/version/rules");
    for (const auto& [zone, rules] : version.zones) whole("", zone, "/version/zones");
    for (const auto& [name, rules] : version.names) whole(name, "", "/version/names");
    if (write(version).size() > fleet::drift::kMaxVersionBytes)
      fail("/version", "is larger than 40 KB as it spreads");
  }

  const Node& node_;
  std::vector<std::string> known_;
};

Version read(const yaml::Document& document, const Node& node) {
  document.check(json::parse(kRulesSchema));
  return Reader(document, node).read();
}

}  // namespace

Version read_version(const std::string& path, const Node& node) {
  return read(yaml::Document::read(path), node);
}
Version parse_version(const std::string& text, const std::string& file, const Node& node) {
  return read(yaml::Document::parse(text, file), node);
}

rules::Tree rules_of(const Node& node, const Controllers& controllers) {
  rules::Tree out = rules::rules_of(node.settings, node.class_names);
  add_terms(controllers.turn, out);
  return out;
}

std::vector<std::string> lay_over(Node& node, Controllers& controllers, const Version& version) {
  Node changed = node;
  std::vector<std::string> out;
  const rules::Rules wanted = required_rules(version, node.name, controllers.zone);
  for (const auto& [key, value] : wanted) {
    if (type_of_term(key)) continue;  // below, on what the settings have become
    const std::string why = rules::apply_rule(changed.settings, changed.class_names, key, value);
    if (!why.empty()) out.push_back(why);
  }
  for (std::string& broken : rules::violated_bounds(rules::rules_of(changed.settings, changed.class_names)))
    out.push_back(std::move(broken));
  fleet::CoordinatorSettings turn = controllers.turn;
  for (const auto& [key, value] : wanted) {
    if (!type_of_term(key)) continue;
    const std::string why = lay_over(turn, key, value);
    if (!why.empty()) out.push_back(why);
  }
  if (!out.empty()) return out;
  // The platform's rules on cold offices and the classes stand in both.
  take_platform_terms(changed.settings, turn.recovery);
  node = std::move(changed);
  controllers.turn = std::move(turn);
  return out;
}

}  // namespace reeltack::config
