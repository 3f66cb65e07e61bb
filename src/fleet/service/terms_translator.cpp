#include "fleet/service/terms_translator.h"

#include <algorithm>
#include <cmath>

#include "fleet/service/office_observations.h"

namespace reeltack::fleet {
namespace {

// Longest interval between set-ups to an office, however small its share. A share that allows less than one
// set-up in this time is practically zero.
constexpr Duration kMaxSendInterval = std::chrono::minutes(1);

bool usable(const recovery::Terms::Line& line) {
  return line.verdict == recovery::Verdict::trusted ||
         (line.verdict == recovery::Verdict::trial && line.ours);
}
bool same(const core::OfficeEntry& a, const core::OfficeEntry& b) {
  return a.address == b.address && a.entry.state == b.entry.state && a.entry.place == b.entry.place &&
         a.entry.capacity == b.entry.capacity && a.entry.start == b.entry.start;
}
bool same(const AdmissionLimitsReceived& a, const AdmissionLimitsReceived& b) {
  return a.retry_after_by_class == b.retry_after_by_class &&
         std::equal(a.send_intervals.begin(), a.send_intervals.end(), b.send_intervals.begin(),
                    b.send_intervals.end(), [](const auto& x, const auto& y) {
                      return x.server == y.server && x.min_interval == y.min_interval;
                    });
}

}  // namespace

TermsTranslator::Changes TermsTranslator::take(const recovery::Terms& terms) {
  Changes out;
  AdmissionLimitsReceived limits;
  std::map<ServerId, core::OfficeEntry> now;
  for (const recovery::Terms::Line& line : terms.offices) {
    const core::OfficeEntry entry =
        entry_of(line.office, usable(line) ? ServerState::ready : ServerState::draining);
    now.emplace(line.office.id, entry);
    if (line.max_rate < 0.0) continue;
    const double interval = 1.0 / std::max(line.max_rate, 1.0e-6);
    limits.send_intervals.push_back(
        {line.office.id,
         std::min(kMaxSendInterval, std::chrono::duration_cast<Duration>(
                                        std::chrono::duration<double>(std::min(interval, 1.0e6))))});
  }
  for (const auto& [id, entry] : now) {
    const auto before = offices_.find(id);
    if (before == offices_.end() || !same(before->second, entry)) out.offices.push_back(entry);
  }
  for (const auto& [id, entry] : offices_) {
    if (now.contains(id)) continue;
    out.offices.push_back(entry);
    out.offices.back().entry.state = ServerState::gone;
  }
  offices_ = std::move(now);
  for (const auto& closed : terms.closed) limits.retry_after_by_class.push_back(closed.value_or(Duration{}));
  if (std::all_of(limits.retry_after_by_class.begin(), limits.retry_after_by_class.end(),
                  [](Duration d) { return d == Duration{}; }))
    limits.retry_after_by_class.clear();
  if (!same(limits, last_limits_)) out.limits = last_limits_ = std::move(limits);
  return out;
}

}  // namespace reeltack::fleet
