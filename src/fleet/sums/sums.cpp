// The differences of totals, and what of them is worth telling.
//
// Owns: nothing beyond its classes. Must never: read a clock.
#include "fleet/sums/sums.h"

#include <stdexcept>

namespace reeltack::fleet::sums {
namespace {
using namespace std::chrono_literals;
constexpr Duration kGoodAgain = 500ms;  // an answer says little new so soon after one
constexpr Duration kCarried = 1s;       // the least span over which what an office carries is counted
recovery::OfficeState seen_of(Shown shown) {
  if (shown == Shown::refuses) return recovery::OfficeState::refused;
  return shown == Shown::silence ? recovery::OfficeState::silent : recovery::OfficeState::answered;
}
bool there(Shown shown) { return shown == Shown::answers; }
}  // namespace

// Within kSoon of the last alarm none is needed: whoever heard that one collects again by then.
bool UrgencyTrigger::rings(Time now, Shown shown) {
  if (shown == Shown::nothing) return false;
  const bool turned = last_ == Shown::nothing || there(last_) != there(shown);
  last_ = shown;
  if (!turned || (rang_ != Time::min() && now < rang_ + kSoon)) return false;
  rang_ = now;
  return true;
}

bool OutcomeReporter::named(const recovery::Office& office) const {
  const auto found = lines_.find(office.id);
  return found != lines_.end() && found->second.office.start == office.start &&
         found->second.office.at == office.at;
}

void OutcomeReporter::name(const recovery::Office& office, const Totals& until_now) {
  if (lines_.size() >= kMaxOffices && !lines_.contains(office.id)) return;
  Line& line = lines_[office.id];
  line = {};
  line.office = office;
  line.told = until_now;
}

void OutcomeReporter::collect(Time now, bool rang, std::span<const Totals> totals,
                              std::vector<recovery::Event>& out) {
  for (const Totals& one : totals) {
    const auto found = lines_.find(one.office);
    if (found != lines_.end()) tell(now, found->second, one, out);
  }
  collected_ = now;
  if (rang) soon_until_ = now + kSoon;
}

void OutcomeReporter::tell(Time now, Line& line, const Totals& totals,
                           std::vector<recovery::Event>& out) const {
  const bool shown =
      totals.shown != Shown::nothing && (totals.at != line.told.at || totals.shown != line.told.shown);
  if (shown && (totals.shown != line.seen || !there(line.seen) || now >= line.seen_at + kGoodAgain)) {
    line.seen = totals.shown;
    line.seen_at = now;
    out.emplace_back(recovery::OfficeObserved{{line.office, recovery::Rank::own, seen_of(totals.shown), self_,
                                               std::max(now - totals.at, Duration{})}});
  }
  recovery::OfficeLoad pressure;
  pressure.office = totals.office;
  pressure.established = totals.stood - line.told.stood;
  pressure.refused = totals.refused - line.told.refused;
  pressure.failed = totals.failed - line.told.failed;
  if ((pressure.established | pressure.refused | pressure.failed) != 0) out.emplace_back(pressure);
  line.told = totals;
  if (line.carried_from == Time::min()) {
    line.carried_from = now;
    line.carried_stood = totals.stood;
  }
  const Duration span = now - line.carried_from;
  if (span < kCarried) return;
  const double carried =
      static_cast<double>(totals.stood - line.carried_stood) / std::chrono::duration<double>(span).count();
  if (carried > 0.0 || line.carried > 0.0) out.emplace_back(recovery::CarriedRate{totals.office, carried});
  line.carried = carried;
  line.carried_from = now;
  line.carried_stood = totals.stood;
}

void OutcomeReporter::check(std::span<const Totals> totals) const {
  const auto ahead = [](std::uint32_t told, std::uint32_t counted) {
    return static_cast<std::int32_t>(counted - told) < 0;
  };
  if (lines_.size() > kMaxOffices) throw std::logic_error("sums: over their bound");
  for (const Totals& one : totals) {
    const auto found = lines_.find(one.office);
    if (found == lines_.end()) continue;
    const Totals& told = found->second.told;
    if (ahead(told.stood, one.stood) || ahead(told.refused, one.refused) || ahead(told.failed, one.failed))
      throw std::logic_error("sums: more was told than was counted");
  }
}

Time OutcomeReporter::next(bool opens) const {
  if (collected_ == Time::min()) return Time::min();
  return collected_ + (opens || collected_ < soon_until_ ? kSoon : kSlowReportInterval);
}

}  // namespace reeltack::fleet::sums
