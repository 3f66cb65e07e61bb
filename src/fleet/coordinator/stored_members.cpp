// The table of members as text for the store, and its parser. The parser does not throw; it skips lines that
// are malformed or exceed a bound.
#include <charconv>

#include "fleet/coordinator/coordinator.h"

namespace reeltack::fleet {
namespace {

// Splits off the field up to the next tab. False: there is none left.
bool next_field(std::string_view& line, std::string_view& out) {
  if (line.data() == nullptr) return false;
  const std::size_t tab = line.find('\t');
  out = line.substr(0, tab);
  line = tab == std::string_view::npos ? std::string_view{} : line.substr(tab + 1);
  return true;
}
template <typename Number>
bool next_number(std::string_view& line, Number& out) {
  std::string_view text;
  if (!next_field(line, text)) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc{} && end == text.data() + text.size();
}

}  // namespace

std::string format_members(const members::Members& source) {
  std::string out;
  for (const auto& [id, member] : source.table()) {
    const members::Update& u = member.update;
    if (u.health == members::Health::left || (u.name + u.zone).find_first_of("\t\n") != std::string::npos)
      continue;
    out += std::to_string(static_cast<std::uint64_t>(id)) + '\t' + std::to_string(u.at.address) + '\t' +
           std::to_string(u.at.port) + '\t' + std::to_string(u.incarnation) + '\t' + u.name + '\t' + u.zone +
           '\n';
  }
  return out;
}

std::vector<members::Update> parse_members(const std::string& text) {
  std::vector<members::Update> out;
  std::string_view rest = text;
  while (!rest.empty() && out.size() < members::kMaxMembers) {
    const std::size_t end = rest.find('\n');
    std::string_view line = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    std::uint64_t id = 0;
    members::Update u;
    std::string_view name;
    std::string_view zone;
    if (!next_number(line, id) || !next_number(line, u.at.address) || !next_number(line, u.at.port) ||
        !next_number(line, u.incarnation) || !next_field(line, name) || !next_field(line, zone))
      continue;
    if (id == 0 || u.at.port == 0 || name.size() > members::kMaxNameBytes ||
        zone.size() > members::kMaxZoneBytes)
      continue;
    u.member = MemberId{id};
    u.name = name;
    u.zone = zone;
    out.push_back(std::move(u));
  }
  return out;
}

}  // namespace reeltack::fleet
