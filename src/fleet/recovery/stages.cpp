// Entry and exit of the stages, their longest stays, and the transitions back to earlier ones.
#include <algorithm>

#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr Duration kStepInterval = 100ms;
constexpr Duration kRefreshInterval = 1s;
}  // namespace

void Recovery::evaluate(Time now, Actions& actions) {
  // A process that was suspended has observed nothing meanwhile: its time in full service restarts.
  if (now - last_step_at_ > settings_.loss_window && stage_ == Stage::full) full_since_ = now;
  last_step_at_ = now;
  if (refreshed_at_ == Time::min() || now - refreshed_at_ >= kRefreshInterval) {
    refreshed_at_ = now;
    update_agreed_size(now);
    update_peak_rates(now);
    for (auto& [member, peer] : peers_)
      if ((full_beyond_loss_window(now, peer) && !peer.stage->recovering) != peer.survivor)
        refresh_evidence(now, member, peer);
  }
  refresh_assessments(now);
  opening_.advance(now, trusted_capacity() / settings_.enough, growth_limit());
  while (advance_stage(now, actions)) {
  }
  if (recovering_ && stage_ == Stage::full && now - stage_since_ >= kRecoverySettleTime) recovering_ = false;
  trials_.update(now, assessments_, stage_ >= Stage::probation);
  emit_terms(now, actions);
  publish(now, actions);
  persist(now, actions);
  next_ = now + (stage_ == Stage::dark || (stage_ == Stage::full && !recovering_) ? kRefreshInterval
                                                                                  : kStepInterval);
  if (longest_stay() != Duration::max())
    next_ = std::min(next_, std::max(stage_since_ + longest_stay(), now + 1ms));
  next_ = std::min({next_, assessments_valid_until_, trials_.next(now), leases_.next(now)});
}

void Recovery::refresh_assessments(Time now) {
  if (now < assessments_valid_until_) return;
  assessments_ = offices_.assess_all(now);
  offices_due_at_ = now;
  assessments_valid_until_ = std::min(offices_.next(now), now + kRefreshInterval);
}

double Recovery::trusted_fraction() const {
  double listed = 0.0;
  double trusted = 0.0;
  for (const OfficeAssessment& assessment : assessments_) {
    if (assessment.verdict == Verdict::barred && assessment.rank == Rank::listed)
      continue;  // no longer listed
    listed += assessment.office.capacity;
    if (assessment.verdict == Verdict::trusted) trusted += assessment.office.capacity;
  }
  return listed > 0.0 ? trusted / listed : 0.0;
}

// In partial after a loss `enough` has been trusted already, so growth has no limit; in partial of a first
// start the offices that only the configuration lists have to answer first.
double Recovery::growth_limit() const {
  if (stage_ == Stage::partial) return recovering_ || assessments_.empty() ? 1.0 : trusted_fraction();
  return stage_ == Stage::probation ? trusted_fraction() : 0.0;
}

// As trusted_fraction(), with a cold office counted by its allowance.
double Recovery::trusted_capacity() const {
  double listed = 0.0;
  double capacity = 0.0;
  for (const OfficeAssessment& assessment : assessments_) {
    if (assessment.verdict == Verdict::barred && assessment.rank == Rank::listed) continue;
    listed += assessment.office.capacity;
    if (assessment.verdict != Verdict::trusted) continue;
    capacity += assessment.office.capacity *
                (is_rate_bounded(assessment) ? std::min(1.0, allowance(assessment)) : 1.0);
  }
  return listed > 0.0 ? capacity / listed : 0.0;
}

Duration Recovery::longest_stay() const {
  switch (stage_) {
    case Stage::restored:
    case Stage::asking:
      return settings_.max_asking;
    case Stage::probation:
      return settings_.max_probation;
    case Stage::partial:
      return settings_.max_partial;
    default:
      return Duration::max();
  }
}

