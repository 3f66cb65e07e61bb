// The stages: entry, exit, longest stay, and the ways back.
//
// Owns: nothing beyond its class. Must never: stay in a stage for longer than its bound.
#include <algorithm>

#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr Duration kStep = 100ms;
constexpr Duration kRenewal = 1s;
}  // namespace

void Recovery::settle(Time now, Actions& actions) {
  // A process that stood still has not been there: what it says of itself begins anew.
  if (now - last_ > settings_.loss_window && stage_ == Stage::full) full_since_ = now;
  last_ = now;
  if (renewed_ == Time::min() || now - renewed_ >= kRenewal) {
    renewed_ = now;
    agree(now);
    learn_rates(now);
    for (auto& [member, peer] : peers_)
      if ((full_long(now, peer) && !peer.stage->recovering) != peer.survivor) believe_all(now, member, peer);
  }
  refresh(now);
  opening_.advance(now, trusted_room() / settings_.enough, most_open());
  while (step(now, actions)) {
  }
  if (recovering_ && stage_ == Stage::full && now - stage_since_ >= kRecoverySettleTime) recovering_ = false;
  trials_.told(now, judged_, stage_ >= Stage::probation);
  tell_terms(now, actions);
  publish(now, actions);
  keep(now, actions);
  next_ = now + (stage_ == Stage::dark || (stage_ == Stage::full && !recovering_) ? kRenewal : kStep);
  if (longest() != Duration::max()) next_ = std::min(next_, std::max(stage_since_ + longest(), now + 1ms));
  next_ = std::min({next_, judged_until_, trials_.next(now), leases_.next(now)});
}

void Recovery::refresh(Time now) {
  if (now < judged_until_) return;
  judged_ = offices_.all(now);
  publish_at_ = now;
  judged_until_ = std::min(offices_.next(now), now + kRenewal);
}

double Recovery::trusted_part() const {
  double listed = 0.0;
  double trusted = 0.0;
  for (const OfficeAssessment& judged : judged_) {
    if (judged.verdict == Verdict::barred && judged.rank == Rank::listed) continue;  // no longer of the list
    listed += judged.office.capacity;
    if (judged.verdict == Verdict::trusted) trusted += judged.office.capacity;
  }
  return listed > 0.0 ? trusted / listed : 0.0;
}

// In partial after a loss so much has been trusted already; in one of a first start the offices that the
// configuration alone names have to answer first.
double Recovery::most_open() const {
  if (stage_ == Stage::partial) return recovering_ || judged_.empty() ? 1.0 : trusted_part();
  return stage_ == Stage::probation ? trusted_part() : 0.0;
}

// As trusted_part(), with a cold office counted by its allowance.
double Recovery::trusted_room() const {
  double listed = 0.0;
  double room = 0.0;
  for (const OfficeAssessment& judged : judged_) {
    if (judged.verdict == Verdict::barred && judged.rank == Rank::listed) continue;
    listed += judged.office.capacity;
    if (judged.verdict != Verdict::trusted) continue;
    room += judged.office.capacity * (bounded(judged) ? std::min(1.0, allowance(judged)) : 1.0);
  }
  return listed > 0.0 ? room / listed : 0.0;
}

