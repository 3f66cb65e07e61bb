// Which circuits may be selected, in an order that costs the same at any size of the group.
//
// Owns: the set and the order of hunting.
// Must never: allocate after its construction, or walk over circuits.
//
// Orders: from the low end, from the high end (a tree of 64-bit words: as many steps as levels, three at
// 10,000 circuits), longest idle first, or last released first (a list through the circuits). Threads: one at
// a time.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace reeltack::circuits {

using Cic = std::uint32_t;  // circuit identification code: the position in the group, from 0

class IdleSet {
 public:
  explicit IdleSet(std::uint32_t size);
  void insert(Cic cic);  // the last released; no effect if it is in already
  void erase(Cic cic);
  [[nodiscard]] bool contains(Cic cic) const { return (levels_[0][cic >> 6U] >> (cic & 63U) & 1U) != 0; }
  [[nodiscard]] std::uint32_t size() const { return count_; }
  [[nodiscard]] std::optional<Cic> lowest() const;
  [[nodiscard]] std::optional<Cic> highest() const;
  [[nodiscard]] std::optional<Cic> longest_idle() const;
  [[nodiscard]] std::optional<Cic> last_released() const;

 private:
  static constexpr std::uint32_t kNone = 0xffffffffU;
  std::vector<std::vector<std::uint64_t>> levels_;  // a bit of a level tells that a word below is not empty
  std::vector<std::uint32_t> older_;                // lists through the circuits
  std::vector<std::uint32_t> newer_;
  std::uint32_t oldest_ = kNone;
  std::uint32_t newest_ = kNone;
  std::uint32_t count_ = 0;
};

}  // namespace reeltack::circuits
