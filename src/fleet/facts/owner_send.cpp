// Owner: what is sent to which receiver, what is shown to readers, and the invariants.
#include <algorithm>
#include <stdexcept>

#include "fleet/facts/owner.h"
#include "fleet/facts/sizes.h"

namespace reeltack::fleet::facts {

Fact Owner::fact(Time now, const Key& key, const Entry& entry) const {
  const Duration since = std::max(now - entry.at, Duration::zero());
  return {id_,
          incarnation_,
          entry.version,
          key,
          entry.value,
          entry.deleted,
          std::min(entry.age + since, kMaxAge)};
}

DigestEntry Owner::digest_entry() const { return {id_, incarnation_, highest_, partial() ? floor_ : 0}; }

std::optional<SendPlan> Owner::plan_for(const DigestEntry* other) const {
  if (partial()) return std::nullopt;
  if (other == nullptr || other->incarnation < incarnation_) return SendPlan{true, 0, floor_};
  if (other->incarnation > incarnation_ || other->highest >= highest_) return std::nullopt;
  const bool other_partial = other->floor > other->highest;
  if (other->highest < floor_ && !(other_partial && other->floor >= floor_)) return SendPlan{true, 0, floor_};
  if (!other_partial) return SendPlan{false, other->highest, floor_};
  // The receiver is in the middle of a full copy whose floor is at or above ours: it can be continued only if
  // everything up to that floor is known here.
  if (highest_ < other->floor) return std::nullopt;
  return SendPlan{false, other->highest, other->floor};
}

SendPriority Owner::priority(Time now, Version after) const {
  SendPriority priority;
  for (auto at = order_.upper_bound(after); at != order_.end(); ++at) {
    const Kind kind = at->second.kind;
    priority.low = priority.low && kind != Kind::list && kind != Kind::office;
  }
  if (!order_.empty()) {
    const Entry& newest = facts_.at(order_.rbegin()->second);
    priority.age = newest.age + std::max(now - newest.at, Duration::zero());
  }
  return priority;
}

std::optional<OwnerDelta> Owner::part(Time now, const SendPlan& plan, std::size_t room,
                                      bool at_least_one) const {
  OwnerDelta part{id_, incarnation_, plan.full, false, plan.after, plan.floor, {}};
  std::size_t bytes = encoded_head(part);
  for (auto at = order_.upper_bound(plan.after); at != order_.end(); ++at) {
    const Entry& entry = facts_.at(at->second);
    // Needs no tombstone: facts at or below the floor exist for the receiver only if they are sent.
    if (entry.deleted && entry.version <= plan.floor) continue;
    Fact next = fact(now, at->second, entry);
    bytes += encoded(next);
    if (bytes > room && !(at_least_one && part.facts.empty())) {
      if (part.facts.empty()) return std::nullopt;
      part.more = true;
      return part;
    }
    part.facts.push_back(std::move(next));
  }
  if (part.facts.empty() && bytes > room && !at_least_one) return std::nullopt;
  return part;
}

void Owner::each(Time now, Kind kind, const std::function<void(const Fact&)>& with) const {
  for (auto at = facts_.lower_bound(Key{kind, 0}); at != facts_.end() && at->first.kind == kind; ++at) {
    if (!at->second.deleted) with(fact(now, at->first, at->second));
  }
}

void Owner::visit(Time now, Key key, const std::function<void(const Fact&)>& with) const {
  const auto at = facts_.find(key);
  if (at != facts_.end() && !at->second.deleted) with(fact(now, key, at->second));
}

void Owner::append_live(Time now, std::vector<Fact>& to) const {
  for (const auto& [key, entry] : facts_) {
    if (!entry.deleted) to.push_back(fact(now, key, entry));
  }
}

bool Owner::matches(const Fact& fact) const {
  const auto at = order_.find(fact.version);
  if (at == order_.end() || at->second != fact.key) return false;
  const Entry& entry = facts_.at(fact.key);
  return entry.deleted == fact.deleted && entry.value == fact.value;
}

void Owner::check(const FactsSettings& settings, bool own) const {
  const auto require = [](bool condition, const char* message) {
    if (!condition) throw std::logic_error(message);
  };
  std::size_t bytes = 0, tombstones = 0, confirmed = 0;
  for (const auto& [key, entry] : facts_) {
    bytes += held_bytes(entry.value.size());
    require(entry.age >= Duration::zero() && entry.age <= kMaxAge, "facts: an age is out of bounds");
    require(entry.value.size() <= settings.max_value_bytes, "facts: a value exceeds its bound");
    require(entry.version > 0 && key.kind != Kind{}, "facts: a version or kind is 0");
    if (entry.deleted) {
      ++tombstones;
      require(entry.confirmed && entry.version > floor_, "facts: a tombstone at or below the floor");
    }
    if (!entry.confirmed) continue;
    ++confirmed;
    const auto at = order_.find(entry.version);
    require(at != order_.end() && at->second == key, "facts: a fact is not in the order of versions");
  }
  require(confirmed == order_.size(), "facts: the order of versions has an entry without a fact");
  require(bytes == bytes_ && tombstones == tombstones_, "facts: bytes or tombstones are miscounted");
  const Version last = order_.empty() ? 0 : order_.rbegin()->first;
  require(partial() ? highest_ == last : highest_ == std::max(last, floor_),
          "facts: the highest version does not match the facts held");
  const std::size_t factor = own ? 1 : 2;
  require(facts_.size() <= factor * settings.max_facts_per_owner, "facts: too many facts of an owner");
  require(bytes_ <= factor * settings.max_bytes_per_owner, "facts: too many bytes of an owner");
  require(!own || (confirmed == facts_.size() && !partial()), "facts: own facts are unconfirmed");
}

}  // namespace reeltack::fleet::facts
