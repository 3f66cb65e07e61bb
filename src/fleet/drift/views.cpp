#include "fleet/drift/views.h"

#include <algorithm>

namespace reeltack::fleet::drift {
namespace {

constexpr std::size_t kMaxChanges = 64;

}  // namespace

const char* name_of(View view) {
  constexpr const char* kNames[] = {"unknown", "unreachable", "stale",  "ahead",    "adopting",
                                    "pending", "in_step",     "behind", "diverged", "flapping"};
  return kNames[static_cast<int>(view)];
}

void MemberRules::on_report(Time now, const RulesReport& report, Duration age) {
  // Facts arrive in the order in which their owner wrote them; by age alone an older one may look younger.
  const bool changed = !report_ || report_->version != report.version || report_->governed != report.governed;
  if (changed) changed_at_ = now;
  // Another version changes the digest as well: that is adopting, not flapping.
  if (report_ && report_->version == report.version && report_->governed != report.governed) {
    changes_.push_back(now);
    if (changes_.size() > kMaxChanges) changes_.pop_front();
  }
  report_ = report;
  reported_at_ = now - age;
}

void MemberRules::on_restart(Time now) { started_at_ = now; }
void MemberRules::set_alive(Time now, bool alive) {
  if (alive && !alive_) started_at_ = now;  // visible again: its present report may be in transit
  alive_ = alive;
}

View MemberRules::view(Time now, const ViewSettings& settings, const VersionId& approved,
                       rules::Digest required, Time since, Duration stale_after) const {
  if (!alive_) return View::unreachable;
  if (!report_) return View::unknown;
  if (now - reported_at_ > stale_after) return View::stale;
  const auto recent = std::count_if(changes_.begin(), changes_.end(),
                                    [&](Time at) { return now - at < settings.flap_window; });
  if (static_cast<std::size_t>(recent) >= settings.flaps) return View::flapping;
  if (report_->version.epoch > approved.epoch) return View::ahead;
  if (report_->version == approved && report_->governed == required) return View::in_step;
  if (report_->version == approved && report_->pending) return View::pending;
  const Time from = std::max({since, changed_at_, started_at_});
  const bool older = report_->version.epoch < approved.epoch;
  if (from != Time::min() && now - from < (older ? settings.propagation : settings.grace))
    return View::adopting;
  return older ? View::behind : View::diverged;
}

bool MemberRules::update_alarm(Time now, const ViewSettings& settings, View view) {
  // Without a current report nothing is known of the member: the alarm keeps its state.
  if (view == View::unreachable || view == View::stale || view == View::unknown) return false;
  if (is_deviation(view)) {
    conforming_since_.reset();
    if (!deviating_since_) deviating_since_ = now;
    if (alarmed_ || now - *deviating_since_ < settings.confirm) return false;
    return alarmed_ = true;
  }
  deviating_since_.reset();
  if (!conforming_since_) conforming_since_ = now;
  if (!alarmed_ || now - *conforming_since_ < settings.clear) return false;
  alarmed_ = false;
  return true;
}

rules::Severity MemberRules::worst_severity() const {
  rules::Severity out = rules::Severity::notice;
  if (!report_) return out;
  for (const rules::Difference& d : report_->differing)
    out = std::max(out, rules::severity_of(d.key, d.actual));
  return out;
}

}  // namespace reeltack::fleet::drift
