// The duration of one suspicion (Lifeguard, LHA-Suspicion): it shrinks from the maximum to the minimum with
// the logarithm of the number of members that confirm it.
#pragma once

#include <cstddef>
#include <set>

#include "fleet/members/ids.h"

namespace reeltack::fleet::members {

struct Suspicion {
  Time started{};
  Duration min_duration{};
  Duration max_duration{};
  std::size_t max_confirmations = 0;  // as many bring it down to the minimum; 0: it lasts the minimum
  MemberId first_by{};                // the first member known to suspect
  std::set<MemberId> confirmed_by;

  // True if this confirmation is new and is to be passed on.
  bool confirm(MemberId by) {
    return by != MemberId{} && by != first_by && confirmed_by.size() < max_confirmations &&
           confirmed_by.insert(by).second;
  }
  [[nodiscard]] Time expires_at() const;
};

}  // namespace reeltack::fleet::members
