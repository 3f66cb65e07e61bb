#include "rules/tree.h"

#include <xxhash.h>

#include <algorithm>

namespace reeltack::rules {
namespace {

bool is_key_char(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '~';
}

// Digest of a sequence of texts. Their lengths count too, so that "ab","c" differs from "a","bc".
class DigestBuilder {
 public:
  DigestBuilder& add(std::string_view text) {
    digest_ = ::XXH3_64bits_withSeed(text.data(), text.size(), digest_ + text.size());
    return *this;
  }
  DigestBuilder& add(Digest digest) { return add({reinterpret_cast<const char*>(&digest), sizeof digest}); }
  [[nodiscard]] Digest value() const { return digest_ == 0 ? 1 : digest_; }

 private:
  Digest digest_ = 0;
};

constexpr std::string_view kAbsent{"\0absent", 7};  // no value has control characters

}  // namespace

bool is_key(std::string_view text) {
  constexpr std::size_t kMaxSize = 128;
  if (text.empty() || text.size() > kMaxSize || text.front() == '.' || text.back() == '.') return false;
  return text.find("..") == std::string_view::npos &&
         std::all_of(text.begin(), text.end(), [](char c) { return c == '.' || is_key_char(c); });
}

std::string escape_name(std::string_view name) {
  constexpr const char* kHex = "0123456789abcdef";
  std::string out;
  for (const char c : name) {
    if (is_key_char(c) && c != '~') {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    (out += '~') += kHex[byte >> 4U];
    out += kHex[byte & 15U];
  }
  return out;
}

std::string_view section_of(std::string_view key) {
  const std::size_t point = key.rfind('.');
  return point == std::string_view::npos ? std::string_view{} : key.substr(0, point);
}

bool Tree::put(std::string key, std::string value) {
  if (!is_key(key) || !is_word(value) || rules_.size() >= kMaxRules) return false;
  return rules_.emplace(std::move(key), std::move(value)).second;
}

std::optional<std::string> Tree::value(std::string_view key) const {
  const auto found = rules_.find(key);
  return found == rules_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<Section> Tree::sections() const {
  std::map<std::string_view, std::pair<DigestBuilder, std::size_t>> by_name;
  for (const auto& [key, value] : rules_) {
    auto& [builder, count] = by_name[section_of(key)];
    builder.add(digest_of(key, value));
    ++count;
  }
  std::vector<Section> out;
  out.reserve(by_name.size());
  for (const auto& [name, builder] : by_name)
    out.push_back({std::string(name), builder.first.value(), builder.second});
  return out;
}

Digest Tree::digest() const {
  DigestBuilder builder;
  for (const Section& section : sections()) builder.add(section.name).add(section.digest);
  return builder.value();
}

Digest digest_of(std::string_view key, std::string_view value) {
  return DigestBuilder().add(key).add(value).value();
}

Digest digest_of(const Rules& governed, const Tree& tree) {
  DigestBuilder builder;
  for (const auto& [key, value] : governed)
    builder.add(digest_of(key, tree.value(key).value_or(std::string(kAbsent))));
  return builder.value();
}
Digest digest_of(const Rules& rules) {
  DigestBuilder builder;
  for (const auto& [key, value] : rules) builder.add(digest_of(key, value));
  return builder.value();
}

std::vector<Difference> differences(const Tree& tree, const Rules& expected) {
  std::vector<Difference> out;
  for (const auto& [key, value] : expected) {
    const auto actual = tree.value(key);
    if (actual != value) out.push_back({key, actual, value});
  }
  return out;
}

std::vector<Difference> differences(const Tree& a, const Tree& b, std::size_t* sections_compared) {
  std::map<std::string, std::pair<Digest, Digest>> sections;
  for (const Section& s : a.sections()) sections[s.name].first = s.digest;
  for (const Section& s : b.sections()) sections[s.name].second = s.digest;
  std::vector<Difference> out;
  std::size_t compared = 0;
  for (const auto& [name, digests] : sections) {
    if (digests.first == digests.second) continue;
    ++compared;
    std::map<std::string, Difference> found;
    for (const auto& [key, value] : a.rules())
      if (section_of(key) == name) found[key] = {key, value, std::nullopt};
    for (const auto& [key, value] : b.rules()) {
      if (section_of(key) != name) continue;
      Difference& d = found[key];
      d.key = key;
      d.expected = value;
    }
    for (auto& [key, d] : found)
      if (d.actual != d.expected) out.push_back(std::move(d));
  }
  if (sections_compared != nullptr) *sections_compared = compared;
  return out;
}

}  // namespace reeltack::rules