Duration Recovery::longest() const {
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

bool Recovery::step(Time now, Actions& actions) {
  const Stage before = stage_;
  const bool late = longest() != Duration::max() && now - stage_since_ >= longest();
  switch (stage_) {
    case Stage::dark:
      if (asked_ != Time::min()) go(now, Stage::restored, "the store was read", actions);
      break;
    case Stage::restored:
      if (linked_)
        go(now, Stage::asking, "the link is up", actions);
      else if (late)
        decide(now, reckoned(now).census, actions);
      break;
    case Stage::asking: {
      const Census c = reckoned(now).census;
      // Settled: all have spoken, or a quorum, and so many have come back that no majority can be full.
      const bool all = c.spoken + 1 >= c.size && members_told_ && (kept_ || c.spoken > 0);
      const bool loss = 2 * (c.spoken + 1) > c.size && c.back > 0 && 2 * (c.back + 1) >= c.size;
      if (ordinary(c) || all || loss || late) decide(now, c, actions);
      break;
    }
    case Stage::probation:
    case Stage::partial:
    case Stage::full: {
      if (stage_ == Stage::full && now - stage_since_ >= settings_.loss_window) guessed_ = false;
      if (stage_ == Stage::full && !recovering_ && !guessed_) break;  // nothing in it leads back
      const Census c = reckoned(now).census;
      const double part = trusted_part();
      had_enough_ |= part >= settings_.enough;
      const bool too_little = recovering_ && had_enough_ && part < settings_.too_little;
      if (second_loss(now, c)) {
        ++counts_.second_losses;
        lost_ = asked_ = now;
        go(now, Stage::asking, "most members have started anew: a second loss", actions);
      } else if (stage_ != Stage::full && ordinary(c)) {
        go(now, Stage::full, "a majority is full", actions);
      } else if (stage_ != Stage::probation && guessed_ && now - stage_since_ < settings_.loss_window &&
                 2 * (c.back + 1) > c.size && c.full < c.back && lost(c)) {
        go(now, Stage::probation, "most others have come back too", actions);
      } else if (stage_ == Stage::probation && (part >= settings_.enough || late)) {
        go(now, Stage::partial, late ? "probation has lasted long enough" : "enough is trusted", actions);
      } else if (stage_ != Stage::probation && too_little) {
        ++counts_.fallbacks;
        go(now, Stage::probation, "too little is trusted", actions);
      } else if (stage_ == Stage::partial && (opening_.whole() || late)) {
        go(now, Stage::full, late ? "partial has lasted long enough" : "every class is open", actions);
      }
      break;
    }
  }
  return stage_ != before;
}

// Of those who have started anew, this one with them, half and more have been in service before. Where fewer
// have, this is a fleet that starts for the first time, or grows; a loss that emptied most disks looks the
// same, and is treated the same: see docs/design/fleet.md.
bool Recovery::lost(const Census& c) const { return 2 * (c.served + (served_ ? 1 : 0)) >= c.back + 1; }

void Recovery::decide(Time now, const Census& c, Actions& actions) {
  if (ordinary(c)) return go(now, Stage::full, "an ordinary restart: a majority is full", actions);
  if (linked_ && !lost(c)) {
    guessed_ = true;
    return go(now, Stage::partial, "a first start: most that come have never been in service", actions);
  }
  // Few have been heard: in a rolling restart some of them have just come back too. Only most of the fleet
  // tells a loss; where it was one, the guess is taken back as they are heard. Who was away for longer than
  // `fresh` goes by the word of those heard: of 12 a majority is seldom heard within max_asking.
  const bool stand = c.full > 0;
  if ((fresh_ || !kept_ || stand) && lost_ == Time::min() &&
      (c.full >= c.back || 2 * (c.back + 1) <= c.size)) {
    guessed_ = true;
    const char* known = stand ? "an ordinary restart: others have been full" : "nothing was kept";
    return go(now, Stage::full, fresh_ ? "an ordinary restart: the store is fresh" : known, actions);
  }
  go(now, Stage::probation, "a return from a power loss", actions);
}

void Recovery::go(Time now, Stage to, const char* reason, Actions& actions) {
  const Stage from = stage_;
  stage_ = to;
  stage_since_ = now;
  speaks_.clear();
  publish_at_ = now;
  if (to == Stage::probation || to == Stage::asking || (to == Stage::partial && from == Stage::asking))
    opening_.restart(now);
  if (to == Stage::probation) {
    if (!recovering_) ++counts_.recoveries;
    recovering_ = true;
    guessed_ = had_enough_ = false;
  }
  if (to == Stage::full) {
    opening_.open_fully();
    full_since_ = now;
  }
  actions.emplace_back(StageChanged{from, to, reason});
  if (to == Stage::probation || to == Stage::full) note(now, actions);
  speak_ = true;
}

}  // namespace reeltack::fleet::recovery
