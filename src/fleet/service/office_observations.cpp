#include "fleet/service/office_observations.h"

#include <algorithm>

#include "config/controllers.h"

namespace reeltack::fleet {
namespace {

outcome_counters::Outcome outcome_of(core::OfficeObserver::OfficeObservation observation) {
  switch (observation) {
    case core::OfficeObserver::OfficeObservation::answered:
      return outcome_counters::Outcome::answered;
    case core::OfficeObserver::OfficeObservation::refused:
      return outcome_counters::Outcome::refused;
    case core::OfficeObserver::OfficeObservation::broke:
      return outcome_counters::Outcome::broke;
    case core::OfficeObserver::OfficeObservation::silent:
      return outcome_counters::Outcome::silent;
    case core::OfficeObserver::OfficeObservation::unreachable:
      break;
  }
  return outcome_counters::Outcome::unreachable;
}

}  // namespace

recovery::Office office_of(const core::OfficeEntry& entry) {
  recovery::Office out;
  out.id = entry.entry.server;
  out.start = static_cast<std::uint64_t>(entry.entry.start);
  if (const auto at = base::parse_address(entry.address)) out.at = config::endpoint_of(*at);
  out.place = entry.entry.place;
  out.capacity = entry.entry.capacity;
  return out;
}

core::OfficeEntry entry_of(const recovery::Office& office, ServerState state) {
  core::OfficeEntry out;
  out.entry.server = office.id;
  out.entry.place = office.place;
  out.entry.capacity = office.capacity;
  out.entry.state = state;
  out.entry.start = StartId{office.start};
  const std::uint32_t a = office.at.address;
  out.address = std::to_string(a >> 24U) + "." + std::to_string(a >> 16U & 255U) + "." +
                std::to_string(a >> 8U & 255U) + "." + std::to_string(a & 255U) + ":" +
                std::to_string(office.at.port);
  return out;
}

bool OfficeObservations::saw(Time now, ServerId id, core::OfficeObserver::OfficeObservation observation) {
  if (!counters_.add(now, id, outcome_of(observation))) return false;
  urgent_.store(true, std::memory_order_release);
  return true;
}

void OfficeObservations::track(const recovery::Office& office) {
  if (reporter_.is_tracked(office)) return;
  counters_.read(totals_);
  const auto found = std::find_if(totals_.begin(), totals_.end(),
                                  [&](const outcome_counters::Totals& t) { return t.office == office.id; });
  reporter_.track(office, found == totals_.end() ? outcome_counters::Totals{} : *found);
}

void OfficeObservations::collect(Time now, std::vector<recovery::Event>& out) {
  const bool urgent = urgent_.exchange(false, std::memory_order_acquire);
  counters_.read(totals_);
  reporter_.collect(now, urgent, totals_, out);
}

Time OfficeObservations::next(bool opens) const {
  return urgent_.load(std::memory_order_acquire) ? Time::min() : reporter_.next(opens);
}

}  // namespace reeltack::fleet
