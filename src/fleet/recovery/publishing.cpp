// What recovery says to the members: the own stage, list and rates, and what is known of offices.
//
// Owns: nothing beyond its class. Must never: say what nobody needs: of each office a few members speak.
//
// Each event asks what is to be said, and few change it. Of offices it is looked for when a verdict, the own
// eyes, the list, the speakers or the stage have changed, and when a repetition is due (publish_at_).
#include <algorithm>
#include <cmath>

#include "fleet/recovery/mix.h"
#include "fleet/recovery/recovery.h"
#include "fleet/recovery/sight.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t kSpeakers = 3;  // members that renew what is known of an office
constexpr Duration kSoon = 500ms;     // a fact that changes to and fro is told no more often
constexpr Duration kNews = 1s;        // after the list was heard
// A fact's sense, to compare it by: what is told, what is seen, of which life.
constexpr int kToldSense = 7;
constexpr int sense_of(OfficeState seen) { return 1 + static_cast<int>(seen); }  // nought: nothing
double rounded(double rate) {  // to an eighth, so that a small change is not told
  if (rate < 0.01) return 0.0;
  return std::exp2(std::round(std::log2(rate) * 6.0) / 6.0);
}
}  // namespace

void Recovery::put(Time now, facts::Key key, std::string value, int sense, Actions& actions) {
  published_[key] = {value, now, sense};
  actions.emplace_back(Publish{key, std::move(value)});
}

void Recovery::publish(Time now, Actions& actions) {
  if (!linked_ || stage_ == Stage::dark) return;
  const auto due = [&](const facts::Key& key, int sense, Duration renewal, Duration soon) {
    const auto had = published_.find(key);
    if (had == published_.end()) return true;
    const Duration since = now - had->second.at;
    return since >= renewal || (sense != had->second.sense && since >= soon);
  };
  const facts::Key stage{facts::Kind::stage, 0};
  const int sense = static_cast<int>(stage_) + (recovering_ ? 8 : 0) +
                    16 * static_cast<int>(leases_.agreed()) + 1024 * static_cast<int>(leases_.largest());
  if (due(stage, sense, stage_renewal(), 0ns) || (speak_ && due(stage, sense, kSoon, 0ns))) {
    put(now, stage, write(stage_value(now)), sense, actions);
    speak_ = false;
  }
  const facts::Key lease{facts::Kind::lease, 0};
  const Duration often = std::max<Duration>(10s, static_cast<std::int64_t>(live_.size()) * Duration(1s));
  if (carried_news_ && due(lease, 1, often, often)) {
    carried_news_ = false;
    Rates rates;
    for (const auto& [office, rate] : carried_)
      if (rounded(rate) > 0.0) rates[office] = rounded(rate);
    std::string value = write(rates);
    const auto had = published_.find(lease);
    if (had == published_.end() ? !rates.empty() : had->second.value != value)
      put(now, lease, std::move(value), 1, actions);
  }
  publish_offices(now, actions);
  // After the words of it: facts come in the order in which they were written.
  const ListValue list{bulletin_, list_};
  if (told_list_ != list) {
    put(now, {facts::Kind::list, 0}, write(list), 0, actions);
    told_list_ = list;
  }
}

void Recovery::publish_offices(Time now, Actions& actions) {
  const bool others = recovering_ || reckoned(now).returning;
  const std::tuple as{stage_, recovering_, others, bulletin_, whole_list_};
  const bool news = !news_.empty() && now - heard_ < kNews;
  if (now < publish_at_ && as == published_as_ && !news) return;
  published_as_ = as;
  publish_at_ = Time::max();
  for (const OfficeAssessment& judged : judged_) {
    const std::optional<OfficeValue> value = value_of(now, judged);
    if (!value) continue;
    const Due due = due_of(now, judged, *value, others, speaks(judged.office.id));
    const facts::Key key{facts::Kind::office, static_cast<std::uint64_t>(judged.office.id)};
    if (due.now) put(now, key, write(*value), due.sense, actions);
    publish_at_ = std::min(publish_at_, due.next);
  }
}

// Of those who never lost power, where this is one; reckoned anew with the members, and each second.
bool Recovery::speaks(ServerId id) {
  const auto known = speaks_.find(id);
  if (known != speaks_.end()) return known->second;
  // Until the others are known as survivors too, all count: else each would be the only one and tell all.
  const bool settled =
      !recovering_ && stage_ == Stage::full && last_ - full_since_ > 2 * settings_.loss_window;
  const auto survived = [&](MemberId m) {
    const auto peer = peers_.find(m);
    return !settled || m == self_ || (peer != peers_.end() && peer->second.survivor);
  };
  const auto listed = [&](MemberId m) {
    const auto peer = peers_.find(m);
    return m == self_ || peer == peers_.end() || peer->second.list.live || !peer->second.stage;
  };
  // And of those with a live list.
  return speaks_[id] = among_first(self_, id, live_, kSpeakers, survived) ||
                       (bulletin_ && among_first(self_, id, live_, kSpeakers, listed));
}

