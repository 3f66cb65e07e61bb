#include "fleet/drift/words.h"

#include <algorithm>
#include <array>

namespace reeltack::fleet::drift {
namespace {

// The decimal numbers of a line, one space between; nothing where there are not just N.
template <std::size_t N>
std::optional<std::array<std::uint64_t, N>> numbers(std::string_view line) {
  std::array<std::uint64_t, N> out{};
  for (std::size_t i = 0; i < N; ++i) {
    const std::string_view one = line.substr(0, line.find(' '));
    const auto value = rules::read_count(one);
    if (!value) return std::nullopt;
    out.at(i) = *value;
    const bool last = one.size() == line.size();
    if (last != (i + 1 == N)) return std::nullopt;
    line.remove_prefix(last ? one.size() : one.size() + 1);
  }
  return out;
}
std::string line(std::initializer_list<std::uint64_t> values) {
  std::string out;
  for (const std::uint64_t value : values) out += (out.empty() ? "" : " ") + std::to_string(value);
  return out;
}
constexpr std::uint64_t kForm = 1;

}  // namespace

std::string write(const Vote& vote) {
  return line({kForm, vote.vote.epoch, vote.vote.digest, vote.approved.epoch, vote.approved.digest});
}
std::optional<Vote> read_vote(std::string_view value) {
  const auto n = numbers<5>(value);
  if (!n || n->at(0) != kForm) return std::nullopt;
  return Vote{{n->at(1), n->at(2)}, {n->at(3), n->at(4)}};
}

std::string write(const Word& word) {
  std::string out = line({kForm, word.by.epoch, word.by.digest, word.governed, word.whole,
                          static_cast<std::uint64_t>(word.pending ? 1 : 0)});
  for (std::size_t i = 0; i < word.named.size() && i < kMostNamed; ++i) {
    out += "\n" + word.named[i].key;
    if (word.named[i].actual) out += " " + *word.named[i].actual;
  }
  return out;
}
std::optional<Word> read_word(std::string_view value) {
  std::string_view first = value.substr(0, value.find('\n'));
  const auto n = numbers<6>(first);
  if (!n || n->at(0) != kForm || n->at(5) > 1) return std::nullopt;
  Word out{{n->at(1), n->at(2)}, n->at(3), n->at(4), n->at(5) == 1, {}};
  for (std::string_view rest = value.substr(first.size()); !rest.empty();) {
    rest.remove_prefix(1);
    const std::string_view one = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(one.size());
    const std::size_t space = one.find(' ');
    const std::string_view key = one.substr(0, space);
    const bool there = space != std::string_view::npos;
    if (!rules::is_key(key) || (there && !rules::is_word(one.substr(space + 1)))) return std::nullopt;
    if (out.named.size() >= kMostNamed) return std::nullopt;
    out.named.push_back({std::string(key), std::nullopt, std::nullopt});
    if (there) out.named.back().actual = std::string(one.substr(space + 1));
  }
  return out;
}

std::string write(const Part& part) {
  return line({kForm, part.of.epoch, part.of.digest, part.parts}) + "\n" + part.text;
}
std::optional<Part> read_part(std::string_view value) {
  const std::size_t end = value.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  const auto n = numbers<4>(value.substr(0, end));
  if (!n || n->at(0) != kForm || n->at(3) == 0 || n->at(3) > kMostParts) return std::nullopt;
  return Part{{n->at(1), n->at(2)}, n->at(3), std::string(value.substr(end + 1))};
}
std::vector<Part> parts_of(const Version& version) {
  const std::string text = write(version);
  const std::size_t parts = (text.size() + kPartBytes - 1) / kPartBytes;
  std::vector<Part> out;
  for (std::size_t i = 0; i < parts; ++i)
    out.push_back({name_of(version), parts, text.substr(i * kPartBytes, kPartBytes)});
  return out;
}

}  // namespace reeltack::fleet::drift
