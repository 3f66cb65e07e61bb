// What is news, by what is known of the offices' lives; and what of a message is taken.
//
// Owns: nothing beyond its class. Must never: throw on what a peer says, or mark as known what it refuses.
#include "fleet/news/news.h"

#include <algorithm>
#include <stdexcept>

namespace reeltack::fleet::news {
namespace {

using recovery::OfficeState;

constexpr std::size_t kMostLives = 4;     // addresses of one start
constexpr std::size_t kMostAhead = 1024;  // facts told ahead of older ones

bool is_over(OfficeState seen) { return seen == OfficeState::draining || seen == OfficeState::gone; }

std::optional<recovery::OfficeValue> read(const facts::Fact& fact) {
  if (fact.key.kind != facts::Kind::office || fact.deleted || fact.version == 0) return std::nullopt;
  if (fact.key.subject > 0xffffffffU || fact.value.size() > kMostValue) return std::nullopt;
  return recovery::read_office(ServerId{static_cast<std::uint32_t>(fact.key.subject)}, fact.value);
}

}  // namespace

bool News::Second::take(Time now, std::size_t much, std::size_t most) {
  if (since == Time::min() || now >= since + std::chrono::seconds(1)) {
    since = now;
    taken = 0;
  }
  if (taken + much > most) return false;
  taken += much;
  return true;
}

News::News(const EagerPushSettings& settings, MemberId self, std::uint64_t seed)
    : settings_(settings), self_(self), draws_(seed ^ 0x6e657773ULL) {}

bool News::is_news(const Value& value) const {
  if (!value.listed || (!is_over(value.listed->state) && value.listed->state != OfficeState::ready))
    return false;
  const bool over = is_over(value.listed->state);
  const auto found = known_.find(value.office.id);
  if (found == known_.end()) return over && known_.size() < settings_.most_offices;
  const Known& known = found->second;
  if (value.office.start != known.start) return value.office.start > known.start;
  const auto life = std::find_if(known.lives.begin(), known.lives.end(),
                                 [&](const Life& l) { return l.at == value.office.at; });
  if (life == known.lives.end()) return over && known.lives.size() < kMostLives;
  return over && !life->over;
}

void News::know(MemberId by, const Value& value) {
  if (!value.listed || (!is_over(value.listed->state) && value.listed->state != OfficeState::ready)) return;
  const auto found = known_.find(value.office.id);
  if (found == known_.end() && known_.size() >= settings_.most_offices) return;
  Known& known = known_[value.office.id];
  if (value.office.start < known.start) return;
  if (value.office.start > known.start) known = {value.office.start, {}};
  const bool over = is_over(value.listed->state);
  const auto life = std::find_if(known.lives.begin(), known.lives.end(),
                                 [&](const Life& l) { return l.at == value.office.at; });
  if (life == known.lives.end()) {
    if (known.lives.size() < kMostLives) known.lives.push_back({value.office.at, over, by});
    return;
  }
  // Of an unknown start (0) who called it over can take that back; see recovery/offices.h.
  if (life->over && !over && (value.office.start != 0 || life->by != by)) return;
  if (over && !life->over) life->by = by;
  life->over = over;
}

bool News::fresh(Time now, MemberId of) {
  const bool taken =
      fresh_[of].take(now, 1, settings_.fresh_a_member) && all_fresh_.take(now, 1, settings_.fresh_a_second);
  if (!taken) ++counts_.flooded;
  return taken;
}

void News::wrote(Time now, const facts::Fact& fact) {
  const auto value = read(fact);
  if (!value) return;
  const bool news = is_news(*value);
  know(self_, *value);
  if (news) tell_on(now, fact, *value, self_);
}

// One that was told ahead is not to be taken back by what its owner said before, to be news again after it.
bool News::learnt(Time now, const facts::Fact& fact) {
  if (outdated(fact)) return false;
  const auto value = read(fact);
  if (!value) return true;
  const bool news = is_news(*value) && fact.age <= settings_.most_age && fresh(now, fact.owner);
  know(fact.owner, *value);
  if (news) tell_on(now, fact, *value, fact.owner);
  return true;
}

std::vector<facts::Fact> News::heard(Time now, const Message& message, const Live& live) {
  ++counts_.in;
  const MemberId from = message.envelope.from;
  std::vector<facts::Fact> news;
  for (const facts::Fact& fact : message.facts) {
    const auto value = read(fact);
    if (!value || !value->listed) {
      ++counts_.malformed;
    } else if (fact.owner == self_) {
      ++counts_.own;
    } else if (!live(from) || !live(fact.owner)) {
      ++counts_.stranger;
    } else if (fact.age > settings_.most_age || fact.age < Duration::zero()) {
      ++counts_.old;
    } else if (!is_news(*value)) {
      ++counts_.known;
      const auto telling = telling_.find({value->office.id, value->office.start, value->office.at});
      if (telling == telling_.end()) continue;
      telling->second.heard.insert(from);
    } else if (fresh(now, from)) {
      ++counts_.fresh;
      know(fact.owner, *value);
      tell_on(now, fact, *value, from);
      news.push_back(fact);
    }
  }
  return news;
}

void News::told_ahead(const facts::Fact& fact) {
  if (ahead_.size() >= kMostAhead) ahead_.erase(ahead_.begin());
  ahead_[{fact.owner, fact.key}] = {fact.incarnation, fact.version};
}

bool News::outdated(const facts::Fact& fact) {
  const auto found = ahead_.find({fact.owner, fact.key});
  if (found == ahead_.end() || fact.deleted) return false;
  if (std::pair(fact.incarnation, fact.version) < found->second) return true;
  ahead_.erase(found);
  return false;
}

void News::check() const {
  const auto hold = [](bool holds, const char* what) {
    if (!holds) throw std::logic_error(std::string("news: ") + what);
  };
  hold(known_.size() <= settings_.most_offices, "more offices than the bound");
  hold(telling_.size() <= settings_.most_told, "more told on than the bound");
  hold(ahead_.size() <= kMostAhead, "more told ahead than the bound");
  hold(messages_.taken <= settings_.messages_a_second && bytes_.taken <= settings_.bytes_a_second,
       "more sent in a second than the bound");
  for (const auto& [id, known] : known_) hold(known.lives.size() <= kMostLives, "too many lives");
  for (const auto& [meaning, telling] : telling_)
    hold(telling.pushed < settings_.pushes.size() && !telling.heard.contains(MemberId{}), "told on for ever");
}

}  // namespace reeltack::fleet::news
