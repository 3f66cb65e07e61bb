#include "limits/patience.h"

#include <algorithm>

namespace reeltack::limits {

void Patience::came(Time at) {
  looked_ = at;
  if (!in_hand_) begun_ = at;
  in_hand_ = true;
}

void Patience::whole(Time at) {
  served_ = true;
  begun_ = at;
}

void Patience::in_hand(bool some) { in_hand_ = some; }

void Patience::crowded(bool so, Time at) {
  if (!so && crowded_) begun_ = std::max(begun_, at);  // what was not taken meanwhile is not its delay
  if (!so) crowded_.reset();
  if (so && !crowded_) crowded_ = at;
}

std::optional<PeerTimeout> Patience::overdue(Time at) const {
  if (crowded_) return at >= *crowded_ + settings_.unread ? std::optional(PeerTimeout::unread) : std::nullopt;
  if (at >= late_at()) return PeerTimeout::late;
  if (at >= quiet_at()) return PeerTimeout::quiet;
  return std::nullopt;
}

Time Patience::next() const {
  return crowded_ ? *crowded_ + settings_.unread : std::min(late_at(), quiet_at());
}

Time Patience::late_at() const { return in_hand_ || !served_ ? begun_ + settings_.whole : Time::max(); }
Time Patience::quiet_at() const {
  return settings_.quiet == Duration::max() ? Time::max() : looked_ + settings_.quiet;
}

}  // namespace reeltack::limits
