#include "fleet/drift/version.h"

#include <xxhash.h>

namespace reeltack::fleet::drift {
namespace {

void write(const rules::Rules& rules, const std::string& prefix, std::string& out) {
  for (const auto& [key, value] : rules)
    out.append(prefix).append(key).append(" ").append(value).append("\n");
}

// Parses KEY VALUE into `into`; false if the line is malformed or out of order.
bool parse_rule(std::string_view line, rules::Rules& into) {
  const std::size_t space = line.find(' ');
  if (space == std::string_view::npos) return false;
  const std::string_view key = line.substr(0, space), value = line.substr(space + 1);
  if (!rules::is_key(key) || !rules::is_word(value)) return false;
  if (!into.empty() && key <= into.rbegin()->first) return false;
  into.emplace_hint(into.end(), key, value);
  return true;
}
bool parse_scoped(std::string_view line, std::map<std::string, rules::Rules>& into) {
  const std::size_t colon = line.find(':'), space = line.find(' ');
  const std::string scope(line.substr(colon + 1, space - colon - 1));
  if (!rules::is_key(scope) || scope.find('.') != std::string::npos) return false;
  if (!into.empty() && scope < into.rbegin()->first) return false;
  return parse_rule(line.substr(space + 1), into[scope]);
}

}  // namespace

std::string write(const Version& version) {
  std::string out = "1 " + std::to_string(version.epoch) + "\n";
  write(version.rules, "", out);
  for (const auto& [zone, rules] : version.zones) write(rules, "zone:" + zone + " ", out);
  for (const auto& [name, rules] : version.names) write(rules, "name:" + name + " ", out);
  return out;
}

std::optional<Version> read_version(std::string_view text) {
  if (text.size() > kMaxVersionBytes || !text.starts_with("1 ") || !text.ends_with("\n")) return std::nullopt;
  Version out;
  const std::string original(text);
  std::size_t end = text.find('\n');
  const auto epoch = rules::read_count(text.substr(2, end - 2));
  if (!epoch || *epoch == 0) return std::nullopt;
  out.epoch = *epoch;
  for (std::size_t from = end + 1; from < text.size(); from = end + 1) {
    end = text.find('\n', from);
    const std::string_view line = text.substr(from, end - from);
    const std::size_t colon = line.find(':'), space = line.find(' ');
    const bool scoped = colon != std::string_view::npos && space != std::string_view::npos && colon < space;
    const bool parsed = !scoped                     ? parse_rule(line, out.rules)
                        : line.starts_with("zone:") ? parse_scoped(line, out.zones)
                        : line.starts_with("name:") ? parse_scoped(line, out.names)
                                                    : false;
    if (!parsed) return std::nullopt;
  }
  if (write(out) != original) return std::nullopt;  // sections out of order
  return out;
}

VersionId id_of(const Version& version) {
  const std::string text = write(version);
  const rules::Digest digest = ::XXH3_64bits(text.data(), text.size());
  return {version.epoch, digest == 0 ? 1 : digest};
}

rules::Rules required_rules(const Version& version, std::string_view name, std::string_view zone) {
  rules::Rules out = version.rules;
  const auto overlay = [&out](const std::map<std::string, rules::Rules>& of, std::string_view scope) {
    const auto found = of.find(rules::escape_name(scope));
    if (found == of.end()) return;
    for (const auto& [key, value] : found->second) out.insert_or_assign(key, value);
  };
  overlay(version.zones, zone);
  overlay(version.names, name);
  return out;
}

}  // namespace reeltack::fleet::drift
