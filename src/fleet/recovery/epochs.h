// Epochs of the bulletin's lists. A restart of the bulletin begins a new epoch, so that of two lists the
// newer counts although its number is lower.
//
// The bulletin numbers its events from 1 at each of its starts and does not identify its runs. A member that
// follows it notices a restart by a number that decreases (its source reports this) and counts epochs. The
// stored number is compared with the source's number once the source has delivered everything it has, so that
// a power loss that also hit the bulletin is noticed and a replay after an ordinary restart is not mistaken
// for one. A member that has not followed the bulletin since then (a newcomer, an emptied disk, a member cut
// off during two of its starts) adopts the higher epoch of a live member that follows the very same list:
// equal number, equal digest. A list with other contents is never a reason to adopt an epoch.
//
// Limit: a restart is not noticed if the bulletin has sent more events since then than were known of its last
// run.
//
// Within one epoch the number never decreases. An epoch is never adopted on a claim alone, or more than
// kMaxEpochLead above the own one. Not synchronised. Equal inputs give equal outputs; copyable.
#pragma once

#include <cstdint>
#include <optional>

#include "fleet/recovery/offices.h"

namespace reeltack::fleet::recovery {

class ListEpochs {
 public:
  static constexpr std::uint64_t kMaxEpochLead = 1024;
  // From the store; before the first update().
  void restore(std::uint64_t epoch, std::uint64_t number);
  // The own source's list has this number; `restarts` of the source were observed since the process began.
  // Returns the epoch of the list.
  std::uint64_t update(std::uint64_t number, std::uint64_t restarts);
  // The own source has delivered everything: compares the stored number with it, once. Returns the epoch.
  std::uint64_t caught_up();
  // `peer` is the list that a live member follows now, `own` the list followed here. Returns true if the
  // member's epoch was adopted.
  bool adopt(const ListId& own, const ListId& peer);
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  [[nodiscard]] std::uint64_t number() const;  // highest of this epoch, including the stored one
  // Throws std::logic_error where an invariant does not hold.
  void check() const;

 private:
  void begin_epoch();
  std::uint64_t epoch_ = 0, number_ = 0, restarts_ = 0;
  std::optional<std::uint64_t> stored_number_;  // until it was compared with the source's
};

}  // namespace reeltack::fleet::recovery
