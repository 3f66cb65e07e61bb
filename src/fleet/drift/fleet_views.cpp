// How the rules of all members compare with the approved version: views, alarms, which members log them, and
// the counts.
#include <xxhash.h>

#include <algorithm>

#include "fleet/drift/drift.h"

namespace reeltack::fleet::drift {
namespace {

// Interval of updating the views: even without events they change with time.
constexpr Duration kViewInterval = std::chrono::milliseconds(500);

std::uint64_t rank(std::uint64_t key, MemberId member) {
  const std::uint64_t input[2] = {key, static_cast<std::uint64_t>(member)};
  return ::XXH3_64bits(input, sizeof input);
}

}  // namespace

// Whether this member is one of the first `first` of the live members by rendezvous hash of `key`; `except`
// is not counted, unless it is this member.
bool Drift::ranks_among(std::uint64_t key, std::size_t first, MemberId except) const {
  const std::uint64_t own_rank = rank(key, self_);
  std::size_t preceding = 0;
  for (const auto& [id, member] : members_)
    if (member.alive && id != except && rank(key, id) < own_rank && ++preceding >= first) return false;
  return true;
}

View Drift::view(Time now, MemberId member) const {
  const auto view_of = [&](const MemberRules& observed, const std::string& name, const std::string& zone) {
    return observed.view(now, settings_.views, approved_id(), required_digest(name, zone), approved_at_,
                         stale_after());
  };
  if (member == self_) return view_of(own_rules_, settings_.name, settings_.zone);
  const auto found = members_.find(member);
  const auto observed = member_rules_.find(member);
  if (found == members_.end() || observed == member_rules_.end()) return View::unknown;
  return view_of(observed->second, found->second.name, found->second.zone);
}

void Drift::update_views(Time now, Actions& actions) {
  next_ = now + kViewInterval;
  if (approval_.approved()) {
    // Computed once for each name and zone, then read by view().
    required_.try_emplace({settings_.name, settings_.zone}, required_digest(settings_.name, settings_.zone));
    for (const auto& [id, member] : members_)
      required_.try_emplace({member.name, member.zone}, required_digest(member.name, member.zone));
  }
  if (own_rules_.update_alarm(now, settings_.views, view(now, self_)))
    log_alarm(now, self_, settings_.name, actions);
  for (const auto& [id, member] : members_) {
    MemberRules& observed = member_rules_[id];
    if (observed.update_alarm(now, settings_.views, view(now, id))) log_alarm(now, id, member.name, actions);
  }
}

void Drift::log_alarm(Time now, MemberId subject, const std::string& name, Actions& actions) {
  const MemberRules& observed = subject == self_ ? own_rules_ : member_rules_.at(subject);
  ++(observed.alarmed() ? counts_.alarms : counts_.cleared);
  if (subject != self_ && !ranks_among(static_cast<std::uint64_t>(subject), kAlarmReporters, subject)) return;
  std::string text = "drift name=" + name + " alarm=" + (observed.alarmed() ? "raised" : "cleared") +
                     " view=" + name_of(view(now, subject)) + " epoch=" + std::to_string(approved_id().epoch);
  if (observed.report()) text += " its_epoch=" + std::to_string(observed.report()->version.epoch);
  if (observed.alarmed() && observed.report()) {
    text += std::string(" severity=") + rules::name_of(observed.worst_severity());
    for (const rules::Difference& d : observed.report()->differing) {
      std::string required = "nothing";
      if (const auto& approved = approval_.approved()) {
        const auto member = members_.find(subject);
        const rules::Rules all =
            required_rules(*approved, name, subject == self_ ? settings_.zone : member->second.zone);
        if (const auto found = all.find(d.key); found != all.end()) required = found->second;
      }
      text += " " + d.key + "=\"" + d.actual.value_or("nothing") + "\" wanted=\"" + required + "\"";
    }
  }
  actions.emplace_back(LogLine{std::move(text)});
}

Drift::ViewCounts Drift::view_counts(Time now) const {
  ViewCounts out;
  const auto add = [&](const MemberRules& observed, View view) {
    ++out.views.at(static_cast<std::size_t>(view));
    if (!observed.alarmed()) return;
    ++out.alarmed;
    out.critical += observed.worst_severity() == rules::Severity::critical ? 1 : 0;
  };
  add(own_rules_, view(now, self_));
  for (const auto& [id, member] : members_) add(member_rules_.at(id), view(now, id));
  return out;
}

}  // namespace reeltack::fleet::drift
