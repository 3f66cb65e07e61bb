// Records for the store: stage and sizes at least every 5 s, the list every 15 s, rates every 30 s. Changes
// are written within a second. A new instance, or the end of one, that a live list reports is written at
// once, since flickering power does not leave a second. Stored evidence never appears younger than it is.
#include <cmath>

#include "fleet/recovery/mix.h"
#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
using namespace std::chrono_literals;

namespace {
constexpr Duration kMinChangeInterval = 1s;  // between writes of a record that changes
}

// Calls `text` only where the record is due.
template <class Text>
void Recovery::write_record(Time now, const char* key, int signature, Duration renewal, Text text,
                            Actions& actions) {
  const auto previous = persisted_.find(key);
  if (previous != persisted_.end() &&
      now - previous->second.at <
          (previous->second.signature != signature ? std::min(kMinChangeInterval, renewal) : renewal))
    return;
  std::string value = text();
  persisted_[key] = {value, now, signature};
  actions.emplace_back(Persist{key, std::move(value)});
}

std::vector<Evidence> Recovery::stored_offices() const {
  std::vector<Evidence> offices;
  for (const OfficeAssessment& a : assessments_) {
    Evidence e{a.office, Rank::stored, a.state, self_, a.age};
    if (a.rank == Rank::listed && list_is_live_ && a.verdict == Verdict::trusted) e.age = Duration{};
    if (a.state == OfficeState::absent) continue;
    if (a.cold) e.uptime = a.uptime - std::min(a.uptime, e.age.value_or(Duration{}));
    offices.push_back(e);
  }
  return offices;
}

void Recovery::persist(Time now, Actions& actions) {
  if (stage_ == Stage::dark || stage_ == Stage::restored) return;
  const int stage = static_cast<int>(stage_) + 8 * static_cast<int>(leases_.agreed());
  const bool joining = leases_.joining(now);  // a restart within the wait begins it again
  const auto stage_text = [&] {
    StageValue value = stage_value(now);
    value.served |= full_since_ != Time::min();
    if (joining) value.agreed = 1;
    return write(value);
  };
  write_record(now, kStageRecord, stage + (joining ? 4 << 24 : 0), 5s, stage_text, actions);
  if (list_is_live_) {
    Hash instances;
    for (const OfficeAssessment& a : assessments_) {
      if (a.rank != Rank::listed) continue;
      instances.add(static_cast<std::uint64_t>(a.office.id)).add(a.office.start);
      instances.add(std::uint64_t{a.verdict == Verdict::barred});
    }
    if (instances.value() != persisted_instances_) persisted_.erase(kListRecord);
    persisted_instances_ = instances.value();
  }
  const auto list = persisted_.find(kListRecord);
  if (list == persisted_.end() || now - list->second.at >= kMinChangeInterval) {
    Hash hash;
    for (const OfficeAssessment& a : assessments_) {
      if (a.state == OfficeState::absent) continue;
      hash.add(static_cast<std::uint64_t>(a.office.id)).add(a.office.start);
      hash.add(std::uint64_t{a.office.at.address} << 16U | a.office.at.port)
          .add(static_cast<std::uint64_t>(a.state));
    }
    const int signature = static_cast<int>(hash.value() & 0x7fffffffU);
    const ListId id{epochs_.epoch(), epochs_.number(), list_.digest};
    write_record(
        now, kListRecord, signature, 15s, [&] { return write_stored_list(id, stored_offices()); }, actions);
  }
  const auto rates_text = [&] {
    Rates rates;
    for (const auto& [office, peak] : peaks_) rates[office] = peak.per_second;
    return write(rates);
  };
  double sum = 0.0;
  for (const auto& [office, peak] : peaks_) sum += peak.per_second;
  // Also written when the sum grows by half, so that the rates of the first seconds are not what stays
  // stored.
  const int growth = sum > 0.0 ? static_cast<int>(std::lround(2.0 * std::log2(sum))) : 0;
  if (!peaks_.empty())
    write_record(now, kRatesRecord, 256 * static_cast<int>(peaks_.size()) + growth, 30s, rates_text, actions);
}

}  // namespace reeltack::fleet::recovery
