#include "limits/peer_deadlines.h"

#include <algorithm>

namespace reeltack::limits {

void PeerDeadlines::received(Time at) {
  idle_since_ = at;
  if (!partial_message_) message_since_ = at;
  partial_message_ = true;
}

void PeerDeadlines::message_completed(Time at) {
  served_ = true;
  message_since_ = at;
}

void PeerDeadlines::set_partial_message(bool some) { partial_message_ = some; }

void PeerDeadlines::set_output_blocked(bool blocked, Time at) {
  if (!blocked && output_blocked_since_)
    message_since_ = std::max(message_since_, at);  // the peer did not delay what we did not read
  if (!blocked) output_blocked_since_.reset();
  if (blocked && !output_blocked_since_) output_blocked_since_ = at;
}

std::optional<PeerTimeout> PeerDeadlines::expired(Time at) const {
  if (output_blocked_since_)
    return at >= *output_blocked_since_ + settings_.unread_output ? std::optional(PeerTimeout::unread_output)
                                                                  : std::nullopt;
  if (at >= message_expiry()) return PeerTimeout::message;
  if (at >= idle_expiry()) return PeerTimeout::idle;
  return std::nullopt;
}

Time PeerDeadlines::next_expiry() const {
  return output_blocked_since_ ? *output_blocked_since_ + settings_.unread_output
                               : std::min(message_expiry(), idle_expiry());
}

Time PeerDeadlines::message_expiry() const {
  return partial_message_ || !served_ ? message_since_ + settings_.message : Time::max();
}
Time PeerDeadlines::idle_expiry() const {
  return settings_.idle == Duration::max() ? Time::max() : idle_since_ + settings_.idle;
}

}  // namespace reeltack::limits
