// Which member tries an office that is in doubt: one at a time, the next if the trial had no outcome.
//
// The order is a rendezvous hash (Thaler, Ravishankar 1998) over the live members: the higher
// mix(member, office) first. It begins after the member that last observed the office down, if that one is
// live. Each member has a slot of kTrialSlot to publish an outcome (a fact of kind office); the trial ends
// with the verdict. In a partition each side has its own slots. A member that does not doubt the office does
// not try it, and members do not publish which offices they doubt; so once kSoloTrialAfterSlots slots have
// passed without an outcome, a member in doubt tries the office regardless of the slot until there is one.
// Progress thus never depends on another member.
//
// Not synchronised. Equal inputs give equal outputs.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fleet/recovery/mix.h"
#include "fleet/recovery/offices.h"

namespace reeltack::fleet::recovery {

inline constexpr Duration kTrialSlot = std::chrono::milliseconds(300);
// 2.4 s: a trial has an outcome, which may be an observed silence, well before that.
inline constexpr int kSoloTrialAfterSlots = 8;

// The live members in the order in which they try the office.
std::vector<MemberId> trial_order(ServerId office, const std::set<MemberId>& live);
// Whether `self` is among the first `max` in the office's order of those members that count. Stops at the
// first `max` others found before `self`, so that few of many members are examined.
template <class Counts>
bool among_first(MemberId self, ServerId office, const std::set<MemberId>& live, std::size_t max,
                 Counts counts) {
  const auto weight = [&](MemberId m) {
    return std::pair(mix(static_cast<std::uint64_t>(m), static_cast<std::uint64_t>(office)), m);
  };
  const auto own = weight(self);
  std::size_t before = 0;
  for (const MemberId m : live)
    if (weight(m) > own && counts(m) && ++before >= max) return false;
  return true;
}

class Trials {
 public:
  // Replaces the set of offices on trial; the slots of those already on trial continue. None is on trial
  // before `started`.
  void update(Time now, const std::vector<OfficeAssessment>& offices, bool started);
  // The member that holds the slot now. `live` is the set at the last members_changed().
  [[nodiscard]] MemberId holder(Time now, const OfficeAssessment& office,
                                const std::set<MemberId>& live) const;
  [[nodiscard]] bool is_ours(Time now, const OfficeAssessment& office, const std::set<MemberId>& live,
                             MemberId self) const;
  void members_changed();
  [[nodiscard]] Time next(Time now) const;  // when the slot passes to the next member
  [[nodiscard]] std::uint64_t fingerprint(Time now) const;

 private:
  struct Trial {
    Office office;
    MemberId start_after{};
    Time since{};
    // Cache, valid until the members change: number of the slot and its holder.
    mutable std::optional<std::pair<Duration::rep, MemberId>> slot = {};
  };
  std::map<ServerId, Trial> trials_;
};

}  // namespace reeltack::fleet::recovery