// What was once said of it still stands for the list that is named: it has to be true of each one.
bool Recovery::said_not_over(ServerId id) const {
  const auto had = published_.find({facts::Kind::office, static_cast<std::uint64_t>(id)});
  const int told = had == published_.end() ? 0 : had->second.sense & kToldSense;
  return told == sense_of(OfficeState::ready) || told == sense_of(OfficeState::absent);
}

std::optional<OfficeValue> Recovery::value_of(Time now, const OfficeAssessment& judged) const {
  const ServerId id = judged.office.id;
  OfficeValue value;
  const auto own = own_.find(id);
  const auto told = told_.find(id);
  if (told != told_.end()) {
    value.office = told->second.office;
    if (bulletin_ || over(told->second.state)) value.listed = Observation{told->second.state, {}};
  } else if (bulletin_ && whole_list_ && (!over(judged.state) || said_not_over(id))) {
    value.office = judged.office;
    value.listed = Observation{OfficeState::absent, {}};
  }
  if (own != own_.end() && (!value.listed || own->second.office.start == value.office.start)) {
    if (!value.listed) value.office = own->second.office;
    value.observed = Observation{own->second.state, now - own->second.at};
  }
  if (!value.observed && !value.listed) return std::nullopt;
  if (judged.cold && judged.office == value.office) value.uptime = judged.uptime;
  return value;
}

// A few members speak of each office, of those who never lost power if there are some; besides these whoever
// has seen what the verdict does not say, has been told that it is over, or has just tried it.
Recovery::Due Recovery::due_of(Time now, const OfficeAssessment& judged, const OfficeValue& value,
                               bool others, bool speaker) const {
  const ServerId id = judged.office.id;
  const bool ended = value.listed && over(value.listed->state);
  const bool contrary = value.observed && up(value.observed->state) != (judged.verdict == Verdict::trusted);
  const bool tried = value.observed && recovering_ && value.observed->age < 1s && judged.rank != Rank::listed;
  const auto had = published_.find({facts::Kind::office, static_cast<std::uint64_t>(id)});
  const int told_sense = value.listed ? sense_of(value.listed->state) : 0;
  const std::uint64_t life = mix(mix(value.office.start, value.office.at.address), value.office.at.port);
  Due due;
  due.sense = told_sense + 8 * (value.observed ? sense_of(value.observed->state) : 0) +
              64 * static_cast<int>(life & 0xffffffU);
  const bool changed = had == published_.end() || had->second.sense != due.sense;
  const Duration since = had == published_.end() ? Duration::max() : now - had->second.at;
  const bool moved =
      changed && value.listed && had != published_.end() && had->second.sense / 64 != due.sense / 64;
  const bool told_change =
      moved || (had != published_.end() && (had->second.sense & kToldSense) != told_sense);
  // Told by so many of the same life that one more adds nothing; who has told otherwise takes it back.
  const auto told_by_enough = [&] {
    std::size_t tellers = 0;
    for (const auto& [member, peer] : peers_) {
      const auto held = peer.offices.find(id);
      if (held == peer.offices.end() || !live_.contains(member)) continue;
      const OfficeValue& said = held->second.value;
      if (said.observed && up(said.observed->state) == up(value.observed->state) &&
          said.office == value.office && held->second.at - said.observed->age >= asked_ &&
          ++tellers >= kSpeakers)
        return true;
    }
    return false;
  };
  // A life that nobody else has named since the list was heard.
  const bool news = value.listed && now - heard_ < kNews && changed && news_.contains(id) &&
                    std::none_of(peers_.begin(), peers_.end(), [&](const auto& at) {
                      const auto held = at.second.offices.find(id);
                      return held != at.second.offices.end() && held->second.value.listed &&
                             held->second.value.office.start >= value.office.start &&
                             held->second.value.office.at == value.office.at;
                    });
  const auto members = static_cast<std::int64_t>(live_.size());
  const Duration renewal = others ? std::max<Duration>(2s, members * Duration(50ms))
                                  : std::max<Duration>(40s, members * Duration(200ms));
  due.now = changed ? (since >= kSoon || told_change || ended || news) &&
                          (speaker || ended || contrary || told_change || news ||
                           (tried && (had != published_.end() || !told_by_enough())))
                    : since >= renewal && speaker;
  if (due.now)
    due.next = now + renewal;
  else if (since < (changed ? kSoon : renewal))
    due.next = had->second.at + (changed ? kSoon : renewal);
  return due;
}

}  // namespace reeltack::fleet::recovery
