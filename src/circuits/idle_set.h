// Set of selectable circuits with selection orders whose cost hardly depends on the size of the group.
//
// Orders: from the low end or from the high end (a tree of 64-bit words with one step per level: three
// levels for 10,000 circuits), longest idle first, or last released first (a doubly linked list through
// the circuits). Does not allocate after construction and never iterates over circuits. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace reeltack::circuits {

using Cic = std::uint32_t;  // circuit identification code: the position in the group, from 0

class IdleSet {
 public:
  explicit IdleSet(std::uint32_t size);
  void insert(Cic cic);  // becomes the last released; no effect if already contained
  void erase(Cic cic);
  [[nodiscard]] bool contains(Cic cic) const { return (levels_[0][cic >> 6U] >> (cic & 63U) & 1U) != 0; }
  [[nodiscard]] std::uint32_t size() const { return count_; }
  [[nodiscard]] std::optional<Cic> lowest() const;
  [[nodiscard]] std::optional<Cic> highest() const;
  [[nodiscard]] std::optional<Cic> longest_idle() const;
  [[nodiscard]] std::optional<Cic> last_released() const;

 private:
  static constexpr std::uint32_t kNone = 0xffffffffU;
  std::vector<std::vector<std::uint64_t>> levels_;  // a bit is set if the word below it is not zero
  std::vector<std::uint32_t> older_;                // neighbours in the list, by circuit
  std::vector<std::uint32_t> newer_;
  std::uint32_t oldest_ = kNone;
  std::uint32_t newest_ = kNone;
  std::uint32_t count_ = 0;
};

}  // namespace reeltack::circuits
