#include "fleet/members/spread.h"

namespace reeltack::fleet::members {

void BroadcastQueue::put(MemberId member) {
  drop(member);
  const Entry entry{0, serial_--, member};
  order_.insert(entry);
  entries_.emplace(member, entry);
}

void BroadcastQueue::drop(MemberId member) {
  const auto found = entries_.find(member);
  if (found == entries_.end()) return;
  order_.erase(found->second);
  entries_.erase(found);
}

void BroadcastQueue::record_sent(MemberId member, std::size_t max_transmissions) {
  const auto found = entries_.find(member);
  if (found == entries_.end()) return;
  order_.erase(found->second);
  std::size_t& transmissions = std::get<0>(found->second);
  if (++transmissions >= max_transmissions) {
    entries_.erase(found);
  } else {
    order_.insert(found->second);
  }
}

}  // namespace reeltack::fleet::members
