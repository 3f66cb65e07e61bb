// Blocking of circuits (Q.764, 2.8.2), and circuits that are lost and restored.
#include <algorithm>

#include "circuits/group.h"

namespace reeltack::circuits {

// Ends the call on a circuit because of maintenance at this end.
void Group::release_for_maintenance(Time now, Cic cic, GroupActions& actions) {
  const Circuit& c = circuits_[cic];
  actions.emplace_back(
      Ended{c.call, is_outgoing(c.state), is_established(c.state), kTemporaryFailure, false});
  begin_release(now, cic, kTemporaryFailure, actions);
}

void Group::send_blocking(bool blocked, Cic first, std::uint32_t count, GroupActions& actions) {
  if (!up_ || count == 0) return;
  Message m;
  m.kind = blocked ? Kind::blo : Kind::ubl;
  m.cic = first;
  m.count = count;
  actions.emplace_back(Send{std::move(m)});
}

void Group::block(Time now, Cic first, std::uint32_t count, bool at_once, GroupActions& actions) {
  for (Cic cic = first; cic < first + count && cic < settings_.size; ++cic) {
    circuits_[cic].blocked_local = true;
    update_idle_sets(cic);
    if (at_once && holds_call(circuits_[cic].state)) release_for_maintenance(now, cic, actions);
  }
  send_blocking(true, first, std::min(count, settings_.size - first), actions);
}

void Group::unblock(Time /*now*/, Cic first, std::uint32_t count, GroupActions& actions) {
  count = std::min(count, settings_.size - first);
  for (Cic cic = first; cic < first + count; ++cic) {
    circuits_[cic].blocked_local = circuits_[cic].block_acknowledged = false;
    update_idle_sets(cic);
  }
  // Lost circuits stay blocked for the far end.
  for (Cic cic = first; cic < first + count;) {
    if (circuits_[cic].lost) {
      ++cic;
      continue;
    }
    const Cic begin = cic;
    while (cic < first + count && !circuits_[cic].lost) ++cic;
    send_blocking(false, begin, cic - begin, actions);
  }
}

void Group::lose(Time now, Cic first, std::uint32_t count, GroupActions& actions) {
  count = std::min(count, settings_.size - first);
  send_blocking(true, first, count, actions);
  for (Cic cic = first; cic < first + count; ++cic) {
    Circuit& c = circuits_[cic];
    c.lost = true;
    update_idle_sets(cic);
    if (holds_call(c.state)) release_for_maintenance(now, cic, actions);
  }
}

void Group::restore(Time /*now*/, Cic first, std::uint32_t count, GroupActions& actions) {
  count = std::min(count, settings_.size - first);
  for (Cic cic = first; cic < first + count; ++cic) {
    Circuit& c = circuits_[cic];
    c.lost = false;
    c.unaudited = true;  // not selectable before both ends agree that it is idle
    update_idle_sets(cic);
    if (!c.blocked_local) {
      c.block_acknowledged = false;
      send_blocking(false, cic, 1, actions);
    }
  }
  if (!up_) return;
  for (Cic at = first; at < first + count; at += settings_.audit_range)
    query(at, std::min(settings_.audit_range, first + count - at), actions);
}

}  // namespace reeltack::circuits
