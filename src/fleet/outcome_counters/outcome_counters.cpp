#include "fleet/outcome_counters/outcome_counters.h"

#include <stdexcept>

namespace reeltack::fleet::outcome_counters {
namespace {
using namespace std::chrono_literals;
constexpr Duration kAnswerRepeatInterval = 500ms;  // repeated answers add little within this time
constexpr Duration kMinRateSpan = 1s;              // the shortest span over which a rate is measured
recovery::OfficeState seen_of(Liveness liveness) {
  if (liveness == Liveness::refusing) return recovery::OfficeState::refused;
  return liveness == Liveness::silent ? recovery::OfficeState::silent : recovery::OfficeState::answered;
}
bool is_answering(Liveness liveness) { return liveness == Liveness::answering; }
}  // namespace

// Does not fire again within kFastReportInterval: the reader notified by the last trigger collects again by
// then.
bool UrgencyTrigger::fires(Time now, Liveness observed) {
  if (observed == Liveness::unknown) return false;
  const bool changed = last_ == Liveness::unknown || is_answering(last_) != is_answering(observed);
  last_ = observed;
  if (!changed || (fired_at_ != Time::min() && now < fired_at_ + kFastReportInterval)) return false;
  fired_at_ = now;
  return true;
}

bool OutcomeReporter::is_tracked(const recovery::Office& office) const {
  const auto found = entries_.find(office.id);
  return found != entries_.end() && found->second.office.start == office.start &&
         found->second.office.at == office.at;
}

void OutcomeReporter::track(const recovery::Office& office, const Totals& until_now) {
  if (entries_.size() >= kMaxOffices && !entries_.contains(office.id)) return;
  Entry& entry = entries_[office.id];
  entry = {};
  entry.office = office;
  entry.last_read = until_now;
}

void OutcomeReporter::collect(Time now, bool urgent, std::span<const Totals> totals,
                              std::vector<recovery::Event>& out) {
  for (const Totals& one : totals) {
    const auto found = entries_.find(one.office);
    if (found != entries_.end()) report(now, found->second, one, out);
  }
  collected_ = now;
  if (urgent) fast_until_ = now + kFastReportInterval;
}

void OutcomeReporter::report(Time now, Entry& entry, const Totals& totals,
                             std::vector<recovery::Event>& out) const {
  const bool observed = totals.liveness != Liveness::unknown &&
                        (totals.at != entry.last_read.at || totals.liveness != entry.last_read.liveness);
  if (observed && (totals.liveness != entry.reported || !is_answering(entry.reported) ||
                   now >= entry.reported_at + kAnswerRepeatInterval)) {
    entry.reported = totals.liveness;
    entry.reported_at = now;
    out.emplace_back(recovery::OfficeObserved{{entry.office, recovery::Rank::own, seen_of(totals.liveness),
                                               self_, std::max(now - totals.at, Duration{})}});
  }
  recovery::OfficeLoad load;
  load.office = totals.office;
  load.established = totals.established - entry.last_read.established;
  load.refused = totals.refused - entry.last_read.refused;
  load.failed = totals.failed - entry.last_read.failed;
  if ((load.established | load.refused | load.failed) != 0) out.emplace_back(load);
  entry.last_read = totals;
  if (entry.rate_from == Time::min()) {
    entry.rate_from = now;
    entry.rate_base = totals.established;
  }
  const Duration span = now - entry.rate_from;
  if (span < kMinRateSpan) return;
  const double rate =
      static_cast<double>(totals.established - entry.rate_base) / std::chrono::duration<double>(span).count();
  if (rate > 0.0 || entry.reported_rate > 0.0) out.emplace_back(recovery::CarriedRate{totals.office, rate});
  entry.reported_rate = rate;
  entry.rate_from = now;
  entry.rate_base = totals.established;
}

void OutcomeReporter::check(std::span<const Totals> totals) const {
  const auto ahead = [](std::uint32_t reported, std::uint32_t counted) {
    return static_cast<std::int32_t>(counted - reported) < 0;
  };
  if (entries_.size() > kMaxOffices) throw std::logic_error("outcome counters: too many offices");
  for (const Totals& one : totals) {
    const auto found = entries_.find(one.office);
    if (found == entries_.end()) continue;
    const Totals& last = found->second.last_read;
    if (ahead(last.established, one.established) || ahead(last.refused, one.refused) ||
        ahead(last.failed, one.failed))
      throw std::logic_error("outcome counters: more outcomes reported than counted");
  }
}

Time OutcomeReporter::next(bool opens) const {
  if (collected_ == Time::min()) return Time::min();
  return collected_ + (opens || collected_ < fast_until_ ? kFastReportInterval : kSlowReportInterval);
}

}  // namespace reeltack::fleet::outcome_counters
