// What must hold of recovery after every event, and the state as a number for the model check.
//
// Owns: nothing. Must never: change the state.
#include <stdexcept>

#include "fleet/recovery/mix.h"
#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
namespace {
void hold(bool holds, const char* what) {
  if (!holds) throw std::logic_error(std::string("recovery: ") + what);
}
}  // namespace

void Recovery::check(Time now) const {
  offices_.check();
  leases_.check();
  epochs_.check();
  hold(opening_.opening() >= 0.0 && opening_.opening() <= 1.0, "the opening is beyond its bounds");
  const Share share = leases_.share(now);
  hold(share.part >= 0.0 && share.part * static_cast<double>(share.size) <= 1.0 + 1.0e-9,
       "more than an equal part");
  hold(live_.contains(self_), "not live to itself");
  hold(stage_ == Stage::dark || asked_ != Time::min(), "a stage before the store was read");
  hold(started_ == Time::min() || next_ > last_, "it would be asked again at once");
  // Told each time by next(), a stage has ended a moment after its longest stay.
  if (longest() != Duration::max() && last_ == now)
    hold(now - stage_since_ < longest(), "a stage beyond its longest stay");
  hold(!(recovering_ && without_fleet_and_store()), "a recovery without a fleet or a store");
  check_kept(now);
  if (terms_)
    for (const Terms::Line& line : terms_->offices) {
      const OfficeAssessment judged = offices_.judge(last_, line.office.id);
      const bool over = judged.rank == Rank::listed && judged.verdict == Verdict::barred;
      hold(!over || line.verdict == Verdict::barred, "what a list bars may be used");
      hold(!line.ours || line.verdict == Verdict::trial, "tried by us, yet not on trial");
    }
}

// What is kept between events is what it would be reckoned anew.
void Recovery::check_kept(Time now) const {
  const Reckoned anew = reckon(now);
  const Reckoned& held = reckoned(now);
  hold(held.census == anew.census, "a census that the members have not given");
  hold(held.largest == anew.largest && held.returning == anew.returning, "kept of members who say otherwise");
  Trials trials = trials_;
  trials.members_changed();
  for (const OfficeAssessment& judged : judged_)
    if (judged.verdict == Verdict::trial)
      hold(trials.whose(now, judged, live_) == trials_.whose(now, judged, live_), "another's turn to try");
  if (!linked_ || stage_ == Stage::dark || last_ != now || now >= publish_at_) return;
  for (const OfficeAssessment& judged : judged_) {
    const std::optional<OfficeValue> value = value_of(now, judged);
    const auto speaker = speaks_.find(judged.office.id);
    if (!value || speaker == speaks_.end()) continue;
    const Due due = due_of(now, judged, *value, recovering_ || anew.returning, speaker->second);
    hold(!due.now, "something is due that was not said");
  }
}

std::uint64_t Recovery::fingerprint(Time now) const {
  Hash hash;
  hash.add(static_cast<std::uint64_t>(stage_)).add(static_cast<std::uint64_t>(self_));
  hash.since(stage_since_, now)
      .since(full_since_, now)
      .since(lost_, now)
      .since(asked_, now)
      .since(next_, now);
  std::uint64_t flags = 0;
  for (const bool flag : {linked_, kept_, fresh_, recovering_, guessed_, had_enough_, members_told_,
                          bulletin_, whole_list_, speak_, served_})
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
      hash.since(peer.stage_at - peer.stage->full_for, now).since(peer.restarted, now);
    }
    hash.add(peer.list.id.number).add(std::uint64_t{peer.list.live});
    for (const auto& [office, held] : peer.offices)
      hash.add(static_cast<std::uint64_t>(office)).since(held.at, now);
  }
  for (const auto& [office, rate] : carried_) hash.add(static_cast<std::uint64_t>(office)).add(rate);
  for (const auto& [key, written] : published_) hash.add(key.subject).since(written.at, now);
  for (const auto& [key, written] : written_) hash.since(written.at, now);
  return hash.value();
}

}  // namespace reeltack::fleet::recovery
