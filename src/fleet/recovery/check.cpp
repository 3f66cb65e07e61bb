// Invariants that hold after every event, and the fingerprint of the state for the model check.
#include <stdexcept>

#include "fleet/recovery/mix.h"
#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
namespace {
void require(bool holds, const char* message) {
  if (!holds) throw std::logic_error(std::string("recovery: ") + message);
}
}  // namespace

void Recovery::check(Time now) const {
  offices_.check();
  leases_.check();
  epochs_.check();
  require(opening_.opening() >= 0.0 && opening_.opening() <= 1.0, "the opening is out of bounds");
  const Share share = leases_.share(now);
  require(share.part >= 0.0 && share.part * static_cast<double>(share.size) <= 1.0 + 1.0e-9,
          "more than an equal share");
  require(live_.contains(self_), "this member is not among the live ones");
  require(stage_ == Stage::dark || asking_since_ != Time::min(),
          "a stage was entered before the store was read");
  require(started_at_ == Time::min() || next_ > last_step_at_, "the next step is not in the future");
  // With a step at each next(), a stage ends at its longest stay.
  if (longest_stay() != Duration::max() && last_step_at_ == now)
    require(now - stage_since_ < longest_stay(), "a stage exceeds its longest stay");
  require(!(recovering_ && without_fleet_and_store()), "a recovery without a fleet or a store");
  check_cached_state(now);
  if (terms_)
    for (const Terms::Line& line : terms_->offices) {
      const OfficeAssessment assessment = offices_.assess(last_step_at_, line.office.id);
      const bool barred = assessment.rank == Rank::listed && assessment.verdict == Verdict::barred;
      require(!barred || line.verdict == Verdict::barred, "an office that a list bars may be used");
      require(!line.ours || line.verdict == Verdict::trial, "an office is tried here without being on trial");
    }
}

// Cached values equal their recomputation.
void Recovery::check_cached_state(Time now) const {
  const PeerSummary computed = compute_summary(now);
  const PeerSummary& cached = summary(now);
  require(cached.census == computed.census, "the cached census differs from the members' reports");
  require(cached.largest == computed.largest && cached.returning == computed.returning,
          "the cached summary differs from the members' reports");
  Trials trials = trials_;
  trials.members_changed();
  for (const OfficeAssessment& assessment : assessments_)
    if (assessment.verdict == Verdict::trial)
      require(trials.holder(now, assessment, live_) == trials_.holder(now, assessment, live_),
              "the cached trial slot belongs to another member");
  if (!linked_ || stage_ == Stage::dark || last_step_at_ != now || now >= offices_due_at_) return;
  for (const OfficeAssessment& assessment : assessments_) {
    const std::optional<OfficeValue> value = office_value(now, assessment);
    const auto reporter = reporter_cache_.find(assessment.office.id);
    if (!value || reporter == reporter_cache_.end()) continue;
    const Due due = office_due(now, assessment, *value, recovering_ || computed.returning, reporter->second);
    require(!due.now, "a fact is due that was not published");
  }
}

std::uint64_t Recovery::fingerprint(Time now) const {
  Hash hash;
  hash.add(static_cast<std::uint64_t>(stage_)).add(static_cast<std::uint64_t>(self_));
  hash.add_elapsed(stage_since_, now)
      .add_elapsed(full_since_, now)
      .add_elapsed(second_loss_at_, now)
      .add_elapsed(asking_since_, now)
      .add_elapsed(next_, now);
  std::uint64_t flags = 0;
  for (const bool flag :
       {linked_, has_stored_state_, store_is_fresh_, recovering_, provisional_, had_enough_, members_known_,
        list_is_live_, complete_list_received_, announce_stage_, has_served_})
    flags = 2 * flags + (flag ? 1 : 0);
  hash.add(epochs_.epoch()).add(epochs_.number());
  hash.add(flags).add(std::uint64_t{known_members_}).add(list_.epoch).add(list_.number).add(list_.digest);
  hash.add(offices_.fingerprint(now)).add(leases_.fingerprint(now));
  hash.add(opening_.fingerprint(now)).add(trials_.fingerprint(now));
  for (const MemberId member : live_) hash.add(static_cast<std::uint64_t>(member));
  for (const auto& [member, peer] : peers_) {
    hash.add(static_cast<std::uint64_t>(member)).add(peer.incarnation).add(std::uint64_t{peer.survivor});
    if (peer.stage) {
      hash.add(static_cast<std::uint64_t>(peer.stage->stage)).add(std::uint64_t{peer.stage->agreed});
      hash.add(std::uint64_t{peer.stage->served});
      hash.add_elapsed(peer.stage_at - peer.stage->full_for, now).add_elapsed(peer.restarted, now);
    }
    hash.add(peer.list.id.number).add(std::uint64_t{peer.list.live});
    for (const auto& [id, office] : peer.offices)
      hash.add(static_cast<std::uint64_t>(id)).add_elapsed(office.at, now);
  }
  for (const auto& [office, rate] : own_rates_) hash.add(static_cast<std::uint64_t>(office)).add(rate);
  for (const auto& [key, emitted] : published_) hash.add(key.subject).add_elapsed(emitted.at, now);
  for (const auto& [key, emitted] : persisted_) hash.add_elapsed(emitted.at, now);
  return hash.value();
}

}  // namespace reeltack::fleet::recovery
