// Bounds: whose messages are accepted, and how many of each sender. Nothing here throws but check().
#include <stdexcept>

#include "fleet/coordinator/coordinator.h"

namespace reeltack::fleet {

bool Coordinator::acceptable(const Envelope& e) {
  if (e.fleet != members_.self().fleet) return ++counts_.other_fleet, false;
  if (e.version < kOldestVersion || e.version > kNewestVersion) return ++counts_.unsupported_version, false;
  return true;
}

bool Coordinator::rate_exceeded(Time now, MemberId from) {
  const bool tracked = rates_.size() < settings_.max_tracked_senders || rates_.contains(from) ||
                       members_.table().contains(from);
  MessageRate& rate = rates_[tracked ? from : MemberId{}];
  if (now >= rate.since + settings_.rate_window) rate = {now, 0};
  if (++rate.messages <= settings_.max_messages_per_window) return false;
  ++counts_.flooded;
  return true;
}

// All classes may be open while members still disagree about the offices.
bool Coordinator::returning() const {
  return recovery_.stage() != recovery::Stage::full || recovery_.recovering();
}

Envelope Coordinator::envelope() const {
  const members::Self& self = members_.self();
  return {kNewestVersion, self.fleet, self.epoch, self.id, self.incarnation};
}

void Coordinator::check(Time now) const {
  members_.check();
  facts_.check();
  recovery_.check(now);
  eager_push_.check();
  gossip_.check();
  std::size_t inbound = 0;
  for (const auto& [id, exchange] : exchanges_) inbound += exchange.initiated_here ? 0 : 1;
  if (inbound > settings_.max_inbound_exchanges) throw std::logic_error("too many inbound exchanges");
}

}  // namespace reeltack::fleet
