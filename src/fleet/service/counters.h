// What the core saw of each office, counted where two threads meet without waiting for one another.
//
// Owns: a table of totals that one thread writes and one reads, without a lock. Must never: make the writer
// wait for the reader, whatever the reader does; forget an office; take memory beyond kMaxOffices.
//
// The writer alone adds offices (in blocks, allocated as they are needed) and is the only one that writes a
// total, so that a load and a store do. The reader may see an outcome's parts apart from one another; each
// total is right at the latest at its next reading. Beyond kMaxOffices further offices are not counted.
// Threads: add() by the core's alone, read() by the link's alone.
#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <unordered_map>
#include <vector>

#include "fleet/sums/sums.h"

namespace reeltack::fleet {

class Counters {
 public:
  bool add(Time now, ServerId id, sums::Outcome outcome);  // true: it cannot wait, see sums::UrgencyTrigger
  void read(std::vector<sums::Totals>& out) const;         // all of them, into place

 private:
  struct Slot {
    ServerId office{};  // written before the slot is shown, never after
    std::atomic<std::uint32_t> stood{0}, refused{0}, failed{0};
    std::atomic<std::int64_t> shown{0};  // the time in nanoseconds, times 4, and what was shown
    sums::UrgencyTrigger alarm;          // the writer's
  };
  static constexpr std::size_t kBlock = 64;
  using Block = std::array<Slot, kBlock>;
  std::array<std::unique_ptr<Block>, sums::kMaxOffices / kBlock> blocks_;
  std::atomic<std::size_t> used_{0};           // slots that the reader may look at
  std::unordered_map<ServerId, Slot*> slots_;  // the writer's
};

}  // namespace reeltack::fleet
