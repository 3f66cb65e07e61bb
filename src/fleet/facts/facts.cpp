// Facts: the own facts, taking a delta, silent and forgotten owners. Exchanges: exchange.cpp.
#include "fleet/facts/facts.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "fleet/facts/state.h"

namespace reeltack::fleet::facts {
namespace {

bool well_formed(const OwnerDelta& part) {
  if (part.owner == MemberId{} || (part.whole && part.after != 0)) return false;
  if (part.more && part.facts.empty()) return false;
  Version last = part.after;
  for (const Fact& fact : part.facts) {
    if (fact.owner != part.owner || fact.incarnation != part.incarnation) return false;
    if (fact.version <= last || fact.key.kind == Kind{}) return false;
    if (fact.deleted && (fact.version <= part.floor || !fact.value.empty())) return false;
    last = fact.version;
  }
  return true;
}

}  // namespace

Facts::Facts(const FactsSettings& settings, MemberId self, Incarnation incarnation)
    : state_(std::make_unique<State>(settings, self, incarnation)) {}
Facts::~Facts() = default;
Facts::Facts(Facts&&) noexcept = default;
Facts& Facts::operator=(Facts&&) noexcept = default;

bool Facts::put(Time now, Key key, std::string value) {
  return key.kind != Kind{} && state_->own().put(now, key, std::move(value), state_->settings);
}
void Facts::erase(Time now, Key key) { state_->own().erase(now, key); }
void Facts::raise(Incarnation to) { state_->own().raise(to); }
void Facts::tick(Time now) { state_->tick(now); }
const Counts& Facts::counts() const { return state_->counts; }
void Facts::check() const { state_->check(); }

Facts::Taken Facts::take(Time now, MemberId from, const Delta& delta) {
  Taken taken;
  const auto speaker = state_->owners.find(from);
  if (speaker != state_->owners.end() && from != state_->self) {
    speaker->second.heard = now;
    state_->show(now, speaker->second, taken.changed);
  }
  const FactsSettings& bounds = bytes() > state_->settings.most_bytes ? state_->strained : state_->settings;
  for (const OwnerDelta& part : delta.owners) {
    if (!well_formed(part)) {
      ++state_->counts.malformed;
    } else if (part.owner == state_->self) {
      state_->take_own(part, taken);
    } else {
      state_->take(now, part, part.owner == from, bounds, taken);
    }
  }
  return taken;
}

void Facts::State::show(Time now, Line& line, std::vector<Fact>& changed) {
  if (line.hidden == Hidden::no) return;
  line.hidden = Hidden::no;
  line.facts.all(now, changed);
}

void Facts::State::take_own(const OwnerDelta& part, Taken& taken) {
  if (part.incarnation < own().incarnation()) {
    counts.old += part.facts.size();
    return;
  }
  bool another = part.incarnation > own().incarnation() || part.floor > own().highest();
  for (const Fact& fact : part.facts) {
    // Of what is not held any more nothing can be said.
    const bool unknown = another || fact.version > own().highest();
    another = unknown || (own().held(fact.version) && !own().same(fact));
    ++(unknown || another ? counts.not_owners : counts.old);
  }
  if (another) taken.conflicting_incarnation = std::max(taken.conflicting_incarnation, part.incarnation);
}

Facts::State::Line* Facts::State::line(Time now, MemberId owner, Incarnation incarnation) {
  if (const auto at = owners.find(owner); at != owners.end()) return &at->second;
  if (owners.size() >= settings.most_owners) {
    const auto hidden = std::find_if(owners.begin(), owners.end(),
                                     [](const auto& line) { return line.second.hidden != Hidden::no; });
    if (hidden == owners.end()) return nullptr;
    owners.erase(hidden);
  }
  const Line fresh{Owner(owner, incarnation), now, Hidden::no, {}};
  return &owners.emplace(owner, fresh).first->second;
}

void Facts::State::take(Time now, const OwnerDelta& part, bool of_itself, const FactsSettings& bounds,
                        Taken& taken) {
  const bool known = owners.contains(part.owner);
  if (!known && !part.whole) {
    counts.old += part.facts.size();
    return;
  }
  Line* const line = this->line(now, part.owner, part.incarnation);
  if (line == nullptr) {
    counts.over_bound += std::max<std::size_t>(1, part.facts.size());
    return;
  }
  const Incarnation before = line->facts.incarnation();
  std::vector<Fact> changed;
  const bool news = line->facts.take(now, part, bounds, changed, counts);
  // Relayed news is as old as the youngest fact in it; a newcomer gives an owner half the time at least.
  Duration age = settings.silent_owner / 2;
  for (const Fact& fact : part.facts) age = std::min(age, std::max(fact.age, Duration::zero()));
  if (!known) line->heard = now - age;
  if (news && known) line->heard = std::max(line->heard, now - (part.facts.empty() ? Duration::zero() : age));
  if (of_itself) line->heard = now;
  if (line->hidden == Hidden::no) {
    taken.changed.insert(taken.changed.end(), std::make_move_iterator(changed.begin()),
                         std::make_move_iterator(changed.end()));
  } else if (news && (line->hidden == Hidden::silent || line->facts.incarnation() > before)) {
    show(now, *line, taken.changed);
  }
}

void Facts::State::tick(Time now) {
  for (auto at = owners.begin(); at != owners.end();) {
    Line& line = at->second;
    line.facts.collect(now, settings.tombstone);
    const auto next = std::next(at);
    if (at->first != self) {
      if (line.hidden == Hidden::no && now - line.heard >= settings.silent_owner) {
        line.hidden = Hidden::silent;
        line.hidden_at = now;
      } else if (line.hidden != Hidden::no && now - line.hidden_at >= settings.silent_owner) {
        owners.erase(at);
      }
    }
    at = next;
  }
}

void Facts::forget(Time now, MemberId owner) {
  const auto at = state_->owners.find(owner);
  if (owner == state_->self || at == state_->owners.end()) return;
  if (at->second.hidden == Hidden::no) at->second.hidden_at = now;
  at->second.hidden = Hidden::forgotten;
}

void Facts::each(Time now, Kind kind, const std::function<void(const Fact&)>& with) const {
  for (const auto& [owner, line] : state_->owners) {
    if (line.hidden == Hidden::no) line.facts.each(now, kind, with);
  }
}

void Facts::each(Time now, Key key, const std::function<void(const Fact&)>& with) const {
  for (const auto& [owner, line] : state_->owners) {
    if (line.hidden == Hidden::no) line.facts.one(now, key, with);
  }
}

std::optional<Fact> Facts::of(Time now, MemberId owner, Key key) const {
  std::optional<Fact> found;
  const auto at = state_->owners.find(owner);
  if (at != state_->owners.end() && at->second.hidden == Hidden::no)
    at->second.facts.one(now, key, [&](const Fact& fact) { found = fact; });
  return found;
}

std::size_t Facts::size() const {
  std::size_t facts = 0;
  for (const auto& [owner, line] : state_->owners) facts += line.hidden == Hidden::no ? line.facts.live() : 0;
  return facts;
}

std::size_t Facts::bytes() const {
  std::size_t bytes = 0;
  for (const auto& [owner, line] : state_->owners) bytes += line.facts.bytes();
  return bytes;
}

void Facts::State::check() const {
  if (owners.size() > settings.most_owners) throw std::logic_error("facts: too many owners");
  for (const auto& [owner, line] : owners) line.facts.check(settings, owner == self);
  if (owners.at(self).hidden != Hidden::no) throw std::logic_error("facts: the own facts are hidden");
}

}  // namespace reeltack::fleet::facts
