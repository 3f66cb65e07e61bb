// What other members say: their stage, list, offices and rates. What follows from all together: census.cpp.
//
// Owns: nothing beyond its class. Must never: throw on what a peer says.
#include <algorithm>

#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
bool over(OfficeState seen) { return seen == OfficeState::draining || seen == OfficeState::gone; }
}  // namespace

void Recovery::take(Time now, const FactReceived& told) {
  const Told& fact = told.fact;
  if (fact.owner == self_ || fact.owner == MemberId{}) {
    ++counts_.strangers;
    return;
  }
  if (!peers_.contains(fact.owner) && peers_.size() >= kMaxFleetSize) {
    ++counts_.over_bound;
    return;
  }
  Peer& peer = peers_[fact.owner];
  if (fact.deleted) {
    erase(now, peer, fact);
    return;
  }
  bool good = true;
  switch (fact.key.kind) {
    case facts::Kind::stage:
      good = take_stage(now, peer, fact);
      if (good && full_long(now, peer) != peer.survivor) believe_all(now, fact.owner, peer);
      break;
    case facts::Kind::list:
      good = take_list(now, fact.owner, peer, fact);
      break;
    case facts::Kind::office:
      good = take_office(now, fact.owner, peer, fact);
      break;
    case facts::Kind::lease: {
      const std::optional<Rates> rates = read_rates(fact.value);
      good = rates.has_value();
      if (good) peer.rates = *rates;
      break;
    }
    default:
      break;  // of others, or of a newer program
  }
  if (!good) ++counts_.malformed;
}

bool Recovery::take_stage(Time now, Peer& peer, const Told& fact) {
  const std::optional<StageValue> value = read_stage(fact.value);
  if (!value) return false;
  const Time at = now - std::max(fact.age, Duration{});
  // Started anew: it runs for less long than it did, or began clearly later, under a new incarnation.
  if (peer.stage && fact.incarnation > peer.incarnation &&
      (value->up < peer.stage->up || at - value->up > peer.stage_at - peer.stage->up + 2s))
    peer.restarted = restarted_ = now;
  // One that is asking hears of all who are full anew, where the fleet is not large.
  const bool asks = value->stage == Stage::asking && (!peer.stage || peer.stage->stage != Stage::asking ||
                                                      fact.incarnation > peer.incarnation);
  speak_ = speak_ || (asks && live_.size() <= kMaxSmallFleet);
  const Standing before = standing(now, fact.owner, peer);
  peer.stage = value;
  peer.stage_at = at;
  peer.incarnation = fact.incarnation;
  if (reckoned_ && standing(now, fact.owner, peer) == before)
    reckoned_->until = std::min(reckoned_->until, stands_until(now, peer));
  else
    reckoned_.reset();
  return true;
}

// Of this life of it nothing has been heard: it may be asking, and counts who has spoken since it began. So
// it is answered by a fresh word in this very exchange; its own word that it asks would come with the last
// step.
void Recovery::take(Time /*now*/, const ExchangeStarted& asked) {
  const auto peer = peers_.find(asked.member);
  const bool known =
      peer != peers_.end() && peer->second.stage && peer->second.incarnation >= asked.incarnation;
  speak_ = speak_ || (!known && live_.size() <= kMaxSmallFleet);
}

bool Recovery::take_list(Time now, MemberId member, Peer& peer, const Told& fact) {
  const std::optional<ListValue> value = read_list(fact.value);
  if (!value) return false;
  peer.list = *value;
  if (!value->live) offices_.forget_list(member, peer.survivor ? Rank::survivor : Rank::peer);
  if (live_.contains(member)) take_epoch(now, peer);
  believe_all(now, member, peer);
  return true;
}

// A list told here is the same one that a live member follows under a higher epoch.
void Recovery::take_epoch(Time now, const Peer& peer) {
  if (!bulletin_ || !peer.list.live || !epochs_.take(list_, peer.list.id)) return;
  list_.epoch = epochs_.epoch();
  name_list(now);
}

ListId Recovery::winning_list() const {
  ListId highest = bulletin_ ? list_ : ListId{};
  for (const auto& [member, peer] : peers_)
    if (live_.contains(member) && peer.list.live) highest = std::max(highest, peer.list.id);
  return highest;
}

bool Recovery::take_office(Time now, MemberId member, Peer& peer, const Told& fact) {
  if (fact.key.subject > 0xffffffffU) return false;
  const ServerId id{static_cast<std::uint32_t>(fact.key.subject)};
  const std::optional<OfficeValue> value = read_office(id, fact.value);
  if (!value) return false;
  if (!peer.offices.contains(id) && peer.offices.size() >= settings_.offices.most_offices) {
    ++counts_.over_bound;
    return true;
  }
  Held& held = peer.offices[id];
  held = {*value, now - std::max(fact.age, Duration{})};
  believe(now, member, peer, held);
  if (!told_.contains(id)) tell_absent(now);
  return true;
}

void Recovery::erase(Time /*now*/, Peer& peer, const Told& fact) {
  if (fact.key.kind == facts::Kind::stage) peer.stage.reset(), reckoned_.reset();
  if (fact.key.kind == facts::Kind::list) peer.list = {};
  if (fact.key.kind == facts::Kind::lease) peer.rates.clear();
  if (fact.key.kind == facts::Kind::office && fact.key.subject <= 0xffffffffU)
    peer.offices.erase(ServerId{static_cast<std::uint32_t>(fact.key.subject)});
}

// Ended is told by a list that was live as it was said; the rest of a list counts while it is live.
void Recovery::believe(Time now, MemberId member, const Peer& peer, const Held& held) {
  const Rank seen = peer.survivor ? Rank::survivor : Rank::peer;
  const auto say = [&](Rank rank, const Observation& sight) {
    Evidence e{held.value.office, rank, sight.state, member, (now - held.at) + sight.age};
    if (rank == Rank::listed) e.list = peer.list.id;
    if (held.value.uptime) e.uptime = *held.value.uptime - std::min(sight.age, *held.value.uptime);
    if (offices_.saw(now, e)) judged_until_ = Time::min();
  };
  if (const auto& told = held.value.listed) {
    if (over(told->state) || peer.list.live)
      say(Rank::listed, *told);
    else if (told->state == OfficeState::ready && !held.value.observed)
      say(seen, *told);
  }
  if (held.value.observed) say(seen, *held.value.observed);
}

void Recovery::believe_all(Time now, MemberId member, const Peer& peer) {
  peers_[member].survivor = full_long(now, peer) && !peer.stage->recovering;
  for (const auto& [id, held] : peer.offices) believe(now, member, peer, held);
  judged_until_ = Time::min();
}

// What others know and the own complete list does not name.
void Recovery::tell_absent(Time now) {
  if (!bulletin_ || !whole_list_) return;
  for (const OfficeAssessment& known : offices_.all(now)) {
    if (told_.contains(known.office.id) || over(known.state)) continue;
    Evidence e{known.office, Rank::listed, OfficeState::absent, self_, Duration{}};
    e.list = list_;
    offices_.saw(now, e);
  }
}

}  // namespace reeltack::fleet::recovery
