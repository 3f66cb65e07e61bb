// What follows from all that other members say: who is full, who has come back, the agreed size, the rates.
//
// Owns: nothing beyond its class. Must never: let a minority agree on a size.
//
// The census is asked for by every event, and few events change it: it is kept until a member's own part in
// it changes (standing()), the members change, what it is reckoned by changes, or the first moment comes at
// which a member's part would change by time alone (stands_until()).
#include <algorithm>
#include <cmath>

#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr Duration kRateHalf = 10min;
constexpr Duration kLately = 40s;
// How often a stage is said again that has not changed: whoever wants to know of a change is told at once.
Duration renewal(std::size_t live, bool settled) {
  const auto members = static_cast<std::int64_t>(live);
  return settled ? std::max<Duration>(10s, members * Duration(400ms))
                 : std::max<Duration>(2s, members * Duration(100ms));
}
// For so long what was said counts in a large fleet, also for a member that asks: with an ordinary restart a
// majority must have renewed it since.
Duration lately(std::size_t live) { return std::max(2s + kLately, renewal(live, true) + kLately / 2); }
}  // namespace

bool Recovery::full_long(Time now, const Peer& peer) const {
  return peer.stage && peer.stage->stage == Stage::full &&
         peer.stage->full_for + (now - peer.stage_at) > settings_.loss_window;
}

Duration Recovery::stage_renewal() const {
  return renewal(live_.size(), stage_ == Stage::full && !recovering_);
}

Recovery::Standing Recovery::standing(Time now, MemberId member, const Peer& peer) const {
  Standing standing;
  if (!peer.stage || !live_.contains(member)) return standing;
  standing.agreed = peer.stage->agreed;
  standing.returning = peer.stage->stage != Stage::full || peer.stage->recovering;
  const auto present = incarnations_.find(member);
  if (present != incarnations_.end() && peer.incarnation < present->second) return standing;
  standing.counts = live_.size() > kMaxSmallFleet ? now - peer.stage_at <= lately(live_.size())
                                                  : peer.stage_at >= asked_ - 1s;
  standing.full = standing.counts && full_long(now, peer);
  standing.served = peer.stage->served;
  return standing;
}

Time Recovery::stands_until(Time now, const Peer& peer) const {
  Time until = Time::max();
  if (!peer.stage) return until;
  const auto offer = [&](Time at) {
    if (at > now) until = std::min(until, at);
  };
  if (live_.size() > kMaxSmallFleet) offer(peer.stage_at + lately(live_.size()) + 1ns);
  if (peer.stage->stage == Stage::full)
    offer(peer.stage_at + settings_.loss_window - peer.stage->full_for + 1ns);
  return until;
}

Recovery::Reckoned Recovery::reckon(Time now) const {
  Reckoned reckoned{.by = {stage_renewal(), asked_, leases_.agreed(), live_.size()}};
  Census& census = reckoned.census;
  census.size = std::max(leases_.agreed(), settings_.leases.min_size);
  for (const auto& [member, peer] : peers_) {
    const Standing is = standing(now, member, peer);
    reckoned.largest = std::max(reckoned.largest, is.agreed);
    reckoned.returning |= is.returning;
    reckoned.until = std::min(reckoned.until, stands_until(now, peer));
    if (!is.counts) continue;
    census.size = std::max(census.size, is.agreed);
    ++census.spoken;
    ++(is.full ? census.full : census.back);
    if (!is.full && is.served) ++census.served;
  }
  return reckoned;
}

const Recovery::Reckoned& Recovery::reckoned(Time now) const {
  const Reckoned::By by{stage_renewal(), asked_, leases_.agreed(), live_.size()};
  if (!reckoned_ || reckoned_->by != by || now >= reckoned_->until) reckoned_ = reckon(now);
  return *reckoned_;
}

bool Recovery::second_loss(Time now, const Census& census) const {
  const bool inside =
      stage_ == Stage::probation || stage_ == Stage::partial || (stage_ == Stage::full && recovering_);
  if (!inside || (lost_ != Time::min() && now - lost_ < settings_.loss_window)) return false;
  if (restarted_ == Time::min() || now - restarted_ >= settings_.loss_window) return false;  // nobody lately
  std::size_t anew = 0;
  for (const auto& [member, peer] : peers_)
    if (peer.restarted != Time::min() && peer.restarted > lost_ &&
        now - peer.restarted < settings_.loss_window)
      ++anew;
  return census.size > 1 && 2 * anew > census.size - 1;
}

// The agreed size changes only while a majority of what was agreed, by any live member, is live; it shrinks
// in full service alone.
void Recovery::agree(Time now) {
  speaks_.clear();
  publish_at_ = now;
  std::size_t agreed = leases_.agreed();
  if (!members_told_ || !linked_) return;
  const std::size_t largest = std::max(agreed, reckoned(now).largest);
  if (2 * live_.size() > largest) {
    const bool settled = stage_ == Stage::full && !recovering_ && now - stage_since_ > settings_.leases.lease;
    agreed = settled ? known_members_ : std::max({agreed, largest, known_members_});
  }
  leases_.told(now, {live_.size(), agreed, live_.size(), largest});
}

// What all members together have an office carry: the peak, halved every kRateHalf, while it is warm.
void Recovery::learn_rates(Time now) {
  Rates all = carried_;
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
  for (const OfficeAssessment& judged : judged_) {
    const auto rate = all.find(judged.office.id);
    if (rate == all.end() || judged.cold) continue;
    Peak& peak = peaks_[judged.office.id];
    peak.a_second = std::max(rate->second, peak.a_second * trust(now - peak.at, kRateHalf));
    peak.at = now;
  }
}

}  // namespace reeltack::fleet::recovery
