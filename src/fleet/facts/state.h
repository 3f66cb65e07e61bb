// The table of owners behind Facts, and which of them are hidden; private to this module. The rules on
// versions are in owner.h.
#pragma once

#include <algorithm>
#include <optional>

#include "fleet/facts/owner.h"

namespace reeltack::fleet::facts {

enum class Hidden : std::uint8_t { no, silent, forgotten };

class Facts::State {
 public:
  struct OwnerEntry {
    Owner facts;
    Time last_received{};  // the last new fact, less its age, or the last message of its own
    Hidden hidden = Hidden::no;
    Time hidden_at{};
  };
  State(const FactsSettings& settings, MemberId self, Incarnation incarnation)
      : settings(settings), constrained(settings), self(self), next_owner(self) {
    constrained.max_bytes_per_owner =
        std::min(settings.constrained_bytes_per_owner, settings.max_bytes_per_owner);
    owners.emplace(self, OwnerEntry{Owner(self, incarnation), {}, Hidden::no, {}});
  }
  [[nodiscard]] Owner& own() { return owners.at(self).facts; }
  void apply(Time now, const OwnerDelta& part, bool from_owner, const FactsSettings& bounds, Applied& taken);
  void check_own(const OwnerDelta& part, Applied& taken);
  void unhide(Time now, OwnerEntry& entry, std::vector<Fact>& changed);
  // The entry of an owner, added if there is room for it; null if not.
  OwnerEntry* find_or_add(Time now, MemberId owner, Incarnation incarnation);
  void tick(Time now);
  void check() const;

  FactsSettings settings;
  FactsSettings constrained;  // applies while all owners together hold more than max_bytes
  MemberId self;
  std::map<MemberId, OwnerEntry> owners;
  MemberId next_owner;  // the first in the next delta
  Counts counts;
};

}  // namespace reeltack::fleet::facts
