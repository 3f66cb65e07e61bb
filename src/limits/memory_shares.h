// Shares a bounded amount of memory among owners by a dynamic threshold (Choudhury and Hahne, 1998): an owner
// may hold at most as much as is free. One owner alone gets half of it, and n owners that want all they can
// get an n+1st each, so that there is always room for a further one.
//
// Performs no I/O and reads no clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace reeltack::limits {

class MemoryShares {
 public:
  enum class Owner : std::uint64_t {};
  explicit MemoryShares(std::size_t capacity_bytes) : capacity_(capacity_bytes) {}

  // False: the owner's share is exhausted; nothing was taken.
  bool take(Owner owner, std::size_t bytes);
  // As much as was taken before, at once or in parts.
  void give_back(Owner owner, std::size_t bytes);
  [[nodiscard]] std::size_t held() const { return held_; }
  [[nodiscard]] std::size_t held_by(Owner owner) const;

 private:
  // Owners that hold nothing keep their entries up to this size of the table, since most take again soon.
  static constexpr std::size_t kMaxIdleOwners = 256;
  const std::size_t capacity_;
  std::size_t held_ = 0;
  std::unordered_map<Owner, std::size_t> by_owner_;
};

}  // namespace reeltack::limits
