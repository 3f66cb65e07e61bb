// The bound on how long a stuck circuit stays so.
#include "circuits/group_settings.h"

namespace reeltack::circuits {

Duration max_settle_time(const GroupSettings& s) {
  // It is asked about within a period, once more after the confirmation, and waits for its turn to be
  // settled.
  const std::uint32_t batches = (s.size + s.settle_batch - 1) / s.settle_batch;
  return s.audit_period + s.confirm_after + s.settle_gap * batches;
}

}  // namespace reeltack::circuits
