#include "fleet/members/suspicion.h"

#include <algorithm>
#include <cmath>

namespace reeltack::fleet::members {

Time Suspicion::expires_at() const {
  if (max_confirmations == 0) return started + min_duration;
  const double fraction = std::log(static_cast<double>(confirmed_by.size()) + 1.0) /
                          std::log(static_cast<double>(max_confirmations) + 1.0);
  const auto reduction =
      static_cast<Duration::rep>(static_cast<double>((max_duration - min_duration).count()) * fraction);
  return started + std::max(min_duration, max_duration - Duration(reduction));
}

}  // namespace reeltack::fleet::members
