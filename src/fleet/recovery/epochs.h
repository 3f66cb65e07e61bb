// Of which life of the bulletin a list is: a restart from 1 is a new epoch, so that of two lists the newer
// counts though its number is lower.
//
// The bulletin's events are numbered from 1 at each of its starts and name no life of it. Who follows it sees
// a start anew by a number that goes back (the own source says so), and counts epochs. What was kept is held
// against the number once the own source has told all it has, so that a power loss that took the bulletin too
// is seen, and a replay after an ordinary restart is not taken for one. Who has not followed it since (a
// newcomer, an emptied disk, one cut off during two of its starts) takes the higher epoch of a live member
// that follows the very same list: equal number, equal digest. Other contents are never a reason to take one.
//
// Not seen: a bulletin that has told more events since its start than were known of its last life.
//
// Owns: epoch and number of the own source's list. Must never: take an epoch on a mere claim, or further than
// kMaxEpochLead above the own one. Threads: none. Equal inputs give equal outputs; copyable.
#pragma once

#include <cstdint>
#include <optional>

#include "fleet/recovery/offices.h"

namespace reeltack::fleet::recovery {

class ListEpochs {
 public:
  static constexpr std::uint64_t kMaxEpochLead = 1024;
  void restore(std::uint64_t epoch, std::uint64_t number);  // as kept; before the first told()
  // The own source's list has this number; `restarts` of it were seen since the process began. Its epoch.
  std::uint64_t told(std::uint64_t number, std::uint64_t restarts);
  // The own source has told all that it has: what was kept is held against it, once. Its epoch.
  std::uint64_t caught_up();
  // `peer` is what a live member follows now, `own` what is followed here: true if its epoch was taken.
  bool take(const ListId& own, const ListId& peer);
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  [[nodiscard]] std::uint64_t number() const;  // the highest of this epoch, the kept one included
  void check() const;

 private:
  void step();
  std::uint64_t epoch_ = 0, number_ = 0, restarts_ = 0;
  std::optional<std::uint64_t> kept_;  // the number, until it was held against the source's
};

}  // namespace reeltack::fleet::recovery
