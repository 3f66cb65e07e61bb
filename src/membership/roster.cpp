#include "membership/roster.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace reeltack::membership {

std::map<ServerId, Roster::Ended> Roster::update(bool complete, std::span<const ServerEntry> entries) {
  std::map<ServerId, Ended> ended;
  if (complete) {
    std::set<ServerId> listed;
    for (const ServerEntry& e : entries) listed.insert(e.server);
    for (const auto& [id, member] : members_) {
      if (!listed.contains(id)) ended[id] = Ended::all_calls;
    }
    std::erase_if(members_, [&listed](const auto& m) { return !listed.contains(m.first); });
  }
  // In the order reported: within one list an office may go and come back under the same id.
  for (const ServerEntry& e : entries) {
    const auto known = members_.find(e.server);
    if (e.state == ServerState::gone) {
      if (known != members_.end()) {
        ended[e.server] = Ended::all_calls;
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
    if (restarted) ended.try_emplace(e.server, Ended::calls_before_restart);
    member.entry = e;
    // It was the previous process that could not be reached.
    if (restarted) member.unreachable = false;
  }
  return ended;
}

bool Roster::set_reachable(ServerId office, bool up) {
  const auto found = members_.find(office);
  if (found == members_.end() || found->second.unreachable != up) return false;
  found->second.unreachable = !up;
  return true;
}

bool Roster::ready(ServerId office) const {
  const auto found = members_.find(office);
  return found != members_.end() && found->second.entry.state == ServerState::ready;
}

std::size_t Roster::unavailable() const {
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& m) {
    return m.second.unreachable || m.second.entry.state != ServerState::ready;
  }));
}

void Roster::check_invariants() const {
  for (const auto& [id, member] : members_) {
    if (member.entry.server != id) throw std::logic_error("an entry stands under another office's id");
    if (member.entry.state == ServerState::gone)
      throw std::logic_error("an office that has gone is still listed");
  }
  if (unavailable() > size()) throw std::logic_error("more offices are unavailable than listed");
}

}  // namespace reeltack::membership
