// Takes what is told by the own process: the store, the list, the members, the own eyes.
//
// Owns: the order in which an event is taken and then decided on. Must never: throw on what was told.
#include "fleet/recovery/recovery.h"

#include <algorithm>

#include "fleet/recovery/mix.h"

namespace reeltack::fleet::recovery {
namespace {
OfficesSettings with_ramp(const RecoverySettings& settings) {
  OfficesSettings offices = settings.offices;
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
      live_{self} {}

void Recovery::on(Time now, std::span<const Event> events, Actions& actions) {
  if (started_ == Time::min()) started_ = stage_since_ = last_ = now;
  for (const Event& event : events) std::visit([&](const auto& told) { take(now, told); }, event);
  settle(now, actions);
}

void Recovery::tick(Time now, Actions& actions) {
  if (started_ == Time::min()) started_ = stage_since_ = last_ = now;
  settle(now, actions);
}

void Recovery::take(Time now, const Restored& restored) {
  if (stage_ != Stage::dark || asked_ != Time::min()) return;  // once
  asked_ = now;
  if (!restored.kept) return;
  const PersistedState& kept = *restored.kept;
  kept_ = true;
  served_ = kept.served;
  fresh_ = !kept.other_fleet && kept.age && *kept.age >= Duration{} && *kept.age <= settings_.fresh &&
           kept.stage == Stage::full;
  for (Evidence e : kept.offices) {
    e.rank = Rank::stored;
    e.source = self_;
    if (kept.other_fleet || (e.age && *e.age < Duration{})) e.age.reset();
    offices_.saw(now, e);
  }
  if (!kept.other_fleet) {
    epochs_.restore(kept.list_epoch, kept.list_number);
    leases_.restore(std::min(kept.agreed, kMaxFleetSize), std::min(kept.largest, kMaxFleetSize));
    for (const auto& [office, rate] : kept.rates)
      if (peaks_.size() < kMaxValueOffices) peaks_[office] = {std::max(rate, 0.0), now};
  }
  judged_until_ = Time::min();
}

void Recovery::take(Time now, const LinkUp& /*up*/) {
  if (linked_) return;
  linked_ = true;
  if (stage_ != Stage::full) asked_ = now;
}

void Recovery::take(Time now, const MembersChanged& members) {
  live_ = {members.live.begin(), members.live.end()};
  live_.insert(self_);
  reckoned_.reset();
  trials_.members_changed();
  incarnations_.clear();
  for (std::size_t i = 0; i < std::min(members.live.size(), members.incarnations.size()); ++i)
    incarnations_[members.live[i]] = members.incarnations[i];
  known_members_ = std::clamp(members.known, live_.size(), std::max(kMaxFleetSize, live_.size()));
  members_told_ = true;
  agree(now);
}

// Its word ends with it; what its list called ended stays so.
void Recovery::take(Time now, const MemberRemoved& gone) {
  peers_.erase(gone.member);
  reckoned_.reset();
  if (gone.member == self_) return;
  live_.erase(gone.member);
  trials_.members_changed();
  offices_.forget(gone.member);
  judged_until_ = Time::min();
  agree(now);
}

void Recovery::take(Time now, const ListReceived& heard) {
  if (!heard.live) return take_unfollowed(now, heard);
  const std::map<ServerId, Evidence> before = told_;
  if (heard.complete) told_.clear();
  for (Evidence e : heard.offices) {
    if (!told_.contains(e.office.id) && told_.size() >= settings_.offices.most_offices) {
      ++counts_.over_bound;
      continue;
    }
    e.rank = Rank::listed;
    e.source = self_;
    told_[e.office.id] = e;
  }
  news_.clear();
  for (const auto& [id, e] : told_) {
    const auto had = before.find(id);
    if (!before.empty() && (had == before.end() || had->second.office != e.office)) news_.insert(id);
  }
  bulletin_ = true;
  heard_ = now;
  whole_list_ |= heard.complete;
  list_ = {epochs_.told(heard.number, heard.restarts), heard.number, 0};
  for (const auto& [id, e] : told_) {  // whatever the order in which it was told
    if (e.state == OfficeState::gone)
      continue;  // whoever has heard the list since then alone does not know of it
    Hash hash;
    hash.add(static_cast<std::uint64_t>(id)).add(e.office.start).add(static_cast<std::uint64_t>(e.state));
    list_.digest += hash.add(std::uint64_t{e.office.at.address} << 16U | e.office.at.port).value();
  }
  name_list(now);
  for (const auto& [member, peer] : peers_)
    if (live_.contains(member)) take_epoch(now, peer);
}

void Recovery::take(Time now, const ListCaughtUp& /*all*/) {
  const std::uint64_t epoch = epochs_.caught_up();
  if (!bulletin_ || epoch == list_.epoch) return;
  list_.epoch = epoch;
  name_list(now);
}

// What is told, as of the list that is followed now.
void Recovery::name_list(Time now) {
  for (auto& [id, e] : told_) {
    e.list = list_;
    if (!e.age) e.age = Duration{};
    offices_.saw(now, e);
    e.uptime.reset();  // it was true when it was told
  }
  tell_absent(now);
  judged_until_ = Time::min();
}

// As what was kept, of unknown age: it outranks nobody, and nobody is told of it.
void Recovery::take_unfollowed(Time now, const ListReceived& heard) {
  for (Evidence e : heard.offices) {
    e.rank = Rank::stored;
    e.source = self_;
    e.age.reset();
    offices_.saw(now, e);
  }
  judged_until_ = Time::min();
}

// The word of the list that was live goes on as a sight; what it called ended stays.
void Recovery::take(Time /*now*/, const SourceUnreachable& /*silent*/) {
  if (!bulletin_) return;
  bulletin_ = false;
  offices_.forget_list(self_, Rank::own);
  judged_until_ = Time::min();
}

void Recovery::take(Time now, const OfficeObserved& seen) {
  Evidence e = seen.evidence;
  e.rank = Rank::own;
  e.source = self_;
  if (!e.age || *e.age < Duration{}) e.age = Duration{};
  if (!own_.contains(e.office.id) && own_.size() >= settings_.offices.most_offices) return;
  offices_.saw(now, e);
  own_[e.office.id] = {e.office, e.state, now - *e.age};
  judged_until_ = Time::min();
}

void Recovery::take(Time now, const OfficeLoad& pressure) {
  const auto at = std::find_if(judged_.begin(), judged_.end(),
                               [&](const OfficeAssessment& j) { return j.office.id == pressure.office; });
  opening_.said(now, pressure, at == judged_.end() ? 1.0 : at->office.capacity);
}

void Recovery::take(Time /*now*/, const CarriedRate& carried) {
  if (carried_.contains(carried.office) || carried_.size() < kMaxValueOffices)
    carried_[carried.office] = std::max(carried.per_second, 0.0), carried_news_ = true;
}

}  // namespace reeltack::fleet::recovery
