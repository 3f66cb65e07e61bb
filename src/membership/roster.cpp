#include "membership/roster.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace reeltack::membership {

std::vector<ServerId> Roster::told(bool complete, std::span<const ServerEntry> entries) {
  std::set<ServerId> over;
  if (complete) {
    std::set<ServerId> kept;
    for (const ServerEntry& e : entries) kept.insert(e.server);
    for (const auto& [id, member] : members_) {
      if (!kept.contains(id)) over.insert(id);
    }
    std::erase_if(members_, [&kept](const auto& m) { return !kept.contains(m.first); });
  }
  // In the order told: an office may go and come back under its id within one list.
  for (const ServerEntry& e : entries) {
    const auto known = members_.find(e.server);
    if (e.state == ServerState::gone) {
      if (known != members_.end()) {
        over.insert(e.server);
        members_.erase(known);
      }
      continue;
    }
    if (known == members_.end()) {
      members_[e.server].entry = e;
      continue;
    }
    Member& member = known->second;
    const bool restarted = e.start > member.entry.start;
    if (restarted) over.insert(e.server);
    member.entry = e;
    // What could not be reached was the process before.
    if (restarted) member.unreachable = false;
  }
  return {over.begin(), over.end()};
}

bool Roster::reached(ServerId office, bool up) {
  const auto found = members_.find(office);
  if (found == members_.end() || found->second.unreachable != up) return false;
  found->second.unreachable = !up;
  return true;
}

bool Roster::ready(ServerId office) const {
  const auto found = members_.find(office);
  return found != members_.end() && found->second.entry.state == ServerState::ready;
}

std::size_t Roster::avoided() const {
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& m) {
    return m.second.unreachable || m.second.entry.state != ServerState::ready;
  }));
}

void Roster::check() const {
  for (const auto& [id, member] : members_) {
    if (member.entry.server != id) throw std::logic_error("an entry stands under another office's id");
    if (member.entry.state == ServerState::gone) throw std::logic_error("an office that has gone is held");
  }
  if (avoided() > size()) throw std::logic_error("more offices are avoided than listed");
}

}  // namespace reeltack::membership
