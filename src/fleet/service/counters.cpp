// Implementation of ObservationCounters. Takes no lock.
#include "fleet/service/counters.h"

namespace reeltack::fleet {
namespace {
constexpr std::int64_t kLivenessValues = 4;
// There is only one writer, so no change by another thread can be lost between the load and the store.
void increase(std::atomic<std::uint32_t>& total, std::uint32_t by) {
  if (by != 0) total.store(total.load(std::memory_order_relaxed) + by, std::memory_order_relaxed);
}
}  // namespace

bool ObservationCounters::add(Time now, ServerId id, outcome_counters::Outcome outcome) {
  auto found = slots_.find(id);
  if (found == slots_.end()) {
    const std::size_t at = used_.load(std::memory_order_relaxed);
    if (at == outcome_counters::kMaxOffices) return false;
    if (at % kBlock == 0) blocks_[at / kBlock] = std::make_unique<Block>();
    Slot& slot = (*blocks_[at / kBlock])[at % kBlock];
    slot.office = id;
    found = slots_.emplace(id, &slot).first;
    used_.store(at + 1, std::memory_order_release);
  }
  Slot& slot = *found->second;
  const outcome_counters::Effect effect = outcome_counters::effect_of(outcome);
  increase(slot.established, effect.established);
  increase(slot.refused, effect.refused);
  increase(slot.failed, effect.failed);
  if (effect.liveness == outcome_counters::Liveness::unknown) return false;
  slot.last_liveness.store(
      now.time_since_epoch().count() * kLivenessValues + static_cast<std::int64_t>(effect.liveness),
      std::memory_order_release);
  return slot.urgency.fires(now, effect.liveness);
}

void ObservationCounters::read(std::vector<outcome_counters::Totals>& out) const {
  out.resize(used_.load(std::memory_order_acquire));
  for (std::size_t at = 0; at < out.size(); ++at) {
    const Slot& slot = (*blocks_[at / kBlock])[at % kBlock];
    const std::int64_t last_liveness = slot.last_liveness.load(std::memory_order_acquire);
    outcome_counters::Totals& totals = out[at];
    totals.office = slot.office;
    totals.established = slot.established.load(std::memory_order_relaxed);
    totals.refused = slot.refused.load(std::memory_order_relaxed);
    totals.failed = slot.failed.load(std::memory_order_relaxed);
    totals.liveness = static_cast<outcome_counters::Liveness>(last_liveness % kLivenessValues);
    totals.at = Time{Duration{last_liveness / kLivenessValues}};
  }
}

}  // namespace reeltack::fleet
