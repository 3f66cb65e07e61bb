// Facts: own facts, applying a delta, silent and forgotten owners. Composing messages: exchange.cpp.
#include "fleet/facts/facts.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "fleet/facts/state.h"

namespace reeltack::fleet::facts {
namespace {

bool well_formed(const OwnerDelta& part) {
  if (part.owner == MemberId{} || (part.full && part.after != 0)) return false;
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

Facts::Applied Facts::apply(Time now, MemberId from, const Delta& delta) {
  Applied applied;
  const auto sender = state_->owners.find(from);
  if (sender != state_->owners.end() && from != state_->self) {
    sender->second.last_received = now;
    state_->unhide(now, sender->second, applied.changed);
  }
  const FactsSettings& bounds = bytes() > state_->settings.max_bytes ? state_->constrained : state_->settings;
  for (const OwnerDelta& part : delta.owners) {
    if (!well_formed(part)) {
      ++state_->counts.malformed;
    } else if (part.owner == state_->self) {
      state_->check_own(part, applied);
    } else {
      state_->apply(now, part, part.owner == from, bounds, applied);
    }
  }
  return applied;
}

void Facts::State::unhide(Time now, OwnerEntry& entry, std::vector<Fact>& changed) {
  if (entry.hidden == Hidden::no) return;
  entry.hidden = Hidden::no;
  entry.facts.append_live(now, changed);
}

void Facts::State::check_own(const OwnerDelta& part, Applied& applied) {
  if (part.incarnation < own().incarnation()) {
    counts.outdated += part.facts.size();
    return;
  }
  bool foreign = part.incarnation > own().incarnation() || part.floor > own().highest();
  for (const Fact& fact : part.facts) {
    // A version no longer held cannot be compared.
    const bool never_written = foreign || fact.version > own().highest();
    foreign = never_written || (own().contains(fact.version) && !own().matches(fact));
    ++(never_written || foreign ? counts.not_from_owner : counts.outdated);
  }
  if (foreign) applied.conflicting_incarnation = std::max(applied.conflicting_incarnation, part.incarnation);
}

Facts::State::OwnerEntry* Facts::State::find_or_add(Time now, MemberId owner, Incarnation incarnation) {
  if (const auto at = owners.find(owner); at != owners.end()) return &at->second;
  if (owners.size() >= settings.max_owners) {
    const auto hidden = std::find_if(owners.begin(), owners.end(),
                                     [](const auto& entry) { return entry.second.hidden != Hidden::no; });
    if (hidden == owners.end()) return nullptr;
    owners.erase(hidden);
  }
  const OwnerEntry fresh{Owner(owner, incarnation), now, Hidden::no, {}};
  return &owners.emplace(owner, fresh).first->second;
}

void Facts::State::apply(Time now, const OwnerDelta& part, bool from_owner, const FactsSettings& bounds,
                         Applied& applied) {
  const bool known = owners.contains(part.owner);
  if (!known && !part.full) {
    counts.outdated += part.facts.size();
    return;
  }
  OwnerEntry* const entry = this->find_or_add(now, part.owner, part.incarnation);
  if (entry == nullptr) {
    counts.over_bound += std::max<std::size_t>(1, part.facts.size());
    return;
  }
  const Incarnation previous = entry->facts.incarnation();
  std::vector<Fact> changed;
  const bool advanced = entry->facts.apply(now, part, bounds, changed, counts);
  // A relayed part counts as old as the youngest fact in it. For an owner not known before, the age is capped
  // at half the timeout.
  Duration age = settings.owner_timeout / 2;
  for (const Fact& fact : part.facts) age = std::min(age, std::max(fact.age, Duration::zero()));
  if (!known) entry->last_received = now - age;
  if (advanced && known)
    entry->last_received =
        std::max(entry->last_received, now - (part.facts.empty() ? Duration::zero() : age));
  if (from_owner) entry->last_received = now;
  if (entry->hidden == Hidden::no) {
    applied.changed.insert(applied.changed.end(), std::make_move_iterator(changed.begin()),
                           std::make_move_iterator(changed.end()));
  } else if (advanced && (entry->hidden == Hidden::silent || entry->facts.incarnation() > previous)) {
    unhide(now, *entry, applied.changed);
  }
}

void Facts::State::tick(Time now) {
  for (auto at = owners.begin(); at != owners.end();) {
    OwnerEntry& entry = at->second;
    entry.facts.expire_tombstones(now, settings.tombstone_retention);
    const auto next = std::next(at);
    if (at->first != self) {
      if (entry.hidden == Hidden::no && now - entry.last_received >= settings.owner_timeout) {
        entry.hidden = Hidden::silent;
        entry.hidden_at = now;
      } else if (entry.hidden != Hidden::no && now - entry.hidden_at >= settings.owner_timeout) {
        owners.erase(at);
      }
    }
    at = next;
  }
}

void Facts::forget_owner(Time now, MemberId owner) {
  const auto at = state_->owners.find(owner);
  if (owner == state_->self || at == state_->owners.end()) return;
  if (at->second.hidden == Hidden::no) at->second.hidden_at = now;
  at->second.hidden = Hidden::forgotten;
}

void Facts::each(Time now, Kind kind, const std::function<void(const Fact&)>& with) const {
  for (const auto& [owner, entry] : state_->owners) {
    if (entry.hidden == Hidden::no) entry.facts.each(now, kind, with);
  }
}

void Facts::each(Time now, Key key, const std::function<void(const Fact&)>& with) const {
  for (const auto& [owner, entry] : state_->owners) {
    if (entry.hidden == Hidden::no) entry.facts.visit(now, key, with);
  }
}

std::optional<Fact> Facts::find(Time now, MemberId owner, Key key) const {
  std::optional<Fact> found;
  const auto at = state_->owners.find(owner);
  if (at != state_->owners.end() && at->second.hidden == Hidden::no)
    at->second.facts.visit(now, key, [&](const Fact& fact) { found = fact; });
  return found;
}

std::size_t Facts::size() const {
  std::size_t facts = 0;
  for (const auto& [owner, entry] : state_->owners)
    facts += entry.hidden == Hidden::no ? entry.facts.live_count() : 0;
  return facts;
}

std::size_t Facts::bytes() const {
  std::size_t bytes = 0;
  for (const auto& [owner, entry] : state_->owners) bytes += entry.facts.bytes();
  return bytes;
}

void Facts::State::check() const {
  if (owners.size() > settings.max_owners) throw std::logic_error("facts: too many owners");
  for (const auto& [owner, entry] : owners) entry.facts.check(settings, owner == self);
  if (owners.at(self).hidden != Hidden::no) throw std::logic_error("facts: own facts are hidden");
}

}  // namespace reeltack::fleet::facts
