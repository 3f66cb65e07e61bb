#include "membership/reach.h"

#include <algorithm>

namespace reeltack::membership {

bool Reachability::told(const ServerEntry& entry) {
  const bool restarted = start_ && entry.start > *start_;
  start_ = entry.start;
  if (restarted) dead_ = false;
  ready_ = entry.state == ServerState::ready;
  gone_ = gone_ || entry.state == ServerState::gone;
  retry_at_ = {};
  return gone_ || restarted;
}

bool Reachability::failed(Dialled how, Time at) {
  // A refused connection after one that stood: the process has died, and its calls with it.
  const bool died = how == Dialled::refused && was_up_;
  // Another process may take over the address: no dialling for nothing until this one is told as started.
  dead_ = dead_ || died;
  // The connection has ended and no new one comes up: the same silence as that of an open one.
  const bool lost = how == Dialled::failed && was_up_ && calls_stand_ && at >= lost_at();
  if (died || lost) was_up_ = false;
  retry_at_ = at + settings_.look;
  return died || lost;
}

void Reachability::no_room(Time at) {
  no_room_at_ = at;
  retry_at_ = at + settings_.look;
}

Time Reachability::dial_deadline(Time at, Duration limit) const {
  const bool awaited = calls_stand_ && was_up_ && at < lost_at();
  return awaited ? std::min(at + limit, lost_at()) : at + limit;
}

void Reachability::up(Time at) {
  heard_ = at;
  waits_.reset();
  was_up_ = true;
  dead_ = false;
}

void Reachability::ended(Time at) { retry_at_ = at + settings_.again; }

void Reachability::heard(Time at) {
  heard_ = at;
  waits_.reset();
}

bool Reachability::left(Time at) {
  if (waits_) return false;
  waits_ = at;
  return true;
}

// A quiet connection stays open for ever, whether it alone is cut off or the machine has vanished. A new one
// that comes up takes the place of the old; without one for long enough the calls are over.
Reachability::Asked Reachability::asked(Dialled how, Time at) {
  asked_ = at;
  if (how == Dialled::up) return Asked::replaced;
  if (how == Dialled::refused) return Asked::drop;
  if (at < lost_at()) return Asked::wait;
  was_up_ = false;
  dead_ = true;
  return Asked::lost;
}

Time Reachability::dial_at(bool open, bool owed) const {
  if (open) return Time{};  // at once
  const bool wanted = !gone_ && !dead_ && (ready_ || calls_stand_ || owed);
  return wanted ? retry_at_ : Time::max();
}

Time Reachability::ask_at() const {
  Time at = Time::max();
  if (waits_) at = *waits_ + settings_.unheard;
  if (calls_stand_) at = std::min(at, heard_ + settings_.quiet);
  return at == Time::max() ? at : std::max(at, asked_ + settings_.look);
}

}  // namespace reeltack::membership
