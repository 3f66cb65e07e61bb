// Which facts are urgent, and which facts of a received message are accepted.
#include "fleet/push/eager_push.h"

#include <algorithm>
#include <stdexcept>

namespace reeltack::fleet::eager_push {
namespace {

using recovery::OfficeState;

constexpr std::size_t kMaxLifetimes = 4;          // addresses of one start
constexpr std::size_t kMaxDeliveredAhead = 1024;  // facts delivered ahead of older ones

bool is_end(OfficeState seen) { return seen == OfficeState::draining || seen == OfficeState::gone; }

std::optional<recovery::OfficeValue> read(const facts::Fact& fact) {
  if (fact.key.kind != facts::Kind::office || fact.deleted || fact.version == 0) return std::nullopt;
  if (fact.key.subject > 0xffffffffU || fact.value.size() > kMaxValueBytes) return std::nullopt;
  return recovery::read_office(ServerId{static_cast<std::uint32_t>(fact.key.subject)}, fact.value);
}

}  // namespace

bool EagerPush::RateWindow::take(Time now, std::size_t amount, std::size_t max) {
  if (since == Time::min() || now >= since + std::chrono::seconds(1)) {
    since = now;
    used = 0;
  }
  if (used + amount > max) return false;
  used += amount;
  return true;
}

EagerPush::EagerPush(const EagerPushSettings& settings, MemberId self, std::uint64_t seed)
    : settings_(settings), self_(self), draws_(seed ^ 0x6e657773ULL) {}

bool EagerPush::is_urgent(const Value& value) const {
  if (!value.listed || (!is_end(value.listed->state) && value.listed->state != OfficeState::ready))
    return false;
  const bool ended = is_end(value.listed->state);
  const auto found = known_.find(value.office.id);
  if (found == known_.end()) return ended && known_.size() < settings_.max_offices;
  const KnownOffice& known = found->second;
  if (value.office.start != known.start) return value.office.start > known.start;
  const auto lifetime = std::find_if(known.lifetimes.begin(), known.lifetimes.end(),
                                     [&](const Lifetime& l) { return l.at == value.office.at; });
  if (lifetime == known.lifetimes.end()) return ended && known.lifetimes.size() < kMaxLifetimes;
  return ended && !lifetime->ended;
}

void EagerPush::remember(MemberId reporter, const Value& value) {
  if (!value.listed || (!is_end(value.listed->state) && value.listed->state != OfficeState::ready)) return;
  const auto found = known_.find(value.office.id);
  if (found == known_.end() && known_.size() >= settings_.max_offices) return;
  KnownOffice& known = known_[value.office.id];
  if (value.office.start < known.start) return;
  if (value.office.start > known.start) known = {value.office.start, {}};
  const bool ended = is_end(value.listed->state);
  const auto lifetime = std::find_if(known.lifetimes.begin(), known.lifetimes.end(),
                                     [&](const Lifetime& l) { return l.at == value.office.at; });
  if (lifetime == known.lifetimes.end()) {
    if (known.lifetimes.size() < kMaxLifetimes) known.lifetimes.push_back({value.office.at, ended, reporter});
    return;
  }
  // If the start is unknown (0), the member that reported the end may withdraw it; see recovery/offices.h.
  if (lifetime->ended && !ended && (value.office.start != 0 || lifetime->ended_by != reporter)) return;
  if (ended && !lifetime->ended) lifetime->ended_by = reporter;
  lifetime->ended = ended;
}

bool EagerPush::admit(Time now, MemberId from) {
  const bool admitted = admitted_[from].take(now, 1, settings_.max_urgent_per_member) &&
                        all_admitted_.take(now, 1, settings_.max_urgent_per_second);
  if (!admitted) ++counts_.rate_limited;
  return admitted;
}

void EagerPush::on_written(Time now, const facts::Fact& fact) {
  const auto value = read(fact);
  if (!value) return;
  const bool urgent = is_urgent(*value);
  remember(self_, *value);
  if (urgent) start_push(now, fact, *value, self_);
}

// A fact that was delivered ahead must not be undone by an older fact of its owner, or it would be urgent
// once more afterwards.
bool EagerPush::on_exchanged(Time now, const facts::Fact& fact) {
  if (superseded(fact)) return false;
  const auto value = read(fact);
  if (!value) return true;
  const bool urgent = is_urgent(*value) && fact.age <= settings_.max_age && admit(now, fact.owner);
  remember(fact.owner, *value);
  if (urgent) start_push(now, fact, *value, fact.owner);
  return true;
}

std::vector<facts::Fact> EagerPush::on_message(Time now, const Message& message, const IsMember& is_member) {
  ++counts_.messages_received;
  const MemberId from = message.envelope.from;
  std::vector<facts::Fact> urgent;
  for (const facts::Fact& fact : message.facts) {
    const auto value = read(fact);
    if (!value || !value->listed) {
      ++counts_.malformed;
    } else if (fact.owner == self_) {
      ++counts_.own;
    } else if (!is_member(from) || !is_member(fact.owner)) {
      ++counts_.non_member;
    } else if (fact.age > settings_.max_age || fact.age < Duration::zero()) {
      ++counts_.too_old;
    } else if (!is_urgent(*value)) {
      ++counts_.known;
      const auto pushed = pushed_.find({value->office.id, value->office.start, value->office.at});
      if (pushed == pushed_.end()) continue;
      pushed->second.received_from.insert(from);
    } else if (admit(now, from)) {
      ++counts_.urgent;
      remember(fact.owner, *value);
      start_push(now, fact, *value, from);
      urgent.push_back(fact);
    }
  }
  return urgent;
}

void EagerPush::mark_delivered_ahead(const facts::Fact& fact) {
  if (delivered_ahead_.size() >= kMaxDeliveredAhead) delivered_ahead_.erase(delivered_ahead_.begin());
  delivered_ahead_[{fact.owner, fact.key}] = {fact.incarnation, fact.version};
}

bool EagerPush::superseded(const facts::Fact& fact) {
  const auto found = delivered_ahead_.find({fact.owner, fact.key});
  if (found == delivered_ahead_.end() || fact.deleted) return false;
  if (std::pair(fact.incarnation, fact.version) < found->second) return true;
  delivered_ahead_.erase(found);
  return false;
}

void EagerPush::check() const {
  const auto require = [](bool holds, const char* what) {
    if (!holds) throw std::logic_error(std::string("eager push: ") + what);
  };
  require(known_.size() <= settings_.max_offices, "too many offices");
  require(pushed_.size() <= settings_.max_pushed, "too many facts being pushed");
  require(delivered_ahead_.size() <= kMaxDeliveredAhead, "too many facts delivered ahead");
  require(
      messages_.used <= settings_.max_messages_per_second && bytes_.used <= settings_.max_bytes_per_second,
      "more sent per second than allowed");
  for (const auto& [id, known] : known_)
    require(known.lifetimes.size() <= kMaxLifetimes, "too many lifetimes of an office");
  for (const auto& [meaning, pushed] : pushed_)
    require(pushed.pushes < settings_.push_delays.size() && !pushed.received_from.contains(MemberId{}),
            "a finished push is still active");
}

}  // namespace reeltack::fleet::eager_push
