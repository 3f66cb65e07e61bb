// Owner: own writes, accepting received facts, and the bounds. What is sent and shown: owner_send.cpp.
#include "fleet/facts/owner.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "fleet/facts/sizes.h"

namespace reeltack::fleet::facts {

void Owner::drop(Table::iterator at) {
  bytes_ -= held_bytes(at->second.value.size());
  if (at->second.deleted) --tombstones_;
  if (at->second.confirmed) order_.erase(at->second.version);
  facts_.erase(at);
}

void Owner::set(const Key& key, Entry entry) {
  if (const auto at = facts_.find(key); at != facts_.end()) drop(at);
  bytes_ += held_bytes(entry.value.size());
  if (entry.deleted) ++tombstones_;
  if (entry.confirmed) order_.emplace(entry.version, key);
  facts_.emplace(key, std::move(entry));
}

bool Owner::drop_oldest_tombstone() {
  for (const auto& [version, key] : order_) {
    const auto at = facts_.find(key);
    if (!at->second.deleted) continue;
    floor_ = std::max(floor_, version);
    drop(at);
    return true;
  }
  return false;
}

bool Owner::put(Time now, Key key, std::string value, const FactsSettings& settings) {
  if (value.size() > settings.max_value_bytes) return false;
  const auto over = [&] {
    const auto at = facts_.find(key);
    const std::size_t replaced = at == facts_.end() ? 0 : held_bytes(at->second.value.size());
    return facts_.size() + (at == facts_.end() ? 1 : 0) > settings.max_facts_per_owner ||
           bytes_ - replaced + held_bytes(value.size()) > settings.max_bytes_per_owner;
  };
  while (over()) {
    if (!drop_oldest_tombstone()) return false;
  }
  set(key, Entry{++highest_, std::move(value), false, true, false, Duration::zero(), now});
  return true;
}

void Owner::erase(Time now, Key key) {
  const auto at = facts_.find(key);
  if (at == facts_.end() || at->second.deleted) return;
  set(key, Entry{++highest_, "", true, true, false, Duration::zero(), now});
}

void Owner::raise(Incarnation to) {
  if (to <= incarnation_) return;
  incarnation_ = to;
  floor_ = 0;
  while (drop_oldest_tombstone()) continue;
  floor_ = 0;  // receivers of an older incarnation get a full copy, so no tombstone is needed
  highest_ = 0;
  std::map<Version, Key> renumbered;
  for (const auto& [version, key] : order_) {
    facts_.at(key).version = ++highest_;
    renumbered.emplace(highest_, key);
  }
  order_ = std::move(renumbered);
}

// Facts above `to` may still be confirmed.
void Owner::drop_unconfirmed(Time now, Version to, std::vector<Fact>& changed) {
  for (auto at = facts_.begin(); at != facts_.end();) {
    const auto next = std::next(at);
    const Version version = at->second.version;
    if (!at->second.confirmed && at->second.retained && version <= std::min(to, highest_) &&
        !order_.contains(version)) {
      at->second.confirmed = true;
      order_.emplace(version, at->first);
    } else if (!at->second.confirmed && version <= to) {
      changed.push_back(fact(now, at->first, at->second));
      changed.back().deleted = true;
      changed.back().value.clear();
      drop(at);
    }
    at = next;
  }
}

// Whether the part follows on what is held; if so, prepares the table for its facts.
bool Owner::accept(const OwnerDelta& part, std::vector<Fact>& gone, Time now) {
  if (part.incarnation < incarnation_) return false;
  if (part.incarnation > incarnation_) {
    if (!part.full) return false;
    append_live(now, gone);
    for (Fact& fact : gone) {
      fact.deleted = true;
      fact.value.clear();
    }
    *this = Owner(id_, part.incarnation);
    floor_ = part.floor;
    return true;
  }
  const bool missing = highest_ < part.floor && floor_ < part.floor;
  if (missing && part.full) {
    while (drop_oldest_tombstone()) continue;
    for (auto& [key, entry] : facts_) entry.confirmed = entry.retained = false;
    order_.clear();
    highest_ = 0;
    floor_ = part.floor;
    return true;
  }
  if (missing || (partial() && part.floor < floor_)) return false;
  return part.after <= highest_;
}

bool Owner::store(Time now, const Fact& fact, const FactsSettings& settings, std::vector<Fact>& changed) {
  const auto fits = [&] {
    const auto at = facts_.find(fact.key);
    const std::size_t replaced = at == facts_.end() ? 0 : held_bytes(at->second.value.size());
    if (held_bytes(fact.value.size()) <= replaced) return true;  // it does not grow
    return facts_.size() + (at == facts_.end() ? 1 : 0) <= 2 * settings.max_facts_per_owner &&
           bytes_ - replaced + held_bytes(fact.value.size()) <= 2 * settings.max_bytes_per_owner;
  };
  if (fact.value.size() > settings.max_value_bytes) return false;
  // The sender is between the parts of a delta: the fact held here is newer and stays.
  if (const auto had = facts_.find(fact.key);
      had != facts_.end() && !had->second.confirmed && had->second.version > fact.version) {
    had->second.retained = true;
    return true;
  }
  while (!fits() && drop_oldest_tombstone()) continue;
  if (!fits()) drop_unconfirmed(now, std::numeric_limits<Version>::max(), changed);
  if (!fits()) return false;
  Entry entry{fact.version, fact.value, fact.deleted,
              true,         false,      std::clamp(fact.age, Duration::zero(), kMaxAge),
              now};
  const auto at = facts_.find(fact.key);
  const bool known = at != facts_.end() && !at->second.deleted;
  const bool confirms = known && !at->second.confirmed && at->second.version == fact.version &&
                        !fact.deleted && at->second.value == fact.value;
  if (confirms) {  // the age counted here continues
    entry.age = std::min(std::max(entry.age, at->second.age + (now - at->second.at)), kMaxAge);
  }
  set(fact.key, std::move(entry));
  highest_ = fact.version;
  if (!confirms && (known || !fact.deleted))
    changed.push_back(this->fact(now, fact.key, facts_.at(fact.key)));
  return true;
}

bool Owner::apply(Time now, const OwnerDelta& part, const FactsSettings& settings, std::vector<Fact>& changed,
                  Counts& counts) {
  const bool newer = part.incarnation > incarnation_;
  std::vector<Fact> gone;
  if (!accept(part, gone, now)) {
    counts.outdated += part.facts.size();
    return false;
  }
  const Version before = highest_;
  std::vector<Fact> updated;
  bool all_stored = true;
  for (const Fact& fact : part.facts) {
    if (fact.version <= highest_) {
      ++counts.outdated;
      continue;
    }
    all_stored = all_stored && store(now, fact, settings, updated);
    ++(all_stored ? counts.accepted : counts.over_bound);
  }
  if (!part.more && all_stored) {
    highest_ = std::max(highest_, std::max(part.floor, floor_));
    drop_unconfirmed(now, highest_, updated);
  }
  for (Fact& fact : gone) {
    const auto at = facts_.find(fact.key);
    if (at == facts_.end() || at->second.deleted) changed.push_back(std::move(fact));
  }
  changed.insert(changed.end(), std::make_move_iterator(updated.begin()),
                 std::make_move_iterator(updated.end()));
  return newer || highest_ != before;
}

void Owner::expire_tombstones(Time now, Duration retention) {
  if (tombstones_ == 0) return;
  Version to = 0;
  for (const auto& [version, key] : order_) {
    const Entry& entry = facts_.at(key);
    if (entry.deleted && entry.age + (now - entry.at) >= retention) to = version;
  }
  while (to > floor_ && drop_oldest_tombstone()) continue;
}

}  // namespace reeltack::fleet::facts
