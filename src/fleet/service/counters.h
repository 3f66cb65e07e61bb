// Counts per office what the core observed of it; passes the totals from the core's thread to the link's.
//
// A table with one writer and one reader and no lock: the writer never waits for the reader. Only the writer
// adds offices (in blocks, allocated as needed), and only it changes a total, so a load and a store suffice.
// The reader may observe the parts of one outcome separately; each total is correct by its next reading at
// the latest. Offices are never removed, and beyond kMaxOffices further ones are not counted.
//
// Threads: add() by the core's only, read() by the link's only.
#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <unordered_map>
#include <vector>

#include "fleet/outcome_counters/outcome_counters.h"

namespace reeltack::fleet {

class ObservationCounters {
 public:
  // true: report at once, see outcome_counters::UrgencyTrigger
  bool add(Time now, ServerId id, outcome_counters::Outcome outcome);
  void read(std::vector<outcome_counters::Totals>& out) const;  // replaces the contents of `out`

 private:
  struct Slot {
    ServerId office{};  // not changed once the slot is published
    std::atomic<std::uint32_t> established{0}, refused{0}, failed{0};
    std::atomic<std::int64_t> last_liveness{0};  // time in nanoseconds * 4 + outcome_counters::Liveness
    outcome_counters::UrgencyTrigger urgency;    // used by the writer only
  };
  static constexpr std::size_t kBlock = 64;
  using Block = std::array<Slot, kBlock>;
  std::array<std::unique_ptr<Block>, outcome_counters::kMaxOffices / kBlock> blocks_;
  std::atomic<std::size_t> used_{0};           // number of slots published to the reader
  std::unordered_map<ServerId, Slot*> slots_;  // used by the writer only
};

}  // namespace reeltack::fleet
