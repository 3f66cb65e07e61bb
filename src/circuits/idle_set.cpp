// Hierarchical bitmap and linked list of the idle circuits.
#include "circuits/idle_set.h"

#include <bit>

namespace reeltack::circuits {

IdleSet::IdleSet(std::uint32_t size) : older_(size, kNone), newer_(size, kNone) {
  std::uint32_t words = size;
  do {
    words = (words + 63) / 64;
    levels_.emplace_back(words, 0);
  } while (words > 1);
}

void IdleSet::insert(Cic cic) {
  if (contains(cic)) return;
  std::uint32_t at = cic;
  for (auto& level : levels_) {
    level[at >> 6U] |= std::uint64_t{1} << (at & 63U);
    at >>= 6U;
  }
  older_[cic] = newest_;
  newer_[cic] = kNone;
  (newest_ == kNone ? oldest_ : newer_[newest_]) = cic;
  newest_ = cic;
  ++count_;
}

void IdleSet::erase(Cic cic) {
  if (!contains(cic)) return;
  std::uint32_t at = cic;
  for (auto& level : levels_) {
    level[at >> 6U] &= ~(std::uint64_t{1} << (at & 63U));
    if (level[at >> 6U] != 0) break;
    at >>= 6U;
  }
  (older_[cic] == kNone ? oldest_ : newer_[older_[cic]]) = newer_[cic];
  (newer_[cic] == kNone ? newest_ : older_[newer_[cic]]) = older_[cic];
  --count_;
}

std::optional<Cic> IdleSet::lowest() const {
  if (count_ == 0) return std::nullopt;
  std::uint32_t at = 0;
  for (std::size_t l = levels_.size(); l-- > 0;)
    at = at << 6U | static_cast<std::uint32_t>(std::countr_zero(levels_[l][at]));
  return at;
}
std::optional<Cic> IdleSet::highest() const {
  if (count_ == 0) return std::nullopt;
  std::uint32_t at = 0;
  for (std::size_t l = levels_.size(); l-- > 0;)
    at = at << 6U | static_cast<std::uint32_t>(63 - std::countl_zero(levels_[l][at]));
  return at;
}
std::optional<Cic> IdleSet::longest_idle() const {
  if (oldest_ == kNone) return std::nullopt;
  return oldest_;
}
std::optional<Cic> IdleSet::last_released() const {
  if (newest_ == kNone) return std::nullopt;
  return newest_;
}

}  // namespace reeltack::circuits
