// Facts: composing summaries, digests and deltas, and the order of owners in a delta.
#include <algorithm>
#include <limits>

#include "fleet/facts/sizes.h"
#include "fleet/facts/state.h"

namespace reeltack::fleet::facts {
namespace {

static_assert(Summary::kBuckets == std::numeric_limits<std::uint32_t>::digits);

// The finalizer of SplitMix64 (Steele, Lea, Flood 2014).
std::uint64_t mix(std::uint64_t number) {
  number += 0x9e3779b97f4a7c15U;
  number = (number ^ (number >> 30U)) * 0xbf58476d1ce4e5b9U;
  number = (number ^ (number >> 27U)) * 0x94d049bb133111ebU;
  return number ^ (number >> 31U);
}

std::uint32_t bit_of(MemberId owner) { return std::uint32_t{1} << bucket_of(owner); }

}  // namespace

std::size_t bucket_of(MemberId owner) { return mix(static_cast<std::uint64_t>(owner)) % Summary::kBuckets; }

Summary Facts::summary() const {
  Summary summary;
  summary.buckets.resize(Summary::kBuckets);
  for (const auto& [owner, entry] : state_->owners) {
    const std::uint64_t hash =
        mix(mix(mix(static_cast<std::uint64_t>(owner)) ^ entry.facts.incarnation()) ^ entry.facts.highest());
    summary.buckets[bucket_of(owner)] += hash;
  }
  return summary;
}

Digest Facts::digest(const Summary& of_other) const {
  Digest digest;
  if (of_other.buckets.size() == Summary::kBuckets) {
    const Summary own = summary();
    digest.buckets = 0;
    for (std::size_t at = 0; at < Summary::kBuckets; ++at) {
      if (own.buckets[at] != of_other.buckets[at]) digest.buckets |= std::uint32_t{1} << at;
    }
  }
  for (const auto& [owner, entry] : state_->owners) {
    if ((digest.buckets & bit_of(owner)) != 0) digest.entries.push_back(entry.facts.digest_entry());
  }
  return digest;
}

Digest Facts::digest() const { return digest(Summary{}); }

Digest Facts::request(const Digest& of_other) const {
  Digest digest{{}, 0, true};
  for (const DigestEntry& other : of_other.entries) {
    const auto at = state_->owners.find(other.owner);
    DigestEntry own{other.owner, 0, 0, 0};
    if (at != state_->owners.end()) own = at->second.facts.digest_entry();
    const bool behind = other.incarnation > own.incarnation ||
                        (other.incarnation == own.incarnation && other.highest > own.highest);
    if (behind) digest.entries.push_back(own);
  }
  return digest;
}

namespace {

struct Missing {
  const Owner* owner;
  SendPlan plan;
  MemberId id;
  SendPriority priority;
  bool included = false;
};

// Builds a delta up to its bound in bytes.
class DeltaBuilder {
 public:
  DeltaBuilder(Time now, std::size_t max_bytes) : now_(now), max_bytes_(max_bytes) {}
  // Adds up to a total size of `until` bytes; false: nothing was added.
  bool add(Missing& item, std::size_t until, bool at_least_one, bool all_or_nothing) {
    auto part = item.owner->part(now_, item.plan, until > bytes_ ? until - bytes_ : 0, at_least_one);
    if (!part || (all_or_nothing && part->more)) return false;
    bytes_ += encoded(*part);
    delta_.owners.push_back(std::move(*part));
    return item.included = true;
  }
  // Fills half of the remaining space, lists and offices first, newest first. Each owner in one piece: a part
  // alone leaves its receiver between versions of a key.
  void add_by_priority(std::vector<Missing>& missing) {
    std::vector<Missing*> order;
    order.reserve(missing.size());
    for (Missing& item : missing) order.push_back(&item);
    std::stable_sort(order.begin(), order.end(),
                     [](const Missing* a, const Missing* b) { return a->priority < b->priority; });
    const std::size_t until = bytes_ + (max_bytes_ - std::min(bytes_, max_bytes_)) / 2;
    for (Missing* item : order) {
      if (bytes_ >= until) return;
      add(*item, until, false, true);
    }
  }
  // Fills the rest in the order given; returns the first owner that was left out.
  std::optional<MemberId> add_in_turn(std::vector<Missing>& missing) {
    bool first = true;
    std::optional<MemberId> first_skipped;
    for (Missing& item : missing) {
      if (item.included) continue;
      if (bytes_ >= max_bytes_) return first_skipped ? first_skipped : item.id;
      // A full copy goes in one piece if it can: a part of one after a restart would show only some new
      // facts.
      if (!add(item, max_bytes_, delta_.owners.empty(), item.plan.full && !first) && !first_skipped)
        first_skipped = item.id;
      first = false;
    }
    return first_skipped;
  }
  [[nodiscard]] Delta delta() { return std::move(delta_); }

 private:
  Time now_;
  std::size_t max_bytes_;
  Delta delta_;
  std::size_t bytes_ = encoded(Delta{});
};

}  // namespace

Delta Facts::delta(Time now, const Digest& of_other) {
  State& state = *state_;
  std::map<MemberId, const DigestEntry*> known;
  for (const DigestEntry& entry : of_other.entries) known.emplace(entry.owner, &entry);
  std::vector<Missing> missing;  // other owners, beginning with next_owner
  std::optional<Missing> own;
  const auto consider = [&](MemberId id, const State::OwnerEntry& entry) {
    const auto at = known.find(id);
    if (at == known.end() && (of_other.listed_only || (of_other.buckets & bit_of(id)) == 0)) return;
    if (entry.hidden != Hidden::no) return;
    const auto plan = entry.facts.plan_for(at == known.end() ? nullptr : at->second);
    if (!plan) return;
    const Missing item{&entry.facts, *plan, id, entry.facts.priority(now, plan->after)};
    if (id == state.self) {
      own = item;
    } else {
      missing.push_back(item);
    }
  };
  const auto start = state.owners.lower_bound(state.next_owner);
  for (auto at = start; at != state.owners.end(); ++at) consider(at->first, at->second);
  for (auto at = state.owners.begin(); at != start; ++at) consider(at->first, at->second);

  const std::size_t max_bytes = state.settings.max_delta_bytes;
  DeltaBuilder builder(now, max_bytes);
  if (own)
    builder.add(*own, own->plan.full || missing.empty() ? max_bytes : max_bytes - max_bytes / 4, true, false);
  builder.add_by_priority(missing);
  if (const auto first_skipped = builder.add_in_turn(missing)) state.next_owner = *first_skipped;
  return builder.delta();
}

}  // namespace reeltack::fleet::facts
