// Facts of other members: their stages, lists, offices and rates. What follows from all members together is
// in census.cpp. Nothing a peer sends makes this throw.
#include <algorithm>

#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
bool is_ended(OfficeState state) { return state == OfficeState::draining || state == OfficeState::gone; }
}  // namespace

void Recovery::handle(Time now, const FactReceived& received) {
  const Fact& fact = received.fact;
  if (fact.owner == self_ || fact.owner == MemberId{}) {
    ++counts_.invalid_owner;
    return;
  }
  if (!peers_.contains(fact.owner) && peers_.size() >= kMaxFleetSize) {
    ++counts_.over_bound;
    return;
  }
  Peer& peer = peers_[fact.owner];
  if (fact.deleted) {
    erase_fact(now, peer, fact);
    return;
  }
  bool good = true;
  switch (fact.key.kind) {
    case facts::Kind::stage:
      good = apply_stage(now, peer, fact);
      if (good && full_beyond_loss_window(now, peer) != peer.survivor)
        refresh_evidence(now, fact.owner, peer);
      break;
    case facts::Kind::list:
      good = apply_list(now, fact.owner, peer, fact);
      break;
    case facts::Kind::office:
      good = apply_office(now, fact.owner, peer, fact);
      break;
    case facts::Kind::lease: {
      const std::optional<Rates> rates = read_rates(fact.value);
      good = rates.has_value();
      if (good) peer.rates = *rates;
      break;
    }
    default:
      break;  // facts of other modules, or of a newer version
  }
  if (!good) ++counts_.malformed;
}

bool Recovery::apply_stage(Time now, Peer& peer, const Fact& fact) {
  const std::optional<StageValue> value = read_stage(fact.value);
  if (!value) return false;
  const Time at = now - std::max(fact.age, Duration{});
  // Restarted: it has run for less time than before, or began clearly later, under a new incarnation.
  if (peer.stage && fact.incarnation > peer.incarnation &&
      (value->up < peer.stage->up || at - value->up > peer.stage_at - peer.stage->up + 2s))
    peer.restarted = peer_restarted_at_ = now;
  // In a small fleet a member that asks receives a fresh report of every full member.
  const bool asks = value->stage == Stage::asking && (!peer.stage || peer.stage->stage != Stage::asking ||
                                                      fact.incarnation > peer.incarnation);
  announce_stage_ = announce_stage_ || (asks && live_.size() <= kMaxSmallFleet);
  const Contribution before = contribution(now, fact.owner, peer);
  peer.stage = value;
  peer.stage_at = at;
  peer.incarnation = fact.incarnation;
  if (summary_ && contribution(now, fact.owner, peer) == before)
    summary_->until = std::min(summary_->until, contribution_valid_until(now, peer));
  else
    summary_.reset();
  return true;
}

// Nothing has been received from this run of the member: it may be asking, and counts the reports since it
// began. A fresh report is therefore sent in this very exchange; its own fact that it asks would arrive only
// with the last step of the exchange.
void Recovery::handle(Time /*now*/, const ExchangeStarted& started) {
  const auto peer = peers_.find(started.member);
  const bool known =
      peer != peers_.end() && peer->second.stage && peer->second.incarnation >= started.incarnation;
  announce_stage_ = announce_stage_ || (!known && live_.size() <= kMaxSmallFleet);
}

bool Recovery::apply_list(Time now, MemberId member, Peer& peer, const Fact& fact) {
  const std::optional<ListValue> value = read_list(fact.value);
  if (!value) return false;
  peer.list = *value;
  if (!value->live) offices_.forget_list(member, peer.survivor ? Rank::survivor : Rank::peer);
  if (live_.contains(member)) adopt_epoch(now, peer);
  refresh_evidence(now, member, peer);
  return true;
}

// Adopts the epoch if the list followed here is the one that a live member follows under a higher epoch.
void Recovery::adopt_epoch(Time now, const Peer& peer) {
  if (!list_is_live_ || !peer.list.live || !epochs_.adopt(list_, peer.list.id)) return;
  list_.epoch = epochs_.epoch();
  add_listed_evidence(now);
}

ListId Recovery::winning_list() const {
  ListId highest = list_is_live_ ? list_ : ListId{};
  for (const auto& [member, peer] : peers_)
    if (live_.contains(member) && peer.list.live) highest = std::max(highest, peer.list.id);
  return highest;
}

bool Recovery::apply_office(Time now, MemberId member, Peer& peer, const Fact& fact) {
  if (fact.key.subject > 0xffffffffU) return false;
  const ServerId id{static_cast<std::uint32_t>(fact.key.subject)};
  const std::optional<OfficeValue> value = read_office(id, fact.value);
  if (!value) return false;
  if (!peer.offices.contains(id) && peer.offices.size() >= settings_.offices.max_offices) {
    ++counts_.over_bound;
    return true;
  }
  PeerOffice& office = peer.offices[id];
  office = {*value, now - std::max(fact.age, Duration{})};
  add_evidence(now, member, peer, office);
  if (!listed_.contains(id)) mark_absent_offices(now);
  return true;
}

void Recovery::erase_fact(Time /*now*/, Peer& peer, const Fact& fact) {
  if (fact.key.kind == facts::Kind::stage) peer.stage.reset(), summary_.reset();
  if (fact.key.kind == facts::Kind::list) peer.list = {};
  if (fact.key.kind == facts::Kind::lease) peer.rates.clear();
  if (fact.key.kind == facts::Kind::office && fact.key.subject <= 0xffffffffU)
    peer.offices.erase(ServerId{static_cast<std::uint32_t>(fact.key.subject)});
}

// An ended office was reported by a list that was live then and stays ended; the rest of a list counts only
// while it is live.
void Recovery::add_evidence(Time now, MemberId member, const Peer& peer, const PeerOffice& office) {
  const Rank observer_rank = peer.survivor ? Rank::survivor : Rank::peer;
  const auto add = [&](Rank rank, const Observation& observation) {
    Evidence e{office.value.office, rank, observation.state, member, (now - office.at) + observation.age};
    if (rank == Rank::listed) e.list = peer.list.id;
    if (office.value.uptime)
      e.uptime = *office.value.uptime - std::min(observation.age, *office.value.uptime);
    if (offices_.add(now, e)) assessments_valid_until_ = Time::min();
  };
  if (const auto& listed = office.value.listed) {
    if (is_ended(listed->state) || peer.list.live)
      add(Rank::listed, *listed);
    else if (listed->state == OfficeState::ready && !office.value.observed)
      add(observer_rank, *listed);
  }
  if (office.value.observed) add(observer_rank, *office.value.observed);
}

void Recovery::refresh_evidence(Time now, MemberId member, const Peer& peer) {
  peers_[member].survivor = full_beyond_loss_window(now, peer) && !peer.stage->recovering;
  for (const auto& [id, office] : peer.offices) add_evidence(now, member, peer, office);
  assessments_valid_until_ = Time::min();
}

// Marks the offices that other members know and the own complete list does not contain.
void Recovery::mark_absent_offices(Time now) {
  if (!list_is_live_ || !complete_list_received_) return;
  for (const OfficeAssessment& known : offices_.assess_all(now)) {
    if (listed_.contains(known.office.id) || is_ended(known.state)) continue;
    Evidence e{known.office, Rank::listed, OfficeState::absent, self_, Duration{}};
    e.list = list_;
    offices_.add(now, e);
  }
}

}  // namespace reeltack::fleet::recovery
