#include "fleet/drift/drift_facts.h"

#include <algorithm>
#include <array>

namespace reeltack::fleet::drift {
namespace {

// The N decimal numbers of a line, separated by single spaces; nothing if there are more or fewer.
template <std::size_t N>
std::optional<std::array<std::uint64_t, N>> numbers(std::string_view line) {
  std::array<std::uint64_t, N> out{};
  for (std::size_t i = 0; i < N; ++i) {
    const std::string_view field = line.substr(0, line.find(' '));
    const auto value = rules::read_count(field);
    if (!value) return std::nullopt;
    out.at(i) = *value;
    const bool last = field.size() == line.size();
    if (last != (i + 1 == N)) return std::nullopt;
    line.remove_prefix(last ? field.size() : field.size() + 1);
  }
  return out;
}
std::string line(std::initializer_list<std::uint64_t> values) {
  std::string out;
  for (const std::uint64_t value : values) out += (out.empty() ? "" : " ") + std::to_string(value);
  return out;
}
constexpr std::uint64_t kFormatVersion = 1;

}  // namespace

std::string write(const Vote& vote) {
  return line({kFormatVersion, vote.vote.epoch, vote.vote.digest, vote.approved.epoch, vote.approved.digest});
}
std::optional<Vote> read_vote(std::string_view value) {
  const auto n = numbers<5>(value);
  if (!n || n->at(0) != kFormatVersion) return std::nullopt;
  return Vote{{n->at(1), n->at(2)}, {n->at(3), n->at(4)}};
}

std::string write(const RulesReport& report) {
  std::string out = line({kFormatVersion, report.version.epoch, report.version.digest, report.governed,
                          report.full_digest, static_cast<std::uint64_t>(report.pending ? 1 : 0)});
  for (std::size_t i = 0; i < report.differing.size() && i < kMaxNamedKeys; ++i) {
    out += "\n" + report.differing[i].key;
    if (report.differing[i].actual) out += " " + *report.differing[i].actual;
  }
  return out;
}
std::optional<RulesReport> read_rules_report(std::string_view value) {
  std::string_view first = value.substr(0, value.find('\n'));
  const auto n = numbers<6>(first);
  if (!n || n->at(0) != kFormatVersion || n->at(5) > 1) return std::nullopt;
  RulesReport out{{n->at(1), n->at(2)}, n->at(3), n->at(4), n->at(5) == 1, {}};
  for (std::string_view rest = value.substr(first.size()); !rest.empty();) {
    rest.remove_prefix(1);
    const std::string_view field = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(field.size());
    const std::size_t space = field.find(' ');
    const std::string_view key = field.substr(0, space);
    const bool present = space != std::string_view::npos;
    if (!rules::is_key(key) || (present && !rules::is_word(field.substr(space + 1)))) return std::nullopt;
    if (out.differing.size() >= kMaxNamedKeys) return std::nullopt;
    out.differing.push_back({std::string(key), std::nullopt, std::nullopt});
    if (present) out.differing.back().actual = std::string(field.substr(space + 1));
  }
  return out;
}

std::string write(const VersionPart& part) {
  return line({kFormatVersion, part.version.epoch, part.version.digest, part.count}) + "\n" + part.text;
}
std::optional<VersionPart> read_part(std::string_view value) {
  const std::size_t end = value.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  const auto n = numbers<4>(value.substr(0, end));
  if (!n || n->at(0) != kFormatVersion || n->at(3) == 0 || n->at(3) > kMaxVersionParts) return std::nullopt;
  return VersionPart{{n->at(1), n->at(2)}, n->at(3), std::string(value.substr(end + 1))};
}
std::vector<VersionPart> parts_of(const Version& version) {
  const std::string text = write(version);
  const std::size_t count = (text.size() + kPartBytes - 1) / kPartBytes;
  std::vector<VersionPart> out;
  for (std::size_t i = 0; i < count; ++i)
    out.push_back({id_of(version), count, text.substr(i * kPartBytes, kPartBytes)});
  return out;
}

}  // namespace reeltack::fleet::drift
