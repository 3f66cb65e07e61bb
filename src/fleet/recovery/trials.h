// Who tries an office that is in doubt: one member at a time, the next where nothing came of it.
//
// Owns: since when each office is on trial. Must never: need a word from anybody to go on.
//
// The order is a rendezvous hash (Thaler, Ravishankar 1998) over the live members: the higher
// mix(member, office) first. It begins after the member that saw it down last, if that one is live. Each has
// kTrialSlot to publish an outcome (a fact of kind office); what ends the trial is the verdict. In a
// partition each side has its own turn. Whoever does not doubt the office does not try it, and nobody says of
// each office whether it doubts it; so where kSoloTrialAfterSlots turns have brought no outcome, whoever is
// in doubt tries it by itself, until there is one. Threads: none. Equal inputs give equal outputs.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fleet/recovery/mix.h"
#include "fleet/recovery/offices.h"

namespace reeltack::fleet::recovery {

inline constexpr Duration kTrialSlot = std::chrono::milliseconds(300);
// 2.4 s: a turn's try has an outcome, or a sight of silence, well before.
inline constexpr int kSoloTrialAfterSlots = 8;

// The live members in the office's order.
std::vector<MemberId> trial_order(ServerId office, const std::set<MemberId>& live);
// Of the first `most` in the order of those that count. Ends with the first `most` others that it finds
// before itself, so that of many members few are looked at.
template <class Counts>
bool among_first(MemberId self, ServerId office, const std::set<MemberId>& live, std::size_t most,
                 Counts counts) {
  const auto weight = [&](MemberId m) {
    return std::pair(mix(static_cast<std::uint64_t>(m), static_cast<std::uint64_t>(office)), m);
  };
  const auto own = weight(self);
  std::size_t before = 0;
  for (const MemberId m : live)
    if (weight(m) > own && counts(m) && ++before >= most) return false;
  return true;
}

class Trials {
 public:
  // What is on trial now; what is not any more is forgotten.
  void told(Time now, const std::vector<OfficeAssessment>& offices, bool begun);
  // `live` as at the last members_changed().
  [[nodiscard]] MemberId whose(Time now, const OfficeAssessment& office,
                               const std::set<MemberId>& live) const;
  [[nodiscard]] bool ours(Time now, const OfficeAssessment& office, const std::set<MemberId>& live,
                          MemberId self) const;
  void members_changed();
  [[nodiscard]] Time next(Time now) const;  // when the turn passes on
  [[nodiscard]] std::uint64_t fingerprint(Time now) const;

 private:
  struct Trial {
    Office office;
    MemberId after{};
    Time since{};
    // Reckoned, until the members change: of which turn, and whose it is.
    mutable std::optional<std::pair<Duration::rep, MemberId>> turn = {};
  };
  std::map<ServerId, Trial> trials_;
};

}  // namespace reeltack::fleet::recovery
