// Facts published to the members: the own stage, list and rates, and evidence about offices. To limit the
// traffic only a few members report on each office.
//
// Every event checks what is due, and few events change that. Offices are checked when a verdict, an own
// observation, the list, the reporters or the stage has changed, and when a renewal is due (offices_due_at_).
#include <algorithm>
#include <cmath>

#include "fleet/recovery/evidence_order.h"
#include "fleet/recovery/mix.h"
#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t kReportersPerOffice = 3;  // members that renew the evidence about an office
constexpr Duration kMinChangeInterval = 500ms;  // between publications of a flapping fact
constexpr Duration kNewListWindow = 1s;  // after a list was received: its new instances are published at once
// The signature of an office's fact, by which changes are detected: listed state (3 bits), observed state
// (3 bits), hash of the instance (24 bits).
constexpr int kListedSignatureMask = 7;
constexpr int signature_of(OfficeState state) { return 1 + static_cast<int>(state); }  // 0: none
// Rounds to steps of about an eighth (a sixth of an octave), so that small changes are not published.
double rounded_rate(double rate) {
  if (rate < 0.01) return 0.0;
  return std::exp2(std::round(std::log2(rate) * 6.0) / 6.0);
}
}  // namespace

void Recovery::publish_fact(Time now, facts::Key key, std::string value, int signature, Actions& actions) {
  published_[key] = {value, now, signature};
  actions.emplace_back(Publish{key, std::move(value)});
}

void Recovery::publish(Time now, Actions& actions) {
  if (!linked_ || stage_ == Stage::dark) return;
  const auto due = [&](const facts::Key& key, int signature, Duration renewal, Duration change_interval) {
    const auto previous = published_.find(key);
    if (previous == published_.end()) return true;
    const Duration elapsed = now - previous->second.at;
    return elapsed >= renewal || (signature != previous->second.signature && elapsed >= change_interval);
  };
  const facts::Key stage{facts::Kind::stage, 0};
  const int stage_signature = static_cast<int>(stage_) + (recovering_ ? 8 : 0) +
                              16 * static_cast<int>(leases_.agreed()) +
                              1024 * static_cast<int>(leases_.largest());
  if (due(stage, stage_signature, stage_renewal(), 0ns) ||
      (announce_stage_ && due(stage, stage_signature, kMinChangeInterval, 0ns))) {
    publish_fact(now, stage, write(stage_value(now)), stage_signature, actions);
    announce_stage_ = false;
  }
  const facts::Key lease{facts::Kind::lease, 0};
  const Duration interval = std::max<Duration>(10s, static_cast<std::int64_t>(live_.size()) * Duration(1s));
  if (own_rates_changed_ && due(lease, 1, interval, interval)) {
    own_rates_changed_ = false;
    Rates rates;
    for (const auto& [office, rate] : own_rates_)
      if (rounded_rate(rate) > 0.0) rates[office] = rounded_rate(rate);
    std::string value = write(rates);
    const auto previous = published_.find(lease);
    if (previous == published_.end() ? !rates.empty() : previous->second.value != value)
      publish_fact(now, lease, std::move(value), 1, actions);
  }
  publish_offices(now, actions);
  // After the facts about its offices: facts arrive in the order in which they were written.
  const ListValue list{list_is_live_, list_};
  if (published_list_ != list) {
    publish_fact(now, {facts::Kind::list, 0}, write(list), 0, actions);
    published_list_ = list;
  }
}

void Recovery::publish_offices(Time now, Actions& actions) {
  const bool returning = recovering_ || summary(now).returning;
  const std::tuple inputs{stage_, recovering_, returning, list_is_live_, complete_list_received_};
  const bool new_list = !changed_instances_.empty() && now - list_received_at_ < kNewListWindow;
  if (now < offices_due_at_ && inputs == published_inputs_ && !new_list) return;
  published_inputs_ = inputs;
  offices_due_at_ = Time::max();
  for (const OfficeAssessment& assessment : assessments_) {
    const std::optional<OfficeValue> value = office_value(now, assessment);
    if (!value) continue;
    const Due due = office_due(now, assessment, *value, returning, is_reporter(assessment.office.id));
    const facts::Key key{facts::Kind::office, static_cast<std::uint64_t>(assessment.office.id)};
    if (due.now) publish_fact(now, key, write(*value), due.signature, actions);
    offices_due_at_ = std::min(offices_due_at_, due.next);
  }
}

// Whether this member reports on the office: the reporters are chosen by hash among the members that never
// lost power, and again among those with a live list. Cached; see update_agreed_size() and enter_stage().
bool Recovery::is_reporter(ServerId id) {
  const auto cached = reporter_cache_.find(id);
  if (cached != reporter_cache_.end()) return cached->second;
  // Until the others are known as survivors too, all members count: otherwise each would be the only reporter
  // and publish everything.
  const bool settled =
      !recovering_ && stage_ == Stage::full && last_step_at_ - full_since_ > 2 * settings_.loss_window;
  const auto survived = [&](MemberId m) {
    const auto peer = peers_.find(m);
    return !settled || m == self_ || (peer != peers_.end() && peer->second.survivor);
  };
  const auto has_live_list = [&](MemberId m) {  // or nothing is known of it
    const auto peer = peers_.find(m);
    return m == self_ || peer == peers_.end() || peer->second.list.live || !peer->second.stage;
  };
  return reporter_cache_[id] =
             among_first(self_, id, live_, kReportersPerOffice, survived) ||
             (list_is_live_ && among_first(self_, id, live_, kReportersPerOffice, has_live_list));
}

