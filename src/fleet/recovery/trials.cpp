// The order of those who try a doubtful office, and whose turn it is.
//
// Owns: nothing beyond its class. Must never: read a clock.
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
  for (const auto& [by, member] : weights) order.push_back(member);
  return order;
}
void Trials::told(Time now, const std::vector<OfficeAssessment>& offices, bool begun) {
  std::map<ServerId, Trial> trials;
  for (const OfficeAssessment& judged : offices) {
    if (!begun || judged.verdict != Verdict::trial) continue;
    Trial trial{judged.office, judged.source, now};
    const auto had = trials_.find(judged.office.id);
    if (had != trials_.end() && had->second.office == trial.office && had->second.after == trial.after)
      trial.since = had->second.since, trial.turn = had->second.turn;
    trials.emplace(judged.office.id, trial);
  }
  trials_ = std::move(trials);
}

MemberId Trials::whose(Time now, const OfficeAssessment& office, const std::set<MemberId>& live) const {
  const auto trial = trials_.find(office.office.id);
  if (trial == trials_.end() || live.empty()) return MemberId{};
  const Trial& t = trial->second;
  const auto turns = (now - t.since) / kTrialSlot;
  if (t.turn && t.turn->first == turns) return t.turn->second;
  const std::vector<MemberId> order = trial_order(office.office.id, live);
  const auto after = std::find(order.begin(), order.end(), t.after);
  const auto first = after == order.end() ? 0 : static_cast<std::size_t>(after - order.begin()) + 1;
  t.turn = {turns, order[(first + static_cast<std::size_t>(turns)) % order.size()]};
  return t.turn->second;
}

void Trials::members_changed() {
  for (auto& [office, trial] : trials_) trial.turn.reset();
}

bool Trials::ours(Time now, const OfficeAssessment& office, const std::set<MemberId>& live,
                  MemberId self) const {
  const auto trial = trials_.find(office.office.id);
  if (trial == trials_.end()) return false;
  return now - trial->second.since >= kSoloTrialAfterSlots * kTrialSlot || whose(now, office, live) == self;
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
        .add(static_cast<std::uint64_t>(trial.after))
        .since(trial.since, now);
  return hash.value();
}

}  // namespace reeltack::fleet::recovery
