#include "membership/reachability.h"

#include <algorithm>

namespace reeltack::membership {

bool Reachability::update(const ServerEntry& entry) {
  const bool restarted = start_ && entry.start > *start_;
  start_ = entry.start;
  if (restarted) dead_ = false;
  ready_ = entry.state == ServerState::ready;
  gone_ = gone_ || entry.state == ServerState::gone;
  retry_at_ = {};
  return gone_ || restarted;
}

bool Reachability::dial_failed(DialResult how, Time at) {
  // A connection is refused after one that the office ended: the process has died, and its calls with it.
  const bool died = how == DialResult::refused && was_connected_ && ended_by_ == EndedBy::office;
  // Another process may take over the address: do not dial without need until a restart is reported.
  dead_ = dead_ || died;
  // The connection has ended and no new one comes up: the same silence as on an open connection.
  const bool lost = was_connected_ && calls_established_ && at >= loss_at();
  if (died || lost) was_connected_ = false;
  retry_at_ = at + settings_.retry_interval;
  return died || lost;
}

void Reachability::dial_impossible(Time at) {
  dial_impossible_at_ = at;
  retry_at_ = at + settings_.retry_interval;
}

Time Reachability::dial_deadline(Time at, Duration limit) const {
  const bool awaited = calls_established_ && was_connected_ && at < loss_at();
  return awaited ? std::min(at + limit, loss_at()) : at + limit;
}

void Reachability::connected(Time at) {
  received_at_ = at;
  awaiting_answer_since_.reset();
  probe_failed_ = false;
  was_connected_ = true;
  dead_ = false;
}

void Reachability::disconnected(Time at, EndedBy by) {
  retry_at_ = at + settings_.reconnect_delay;
  ended_by_ = by;
}

void Reachability::received(Time at) {
  received_at_ = at;
  awaiting_answer_since_.reset();
  probe_failed_ = false;
}

bool Reachability::set_up_sent(Time at) {
  if (awaiting_answer_since_) return false;
  awaiting_answer_since_ = at;
  return true;
}

// A quiet connection stays open forever, whether it alone is cut off or the machine has vanished. A new
// connection that comes up replaces the old one; without one for long enough the calls have ended. A refusal
// proves nothing about them: the process that dies resets its connections, and the kernel of a machine that
// is back without it resets them once it is asked.
Reachability::ProbeResult Reachability::probed(DialResult how, Time at) {
  probed_at_ = at;
  probe_refused_ = how == DialResult::refused;
  if (probe_refused_) probe_refused_at_ = at;
  if (how == DialResult::connected) return ProbeResult::replaced;
  if (how == DialResult::refused) return ProbeResult::refused;
  probe_failed_ = true;
  if (at < loss_at()) return ProbeResult::wait;
  was_connected_ = false;
  dead_ = true;
  return ProbeResult::lost;
}

Time Reachability::dial_at(bool set_ups_waiting, bool releases_waiting) const {
  if (set_ups_waiting) return Time{};  // at once
  const bool needed = !gone_ && !dead_ && (ready_ || calls_established_ || releases_waiting);
  return needed ? retry_at_ : Time::max();
}

Time Reachability::probe_at() const {
  Time at = Time::max();
  if (awaiting_answer_since_) at = *awaiting_answer_since_ + settings_.answer_timeout;
  if (calls_established_) at = std::min(at, received_at_ + settings_.idle_before_probe);
  const Duration pause = probe_refused_ ? settings_.refused_probe_interval : settings_.retry_interval;
  return at == Time::max() ? at : std::max(at, probed_at_ + pause);
}

}  // namespace reeltack::membership