// Whether the last published fact lists the office as ready or absent. Such a fact is read as part of
// whichever list is named later, so it has to be kept true for each list.
bool Recovery::published_as_not_ended(ServerId id) const {
  const auto previous = published_.find({facts::Kind::office, static_cast<std::uint64_t>(id)});
  const int listed = previous == published_.end() ? 0 : previous->second.signature & kListedSignatureMask;
  return listed == signature_of(OfficeState::ready) || listed == signature_of(OfficeState::absent);
}

std::optional<OfficeValue> Recovery::office_value(Time now, const OfficeAssessment& assessment) const {
  const ServerId id = assessment.office.id;
  OfficeValue value;
  const auto own = observed_.find(id);
  const auto listed = listed_.find(id);
  if (listed != listed_.end()) {
    value.office = listed->second.office;
    if (list_is_live_ || is_ended(listed->second.state)) value.listed = Observation{listed->second.state, {}};
  } else if (list_is_live_ && complete_list_received_ &&
             (!is_ended(assessment.state) || published_as_not_ended(id))) {
    value.office = assessment.office;
    value.listed = Observation{OfficeState::absent, {}};
  }
  if (own != observed_.end() && (!value.listed || own->second.office.start == value.office.start)) {
    if (!value.listed) value.office = own->second.office;
    value.observed = Observation{own->second.state, now - own->second.at};
  }
  if (!value.observed && !value.listed) return std::nullopt;
  if (assessment.cold && assessment.office == value.office) value.uptime = assessment.uptime;
  return value;
}

// A few members report on each office, chosen among those that never lost power if there are any. Besides
// these a member reports if its observation contradicts the verdict, its list has changed for the office or
// holds it as ended, or it has just tried the office.
Recovery::Due Recovery::office_due(Time now, const OfficeAssessment& assessment, const OfficeValue& value,
                                   bool returning, bool reporter) const {
  const ServerId id = assessment.office.id;
  const bool ended = value.listed && is_ended(value.listed->state);
  const bool contrary =
      value.observed && is_up(value.observed->state) != (assessment.verdict == Verdict::trusted);
  const bool tried =
      value.observed && recovering_ && value.observed->age < 1s && assessment.rank != Rank::listed;
  const auto previous = published_.find({facts::Kind::office, static_cast<std::uint64_t>(id)});
  const int listed_signature = value.listed ? signature_of(value.listed->state) : 0;
  const std::uint64_t instance = mix(mix(value.office.start, value.office.at.address), value.office.at.port);
  Due due;
  due.signature = listed_signature + 8 * (value.observed ? signature_of(value.observed->state) : 0) +
                  64 * static_cast<int>(instance & 0xffffffU);
  const bool changed = previous == published_.end() || previous->second.signature != due.signature;
  const Duration elapsed = previous == published_.end() ? Duration::max() : now - previous->second.at;
  const bool moved = changed && value.listed && previous != published_.end() &&
                     previous->second.signature / 64 != due.signature / 64;
  const bool listed_changed =
      moved || (previous != published_.end() &&
                (previous->second.signature & kListedSignatureMask) != listed_signature);
  // kReportersPerOffice live members have published the same for this instance: one more adds nothing. A
  // member that has itself published something else for it still corrects that.
  const auto published_by_enough = [&] {
    std::size_t reporters = 0;
    for (const auto& [member, peer] : peers_) {
      const auto office = peer.offices.find(id);
      if (office == peer.offices.end() || !live_.contains(member)) continue;
      const OfficeValue& theirs = office->second.value;
      if (theirs.observed && is_up(theirs.observed->state) == is_up(value.observed->state) &&
          theirs.office == value.office && office->second.at - theirs.observed->age >= asking_since_ &&
          ++reporters >= kReportersPerOffice)
        return true;
    }
    return false;
  };
  // An instance that no other member has reported since the list was received.
  const bool new_instance = value.listed && now - list_received_at_ < kNewListWindow && changed &&
                            changed_instances_.contains(id) &&
                            std::none_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
                              const auto office = peer.second.offices.find(id);
                              return office != peer.second.offices.end() && office->second.value.listed &&
                                     office->second.value.office.start >= value.office.start &&
                                     office->second.value.office.at == value.office.at;
                            });
  const auto members = static_cast<std::int64_t>(live_.size());
  const Duration renewal = returning ? std::max<Duration>(2s, members * Duration(50ms))
                                     : std::max<Duration>(40s, members * Duration(200ms));
  due.now = changed ? (elapsed >= kMinChangeInterval || listed_changed || ended || new_instance) &&
                          (reporter || ended || contrary || listed_changed || new_instance ||
                           (tried && (previous != published_.end() || !published_by_enough())))
                    : elapsed >= renewal && reporter;
  if (due.now)
    due.next = now + renewal;
  else if (elapsed < (changed ? kMinChangeInterval : renewal))
    due.next = previous->second.at + (changed ? kMinChangeInterval : renewal);
  return due;
}

}  // namespace reeltack::fleet::recovery
