// Events from this process: the store, the list, the membership, own observations. All events passed to one
// call are applied before the decision. No event makes this throw.
#include "fleet/recovery/recovery.h"

#include <algorithm>

#include "fleet/recovery/mix.h"

namespace reeltack::fleet::recovery {
namespace {
EvidenceSettings with_ramp(const RecoverySettings& settings) {
  EvidenceSettings offices = settings.offices;
  if (offices.ramp == Duration{}) offices.ramp = settings.fall_span > Duration{} ? settings.ramp : Duration{};
  return offices;
}
}  // namespace

Recovery::Recovery(const RecoverySettings& settings, MemberId self)
    : settings_(settings),
      self_(self),
      offices_(with_ramp(settings)),
      leases_(settings.leases),
      opening_(settings, self),
      live_{self} {
  offices_.restore_own_list({});
}

void Recovery::on(Time now, std::span<const Event> events, Actions& actions) {
  if (started_at_ == Time::min()) started_at_ = stage_since_ = last_step_at_ = now;
  for (const Event& event : events) std::visit([&](const auto& received) { handle(now, received); }, event);
  evaluate(now, actions);
}

void Recovery::tick(Time now, Actions& actions) {
  if (started_at_ == Time::min()) started_at_ = stage_since_ = last_step_at_ = now;
  evaluate(now, actions);
}

void Recovery::handle(Time now, const Restored& restored) {
  if (stage_ != Stage::dark || asking_since_ != Time::min()) return;  // once
  asking_since_ = now;
  if (!restored.state) return;
  const PersistedState& stored = *restored.state;
  has_stored_state_ = true;
  has_served_ = stored.served;
  store_is_fresh_ = !stored.other_fleet && stored.age && *stored.age >= Duration{} &&
                    *stored.age <= settings_.fresh && stored.stage == Stage::full;
  for (Evidence e : stored.offices) {
    e.rank = Rank::stored;
    e.source = self_;
    if (stored.other_fleet || (e.age && *e.age < Duration{})) e.age.reset();
    offices_.add(now, e);
  }
  offices_.restore_own_list(stored.offices);
  if (!stored.other_fleet) {
    epochs_.restore(stored.list_epoch, stored.list_number);
    leases_.restore(std::min(stored.agreed, kMaxFleetSize), std::min(stored.largest, kMaxFleetSize));
    for (const auto& [office, rate] : stored.rates)
      if (peaks_.size() < kMaxValueOffices) peaks_[office] = {std::max(rate, 0.0), now};
  }
  assessments_valid_until_ = Time::min();
}

void Recovery::handle(Time now, const LinkUp& /*up*/) {
  if (linked_) return;
  linked_ = true;
  if (stage_ != Stage::full) asking_since_ = now;
}

void Recovery::handle(Time now, const MembersChanged& members) {
  live_ = {members.live.begin(), members.live.end()};
  live_.insert(self_);
  summary_.reset();
  trials_.members_changed();
  incarnations_.clear();
  for (std::size_t i = 0; i < std::min(members.live.size(), members.incarnations.size()); ++i)
    incarnations_[members.live[i]] = members.incarnations[i];
  known_members_ = std::clamp(members.known, live_.size(), std::max(kMaxFleetSize, live_.size()));
  members_known_ = true;
  update_agreed_size(now);
}

// The evidence of the member goes with it; what its list reported as ended stays ended.
void Recovery::handle(Time now, const MemberRemoved& removed) {
  peers_.erase(removed.member);
  summary_.reset();
  if (removed.member == self_) return;
  live_.erase(removed.member);
  trials_.members_changed();
  offices_.forget_source(removed.member);
  assessments_valid_until_ = Time::min();
  update_agreed_size(now);
}

void Recovery::handle(Time now, const ListReceived& received) {
  if (!received.live) return handle_configured_list(now, received);
  const std::map<ServerId, Evidence> before = listed_;
  if (received.complete) listed_.clear();
  for (Evidence e : received.offices) {
    if (!listed_.contains(e.office.id) && listed_.size() >= settings_.offices.max_offices) {
      ++counts_.over_bound;
      continue;
    }
    e.rank = Rank::listed;
    e.source = self_;
    listed_[e.office.id] = e;
  }
  changed_instances_.clear();
  for (const auto& [id, e] : listed_) {
    const auto previous = before.find(id);
    if (!before.empty() && (previous == before.end() || previous->second.office != e.office))
      changed_instances_.insert(id);
  }
  list_is_live_ = true;
  list_received_at_ = now;
  complete_list_received_ |= received.complete;
  list_ = {epochs_.update(received.number, received.restarts), received.number, 0};
  for (const auto& [id, e] : listed_) {  // the digest does not depend on the order of the events
    // A member that follows the list only since then does not know of an office that has gone.
    if (e.state == OfficeState::gone) continue;
    Hash hash;
    hash.add(static_cast<std::uint64_t>(id)).add(e.office.start).add(static_cast<std::uint64_t>(e.state));
    list_.digest += hash.add(std::uint64_t{e.office.at.address} << 16U | e.office.at.port).value();
  }
  offices_.receive_own_list(received.complete, received.offices);
  add_listed_evidence(now);
  for (const auto& [member, peer] : peers_)
    if (live_.contains(member)) adopt_epoch(now, peer);
}

void Recovery::handle(Time now, const ListCaughtUp& /*caught_up*/) {
  const std::uint64_t epoch = epochs_.caught_up();
  if (!list_is_live_ || epoch == list_.epoch) return;
  list_.epoch = epoch;
  add_listed_evidence(now);
}

// Records all listed offices as of the list that is followed now.
void Recovery::add_listed_evidence(Time now) {
  for (auto& [id, e] : listed_) {
    e.list = list_;
    if (!e.age) e.age = Duration{};
    offices_.add(now, e);
    e.uptime.reset();  // it was valid when it was reported
  }
  mark_absent_offices(now);
  assessments_valid_until_ = Time::min();
}

// Counts as stored evidence of unknown age: it outranks no other and is not published. As the own list it
// limits what the other evidence allows.
void Recovery::handle_configured_list(Time now, const ListReceived& configured) {
  for (Evidence e : configured.offices) {
    e.rank = Rank::stored;
    e.source = self_;
    e.age.reset();
    offices_.add(now, e);
  }
  offices_.receive_own_list(configured.complete, configured.offices);
  assessments_valid_until_ = Time::min();
}

// What the list reported as ready counts as an observation from now on; what it reported as ended stays.
void Recovery::handle(Time /*now*/, const SourceUnreachable& /*unreachable*/) {
  if (!list_is_live_) return;
  list_is_live_ = false;
  offices_.forget_list(self_, Rank::own);
  assessments_valid_until_ = Time::min();
}

void Recovery::handle(Time now, const OfficeObserved& observed) {
  Evidence e = observed.evidence;
  e.rank = Rank::own;
  e.source = self_;
  if (!e.age || *e.age < Duration{}) e.age = Duration{};
  if (!observed_.contains(e.office.id) && observed_.size() >= settings_.offices.max_offices) return;
  offices_.add(now, e);
  observed_[e.office.id] = {e.office, e.state, now - *e.age};
  assessments_valid_until_ = Time::min();
}

void Recovery::handle(Time now, const OfficeLoad& load) {
  const auto at = std::find_if(assessments_.begin(), assessments_.end(),
                               [&](const OfficeAssessment& a) { return a.office.id == load.office; });
  opening_.report(now, load, at == assessments_.end() ? 1.0 : at->office.capacity);
}

void Recovery::handle(Time /*now*/, const CarriedRate& carried) {
  if (own_rates_.contains(carried.office) || own_rates_.size() < kMaxValueOffices)
    own_rates_[carried.office] = std::max(carried.per_second, 0.0), own_rates_changed_ = true;
}

}  // namespace reeltack::fleet::recovery
