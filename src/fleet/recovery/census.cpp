// What follows from the facts of all other members together: which are full or have returned, the agreed
// size, the rates. A minority never agrees on a size.
//
// Every event needs the summary and few events change it. It is cached until the contribution of a member
// changes (contribution()), the membership changes, its inputs change, or a member's contribution changes by
// time alone (contribution_valid_until()).
#include <algorithm>
#include <cmath>

#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr Duration kRateHalfLife = 10min;
constexpr Duration kReportMargin = 40s;
// The interval at which an unchanged stage is published again. A change is published at once.
Duration renewal(std::size_t live, bool settled) {
  const auto members = static_cast<std::int64_t>(live);
  return settled ? std::max<Duration>(10s, members * Duration(400ms))
                 : std::max<Duration>(2s, members * Duration(100ms));
}
// For how long a report counts in a large fleet, also for a member that asks: in an ordinary restart a
// majority must have renewed theirs since.
Duration report_validity(std::size_t live) {
  return std::max(2s + kReportMargin, renewal(live, true) + kReportMargin / 2);
}
}  // namespace

bool Recovery::full_beyond_loss_window(Time now, const Peer& peer) const {
  return peer.stage && peer.stage->stage == Stage::full &&
         peer.stage->full_for + (now - peer.stage_at) > settings_.loss_window;
}

Duration Recovery::stage_renewal() const {
  return renewal(live_.size(), stage_ == Stage::full && !recovering_);
}

Recovery::Contribution Recovery::contribution(Time now, MemberId member, const Peer& peer) const {
  Contribution result;
  if (!peer.stage || !live_.contains(member)) return result;
  result.agreed = peer.stage->agreed;
  result.returning = peer.stage->stage != Stage::full || peer.stage->recovering;
  const auto present = incarnations_.find(member);
  if (present != incarnations_.end() && peer.incarnation < present->second) return result;
  result.counts = live_.size() > kMaxSmallFleet ? now - peer.stage_at <= report_validity(live_.size())
                                                : peer.stage_at >= asking_since_ - 1s;
  result.full = result.counts && full_beyond_loss_window(now, peer);
  result.served = peer.stage->served;
  return result;
}

Time Recovery::contribution_valid_until(Time now, const Peer& peer) const {
  Time until = Time::max();
  if (!peer.stage) return until;
  const auto offer = [&](Time at) {
    if (at > now) until = std::min(until, at);
  };
  if (live_.size() > kMaxSmallFleet) offer(peer.stage_at + report_validity(live_.size()) + 1ns);
  if (peer.stage->stage == Stage::full)
    offer(peer.stage_at + settings_.loss_window - peer.stage->full_for + 1ns);
  return until;
}

Recovery::PeerSummary Recovery::compute_summary(Time now) const {
  PeerSummary result{.inputs = {stage_renewal(), asking_since_, leases_.agreed(), live_.size()}};
  Census& census = result.census;
  census.size = std::max(leases_.agreed(), settings_.leases.min_size);
  for (const auto& [member, peer] : peers_) {
    const Contribution part = contribution(now, member, peer);
    result.largest = std::max(result.largest, part.agreed);
    result.returning |= part.returning;
    result.until = std::min(result.until, contribution_valid_until(now, peer));
    if (!part.counts) continue;
    census.size = std::max(census.size, part.agreed);
    ++census.reported;
    ++(part.full ? census.full : census.returned);
    if (!part.full && part.served) ++census.served;
  }
  return result;
}

const Recovery::PeerSummary& Recovery::summary(Time now) const {
  const PeerSummary::Inputs inputs{stage_renewal(), asking_since_, leases_.agreed(), live_.size()};
  if (!summary_ || summary_->inputs != inputs || now >= summary_->until) summary_ = compute_summary(now);
  return *summary_;
}

bool Recovery::is_second_loss(Time now, const Census& census) const {
  const bool inside =
      stage_ == Stage::probation || stage_ == Stage::partial || (stage_ == Stage::full && recovering_);
  if (!inside || (second_loss_at_ != Time::min() && now - second_loss_at_ < settings_.loss_window))
    return false;
  if (peer_restarted_at_ == Time::min() || now - peer_restarted_at_ >= settings_.loss_window)
    return false;  // no recent restart
  std::size_t restarted = 0;
  for (const auto& [member, peer] : peers_)
    if (peer.restarted != Time::min() && peer.restarted > second_loss_at_ &&
        now - peer.restarted < settings_.loss_window)
      ++restarted;
  return census.size > 1 && 2 * restarted > census.size - 1;
}

// The agreed size changes only while a majority of the size agreed on by any live member is live. It shrinks
// only in settled full service.
void Recovery::update_agreed_size(Time now) {
  reporter_cache_.clear();
  offices_due_at_ = now;
  std::size_t agreed = leases_.agreed();
  if (!members_known_ || !linked_) return;
  const std::size_t largest = std::max(agreed, summary(now).largest);
  if (2 * live_.size() > largest) {
    const bool settled = stage_ == Stage::full && !recovering_ && now - stage_since_ > settings_.leases.lease;
    agreed = settled ? known_members_ : std::max({agreed, largest, known_members_});
  }
  leases_.update(now, {live_.size(), agreed, live_.size(), largest});
}

// Learns what a warm office carries for all members together: the peak rate, which decays by half every
// kRateHalfLife.
void Recovery::update_peak_rates(Time now) {
  Rates all = own_rates_;
  for (const auto& [member, peer] : peers_) {
    if (peer.rates.empty() || !live_.contains(member)) continue;
    auto at = all.begin();  // both are by id
    for (const auto& [office, rate] : peer.rates) {
      while (at != all.end() && at->first < office) ++at;
      if (at == all.end() || at->first != office) {
        if (all.size() >= kMaxValueOffices) continue;
        at = all.emplace_hint(at, office, 0.0);
      }
      at->second += rate;
    }
  }
  for (const OfficeAssessment& assessment : assessments_) {
    const auto rate = all.find(assessment.office.id);
    if (rate == all.end() || assessment.cold) continue;
    Peak& peak = peaks_[assessment.office.id];
    peak.per_second = std::max(rate->second, peak.per_second * confidence(now - peak.at, kRateHalfLife));
    peak.at = now;
  }
}

}  // namespace reeltack::fleet::recovery