bool Recovery::advance_stage(Time now, Actions& actions) {
  const Stage before = stage_;
  const bool late = longest_stay() != Duration::max() && now - stage_since_ >= longest_stay();
  switch (stage_) {
    case Stage::dark:
      if (asking_since_ != Time::min()) enter_stage(now, Stage::restored, "the store was read", actions);
      break;
    case Stage::restored:
      if (linked_)
        enter_stage(now, Stage::asking, "the link is up", actions);
      else if (late)
        classify_start(now, summary(now).census, actions);
      break;
    case Stage::asking: {
      const Census c = summary(now).census;
      // Decided: all members have reported, or a quorum has and so many have returned that no majority can be
      // full.
      const bool all = c.reported + 1 >= c.size && members_known_ && (has_stored_state_ || c.reported > 0);
      const bool loss = 2 * (c.reported + 1) > c.size && c.returned > 0 && 2 * (c.returned + 1) >= c.size;
      if (is_ordinary_restart(c) || all || loss || late) classify_start(now, c, actions);
      break;
    }
    case Stage::probation:
    case Stage::partial:
    case Stage::full: {
      if (stage_ == Stage::full && now - stage_since_ >= settings_.loss_window) provisional_ = false;
      if (stage_ == Stage::full && !recovering_ && !provisional_)
        break;  // no transition leads back from here
      const Census c = summary(now).census;
      const double trusted = trusted_fraction();
      had_enough_ |= trusted >= settings_.enough;
      const bool too_little = recovering_ && had_enough_ && trusted < settings_.too_little;
      if (is_second_loss(now, c)) {
        ++counts_.second_losses;
        second_loss_at_ = asking_since_ = now;
        enter_stage(now, Stage::asking, "most members have restarted: a second loss", actions);
      } else if (stage_ != Stage::full && is_ordinary_restart(c)) {
        enter_stage(now, Stage::full, "a majority is full", actions);
      } else if (stage_ != Stage::probation && provisional_ && now - stage_since_ < settings_.loss_window &&
                 2 * (c.returned + 1) > c.size && c.full < c.returned && is_loss(c)) {
        enter_stage(now, Stage::probation, "most other members have returned too", actions);
      } else if (stage_ == Stage::probation && (trusted >= settings_.enough || late)) {
        enter_stage(now, Stage::partial,
                    late ? "longest stay in probation reached" : "enough capacity is trusted", actions);
      } else if (stage_ != Stage::probation && too_little) {
        ++counts_.fallbacks;
        enter_stage(now, Stage::probation, "too little capacity is trusted", actions);
      } else if (stage_ == Stage::partial && (opening_.fully_open() || late)) {
        enter_stage(now, Stage::full, late ? "longest stay in partial reached" : "every class is open",
                    actions);
      }
      break;
    }
  }
  return stage_ != before;
}

// Of the members that have restarted, including this one, at least half have been in service before. Where
// fewer have, the fleet starts for the first time or grows. A loss that emptied most disks looks the same and
// is treated the same: see docs/design/fleet.md.
bool Recovery::is_loss(const Census& c) const {
  return 2 * (c.served + (has_served_ ? 1 : 0)) >= c.returned + 1;
}

void Recovery::classify_start(Time now, const Census& c, Actions& actions) {
  if (is_ordinary_restart(c))
    return enter_stage(now, Stage::full, "an ordinary restart: a majority is full", actions);
  if (linked_ && !is_loss(c)) {
    provisional_ = true;
    return enter_stage(now, Stage::partial, "a first start: most members have never been in service",
                       actions);
  }
  // Few members have reported, and in a rolling restart some of them have just returned too. Only most of the
  // fleet shows a loss; if it was one, the provisional decision is reverted as they report. A member that was
  // away for longer than `fresh` relies on those that have reported: of 12 members a majority seldom reports
  // within max_asking.
  const bool others_full = c.full > 0;
  if ((store_is_fresh_ || !has_stored_state_ || others_full) && second_loss_at_ == Time::min() &&
      (c.full >= c.returned || 2 * (c.returned + 1) <= c.size)) {
    provisional_ = true;
    const char* reason = others_full ? "an ordinary restart: others have been full" : "nothing was stored";
    return enter_stage(now, Stage::full, store_is_fresh_ ? "an ordinary restart: the store is fresh" : reason,
                       actions);
  }
  enter_stage(now, Stage::probation, "a return from a power loss", actions);
}

void Recovery::enter_stage(Time now, Stage to, const char* reason, Actions& actions) {
  const Stage from = stage_;
  stage_ = to;
  stage_since_ = now;
  reporter_cache_.clear();
  offices_due_at_ = now;
  if (to == Stage::probation || to == Stage::asking || (to == Stage::partial && from == Stage::asking))
    opening_.restart(now);
  if (to == Stage::probation) {
    if (!recovering_) ++counts_.recoveries;
    recovering_ = true;
    provisional_ = had_enough_ = false;
  }
  if (to == Stage::full) {
    opening_.open_fully();
    full_since_ = now;
  }
  actions.emplace_back(StageChanged{from, to, reason});
  if (to == Stage::probation || to == Stage::full) note_state(now, actions);
  announce_stage_ = true;
}

}  // namespace reeltack::fleet::recovery
