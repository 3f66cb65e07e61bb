#include "limits/memory_shares.h"

#include <algorithm>

namespace reeltack::limits {

bool MemoryShares::take(Owner owner, std::size_t bytes) {
  const std::size_t free = capacity_ - held_;
  const std::size_t own = held_by(owner);
  if (bytes > free || own > free - bytes) return false;
  held_ += bytes;
  by_owner_[owner] = own + bytes;
  return true;
}

void MemoryShares::give_back(Owner owner, std::size_t bytes) {
  const auto found = by_owner_.find(owner);
  if (found == by_owner_.end()) return;
  const std::size_t returned = std::min(bytes, found->second);
  held_ -= returned;
  found->second -= returned;
  if (found->second == 0 && by_owner_.size() > kMaxIdleOwners) by_owner_.erase(found);
}

std::size_t MemoryShares::held_by(Owner owner) const {
  const auto found = by_owner_.find(owner);
  return found == by_owner_.end() ? 0 : found->second;
}

}  // namespace reeltack::limits
