// Facts: summary, digest and delta, and whose turn it is.
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
  for (const auto& [owner, line] : state_->owners) {
    const std::uint64_t hash =
        mix(mix(mix(static_cast<std::uint64_t>(owner)) ^ line.facts.incarnation()) ^ line.facts.highest());
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
  for (const auto& [owner, line] : state_->owners) {
    if ((digest.buckets & bit_of(owner)) != 0) digest.known.push_back(line.facts.line());
  }
  return digest;
}

Digest Facts::digest() const { return digest(Summary{}); }

Digest Facts::wanted(const Digest& of_other) const {
  Digest digest{{}, 0, true};
  for (const Known& other : of_other.known) {
    const auto at = state_->owners.find(other.owner);
    Known own{other.owner, 0, 0, 0};
    if (at != state_->owners.end()) own = at->second.facts.line();
    const bool behind = other.incarnation > own.incarnation ||
                        (other.incarnation == own.incarnation && other.highest > own.highest);
    if (behind) digest.known.push_back(own);
  }
  return digest;
}

namespace {

struct Lack {
  const Owner* owner;
  Plan plan;
  MemberId id;
  Weight weight;
  bool gone_in = false;
};

// Fills a delta up to its bound.
class Filling {
 public:
  Filling(Time now, std::size_t most) : now_(now), most_(most) {}
  // Up to `until` bytes of the whole delta; false: nothing of it went in.
  bool add(Lack& lack, std::size_t until, bool at_least_one, bool all_or_nothing) {
    auto part = lack.owner->part(now_, lack.plan, until > bytes_ ? until - bytes_ : 0, at_least_one);
    if (!part || (all_or_nothing && part->more)) return false;
    bytes_ += encoded(*part);
    delta_.owners.push_back(std::move(*part));
    return lack.gone_in = true;
  }
  // Half of the room that is left: lists and offices first, the newest first. Each in one piece: a cut one
  // leaves its receiver between versions of a key.
  void by_weight(std::vector<Lack>& lacks) {
    std::vector<Lack*> order;
    order.reserve(lacks.size());
    for (Lack& lack : lacks) order.push_back(&lack);
    std::stable_sort(order.begin(), order.end(),
                     [](const Lack* a, const Lack* b) { return a->weight < b->weight; });
    const std::size_t until = bytes_ + (most_ - std::min(bytes_, most_)) / 2;
    for (Lack* lack : order) {
      if (bytes_ >= until) return;
      add(*lack, until, false, true);
    }
  }
  // The rest of it, in the order given; the first that was missed.
  std::optional<MemberId> in_turn(std::vector<Lack>& lacks) {
    bool first = true;
    std::optional<MemberId> missed;
    for (Lack& lack : lacks) {
      if (lack.gone_in) continue;
      if (bytes_ >= most_) return missed ? missed : lack.id;
      // A whole goes in one piece if it can: cut after a restart, it would show half of the new facts.
      if (!add(lack, most_, delta_.owners.empty(), lack.plan.whole && !first) && !missed) missed = lack.id;
      first = false;
    }
    return missed;
  }
  [[nodiscard]] Delta delta() { return std::move(delta_); }

 private:
  Time now_;
  std::size_t most_;
  Delta delta_;
  std::size_t bytes_ = encoded(Delta{});
};

}  // namespace

Delta Facts::delta(Time now, const Digest& of_other) {
  State& state = *state_;
  std::map<MemberId, const Known*> known;
  for (const Known& line : of_other.known) known.emplace(line.owner, &line);
  std::vector<Lack> lacks;  // of others, in the order of turns
  std::optional<Lack> own;
  const auto look = [&](MemberId id, const State::Line& line) {
    const auto at = known.find(id);
    if (at == known.end() && (of_other.listed_only || (of_other.buckets & bit_of(id)) == 0)) return;
    if (line.hidden != Hidden::no) return;
    const auto plan = line.facts.plan(at == known.end() ? nullptr : at->second);
    if (!plan) return;
    const Lack lack{&line.facts, *plan, id, line.facts.weight(now, plan->after)};
    if (id == state.self) {
      own = lack;
    } else {
      lacks.push_back(lack);
    }
  };
  const auto turn = state.owners.lower_bound(state.next);
  for (auto at = turn; at != state.owners.end(); ++at) look(at->first, at->second);
  for (auto at = state.owners.begin(); at != turn; ++at) look(at->first, at->second);

  const std::size_t most = state.settings.max_delta_bytes;
  Filling filling(now, most);
  if (own) filling.add(*own, own->plan.whole || lacks.empty() ? most : most - most / 4, true, false);
  filling.by_weight(lacks);
  if (const auto missed = filling.in_turn(lacks)) state.next = *missed;
  return filling.delta();
}

}  // namespace reeltack::fleet::facts
