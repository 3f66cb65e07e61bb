#include "fleet/recovery/trials.h"

#include <algorithm>

#include "fleet/recovery/mix.h"

namespace reeltack::fleet::recovery {
namespace {
std::pair<std::uint64_t, MemberId> weight(MemberId member, ServerId office) {
  return {mix(static_cast<std::uint64_t>(member), static_cast<std::uint64_t>(office)), member};
}
}  // namespace

std::vector<MemberId> trial_order(ServerId office, const std::set<MemberId>& live) {
  std::vector<std::pair<std::uint64_t, MemberId>> weights;
  weights.reserve(live.size());
  for (const MemberId member : live) weights.push_back(weight(member, office));
  std::sort(weights.begin(), weights.end(), std::greater<>());
  std::vector<MemberId> order;
  order.reserve(live.size());
  for (const auto& [hash, member] : weights) order.push_back(member);
  return order;
}
void Trials::update(Time now, const std::vector<OfficeAssessment>& offices, bool started) {
  std::map<ServerId, Trial> trials;
  for (const OfficeAssessment& assessment : offices) {
    if (!started || assessment.verdict != Verdict::trial) continue;
    Trial trial{assessment.office, assessment.source, now};
    const auto previous = trials_.find(assessment.office.id);
    if (previous != trials_.end() && previous->second.office == trial.office &&
        previous->second.start_after == trial.start_after)
      trial.since = previous->second.since, trial.slot = previous->second.slot;
    trials.emplace(assessment.office.id, trial);
  }
  trials_ = std::move(trials);
}

MemberId Trials::holder(Time now, const OfficeAssessment& office, const std::set<MemberId>& live) const {
  const auto trial = trials_.find(office.office.id);
  if (trial == trials_.end() || live.empty()) return MemberId{};
  const Trial& t = trial->second;
  const auto slots = (now - t.since) / kTrialSlot;
  if (t.slot && t.slot->first == slots) return t.slot->second;
  const std::vector<MemberId> order = trial_order(office.office.id, live);
  const auto after = std::find(order.begin(), order.end(), t.start_after);
  const auto first = after == order.end() ? 0 : static_cast<std::size_t>(after - order.begin()) + 1;
  t.slot = {slots, order[(first + static_cast<std::size_t>(slots)) % order.size()]};
  return t.slot->second;
}

void Trials::members_changed() {
  for (auto& [office, trial] : trials_) trial.slot.reset();
}

bool Trials::is_ours(Time now, const OfficeAssessment& office, const std::set<MemberId>& live,
                     MemberId self) const {
  const auto trial = trials_.find(office.office.id);
  if (trial == trials_.end()) return false;
  return now - trial->second.since >= kSoloTrialAfterSlots * kTrialSlot || holder(now, office, live) == self;
}

Time Trials::next(Time now) const {
  Time next = Time::max();
  for (const auto& [id, trial] : trials_)
    next = std::min(next, trial.since + ((now - trial.since) / kTrialSlot + 1) * kTrialSlot);
  return next;
}

std::uint64_t Trials::fingerprint(Time now) const {
  Hash hash;
  for (const auto& [id, trial] : trials_)
    hash.add(static_cast<std::uint64_t>(id))
        .add(static_cast<std::uint64_t>(trial.start_after))
        .add_elapsed(trial.since, now);
  return hash.value();
}

}  // namespace reeltack::fleet::recovery
