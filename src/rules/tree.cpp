#include "rules/tree.h"

#include <xxhash.h>

#include <algorithm>

namespace reeltack::rules {
namespace {

bool plain(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '~';
}

// Of texts one after the other, each with its end, so that "ab","c" is not "a","bc".
class Sum {
 public:
  Sum& add(std::string_view text) {
    sum_ = ::XXH3_64bits_withSeed(text.data(), text.size(), sum_ + text.size());
    return *this;
  }
  Sum& add(Digest digest) { return add({reinterpret_cast<const char*>(&digest), sizeof digest}); }
  [[nodiscard]] Digest value() const { return sum_ == 0 ? 1 : sum_; }

 private:
  Digest sum_ = 0;
};

constexpr std::string_view kAbsent{"\0absent", 7};  // no value is spelt so

}  // namespace

bool is_key(std::string_view text) {
  constexpr std::size_t kMost = 128;
  if (text.empty() || text.size() > kMost || text.front() == '.' || text.back() == '.') return false;
  return text.find("..") == std::string_view::npos &&
         std::all_of(text.begin(), text.end(), [](char c) { return c == '.' || plain(c); });
}

std::string escape_name(std::string_view name) {
  constexpr const char* kHex = "0123456789abcdef";
  std::string out;
  for (const char c : name) {
    if (plain(c) && c != '~') {
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
  std::map<std::string_view, std::pair<Sum, std::size_t>> sums;
  for (const auto& [key, value] : rules_) {
    auto& [sum, count] = sums[section_of(key)];
    sum.add(digest_of(key, value));
    ++count;
  }
  std::vector<Section> out;
  out.reserve(sums.size());
  for (const auto& [name, sum] : sums) out.push_back({std::string(name), sum.first.value(), sum.second});
  return out;
}

Digest Tree::whole() const {
  Sum sum;
  for (const Section& section : sections()) sum.add(section.name).add(section.digest);
  return sum.value();
}

Digest digest_of(std::string_view key, std::string_view value) { return Sum().add(key).add(value).value(); }

Digest digest_of(const Rules& governed, const Tree& tree) {
  Sum sum;
  for (const auto& [key, wanted] : governed)
    sum.add(digest_of(key, tree.value(key).value_or(std::string(kAbsent))));
  return sum.value();
}
Digest digest_of(const Rules& rules) {
  Sum sum;
  for (const auto& [key, value] : rules) sum.add(digest_of(key, value));
  return sum.value();
}

std::vector<Difference> differences(const Tree& tree, const Rules& wanted) {
  std::vector<Difference> out;
  for (const auto& [key, value] : wanted) {
    const auto is = tree.value(key);
    if (is != value) out.push_back({key, is, value});
  }
  return out;
}

std::vector<Difference> differences(const Tree& a, const Tree& b, std::size_t* looked) {
  std::map<std::string, std::pair<Digest, Digest>> sections;
  for (const Section& s : a.sections()) sections[s.name].first = s.digest;
  for (const Section& s : b.sections()) sections[s.name].second = s.digest;
  std::vector<Difference> out;
  std::size_t opened = 0;
  for (const auto& [name, digests] : sections) {
    if (digests.first == digests.second) continue;
    ++opened;
    std::map<std::string, Difference> found;
    for (const auto& [key, value] : a.rules())
      if (section_of(key) == name) found[key] = {key, value, std::nullopt};
    for (const auto& [key, value] : b.rules()) {
      if (section_of(key) != name) continue;
      Difference& d = found[key];
      d.key = key;
      d.wanted = value;
    }
    for (auto& [key, d] : found)
      if (d.is != d.wanted) out.push_back(std::move(d));
  }
  if (looked != nullptr) *looked = opened;
  return out;
}

}  // namespace reeltack::rules
