// Limit on how long a circuit stays stuck.
#include "circuits/group_settings.h"

namespace reeltack::circuits {

Duration max_settle_time(const GroupSettings& s) {
  // A circuit is queried within one audit period and again after the confirmation delay, and then waits
  // for the batch in which it is resolved.
  const std::uint32_t batches = (s.size + s.settle_batch - 1) / s.settle_batch;
  return s.audit_period + s.confirm_after + s.settle_gap * batches;
}

}  // namespace reeltack::circuits
