// The state that controllers replicate: facts, each with one owner, who alone may write it.
//
// Facts are spread by anti-entropy as in Scuttlebutt (van Renesse et al. 2008): a digest of what is known of
// each owner (incarnation, highest version, floor) is answered by a delta in the order of versions. A deleted
// fact does not come back: a tombstone marks it, and below the owner's floor nothing is accepted.
//
// One exchange has four messages, each the answer to the one before (sizes: sizes.h):
//   A to B  summary()                        256 bytes, however many owners
//   B to A  digest(A's summary)              entries of the buckets that differ; if none, the exchange ends
//   A to B  delta(B's digest) and request(B's digest)
//   B to A  delta(A's request)
// A digest is valid by itself: a lost, late or duplicated message does no harm, and the next exchange repairs
// it. A change sent in parts (`more`) progresses by max_delta_bytes an exchange.
//
// Cost of one exchange per member and second, both directions, encoded (tests/fleet/facts_size_test.cpp): 263
// bytes/s idle, whatever the fleet's size; at 300 members 1.1 KB with one change per member a minute, 1.8 KB
// every 30 s, 4.0 KB every 10 s, of which 1.7 KB are the changes themselves. A change is known to all 300 in
// 6 rounds.
//
// Floor: tombstones are dropped after their retention time (or sooner, to keep the bound); the floor is the
// highest version dropped. A holder below it may hold deleted facts, and gets a full copy of the owner's
// facts
// (`full`). Facts that it held and did not receive again are dropped with the last part, not before, so that
// no fact disappears and comes back. While a full copy is incomplete, its receiver does not pass that owner
// on until it reaches the floor. (A new member that first meets one that missed a deletion does accept the
// deleted fact, until it meets one that did not miss it.)
//
// Restart: a higher incarnation is sent as a full copy, and all older facts are dropped at once. raise()
// looks the same on the wire; if the owner's facts exceed max_delta_bytes, the rest is missing for one
// exchange.
//
// A silent owner (no new fact and no message of its own for owner_timeout) or a forgotten one is hidden: not
// shown, not passed on, and removed after another owner_timeout. An owner must therefore renew its facts
// within owner_timeout.
//
// The age of a fact runs on the owner's steady clock; each holder adds the time it has held it. Time in
// transit is not counted, so an age is a lower bound. Clocks are never compared.
//
// Which module writes and reads which kind:
// - stage, subject 0: recovery; own stage, uninterrupted since, agreed size.
// - list, subject the source: recovery; the digest of the newest list: epoch, number.
// - office, subject its id: recovery; evidence: seen up, refused, draining, gone.
// - lease, subject the office's id: recovery; share of a cold office's allowance, until when.
// - trial, subject the office's id: recovery; which controller tries a doubtful office, and the result.
// - vote, subject 0: drift; the version voted for, and the one known as approved.
// - rules, subject 0: drift; the approved version, digests of the rules in use, which keys differ.
// - version, subject the number of the part: drift; a version's text.
//
// No I/O and no clock; a fact's value is never interpreted here. Not thread-safe. Equal inputs give equal
// outputs.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fleet/members/ids.h"

namespace reeltack::fleet::facts {

enum class Kind : std::uint16_t {
  stage = 1,
  list = 2,
  office = 3,
  lease = 4,
  trial = 5,
  vote = 6,
  rules = 7,
  version = 8
};
inline constexpr Kind kMaxKind{64};  // the highest that may be sent; unknown ones are passed on
struct Key {
  Kind kind{};
  std::uint64_t subject = 0;
  auto operator<=>(const Key&) const = default;
};
using Version = std::uint64_t;  // counts an owner's writes, over all keys; starts at 1 with each incarnation

struct Fact {  // as sent, and as shown to readers
  MemberId owner{};
  Incarnation incarnation = 0;
  Version version = 0;
  Key key;
  std::string value;
  bool deleted = false;
  Duration age{};  // since the owner wrote it, without time in transit
};

// The first message of an exchange, of fixed size: owners fall into buckets by their id, and equal buckets
// need no entries in the digest.
struct Summary {
  static constexpr std::size_t kBuckets = 32;
  std::vector<std::uint64_t> buckets;  // kBuckets sums of hash(owner, incarnation, highest)
};
[[nodiscard]] std::size_t bucket_of(MemberId owner);  // below kBuckets

struct DigestEntry {  // what is known of one owner
  MemberId owner{};
  Incarnation incarnation = 0;
  Version highest = 0;
  Version floor = 0;  // set only if above highest: a full copy is being received in parts
};
struct Digest {
  std::vector<DigestEntry> entries;    // by owner
  std::uint32_t buckets = 0xffffffff;  // bit n: owners of bucket n without an entry are not known
  bool listed_only = false;            // only owners with an entry are requested
};
struct OwnerDelta {
  MemberId owner{};
  Incarnation incarnation = 0;
  bool full = false;        // all of the owner's facts: others that the receiver holds go with the last part
  bool more = false;        // not the last part: a full copy is complete only with the rest
  Version after = 0;        // the facts follow this version; a receiver below it accepts nothing
  Version floor = 0;        // facts at or below it exist only if they are in here
  std::vector<Fact> facts;  // ascending versions
};
struct Delta {
  std::vector<OwnerDelta> owners;
};

struct FactsSettings {
  // What an owner may write, tombstones included (they are dropped first). A holder accepts twice as much:
  // between the parts of a delta it holds older facts beside newer ones.
  std::size_t max_facts_per_owner = 256;
  std::size_t max_bytes_per_owner = std::size_t{64} * 1024;  // as encoded, sizes.h
  std::size_t max_owners = 4096;
  // Over all owners; beyond it constrained_bytes_per_owner applies to what is accepted of an owner.
  std::size_t max_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t constrained_bytes_per_owner = std::size_t{4} * 1024;
  std::size_t max_value_bytes = 4096;
  std::size_t max_delta_bytes = std::size_t{12} * 1024;  // per delta; the rest goes with the next exchange
  Duration tombstone_retention = std::chrono::minutes(10);
  Duration owner_timeout = std::chrono::hours(1);  // facts of an owner that sends nothing more are dropped
};
// Counts of received facts; malformed counts parts of a delta (one owner's) that were rejected completely:
// versions that do not ascend, key kind 0, no owner, a tombstone below the floor, or an owner or incarnation
// other than the part's. not_from_owner: facts under our own id that this process has not written.
struct Counts {
  std::uint64_t accepted = 0, outdated = 0, over_bound = 0, not_from_owner = 0, malformed = 0;
};
inline constexpr Duration kMaxAge = std::chrono::hours(24 * 366);  // received ages are clamped to 0 to this

class Facts {
 public:
  Facts(const FactsSettings& settings, MemberId self, Incarnation incarnation);
  ~Facts();
  Facts(Facts&&) noexcept;
  Facts& operator=(Facts&&) noexcept;

  // Own facts. Writing an equal value resets its age and takes a new version. False: a bound is exceeded.
  bool put(Time now, Key key, std::string value);
  void erase(Time now, Key key);
  // Moves the own facts, with their ages, to a higher own incarnation; a lower or equal one has no effect.
  void raise(Incarnation to);

  [[nodiscard]] Summary summary() const;
  // Entries of the owners in the buckets that differ from `of_other`; all entries if that is malformed.
  [[nodiscard]] Digest digest(const Summary& of_other) const;
  [[nodiscard]] Digest digest() const;  // of all buckets
  // Our entries of those owners of whom the other knows more.
  [[nodiscard]] Digest request(const Digest& of_other) const;
  // What the other lacks, up to max_delta_bytes encoded (more only where a single fact exceeds it). Own facts
  // go first, up to three quarters if there is more to send; then, in half of what remains, owners with lists
  // and offices, newest first; then the rest in turn, beginning where the last delta ended.
  [[nodiscard]] Delta delta(Time now, const Digest& of_other);
  // Accepts what is newer. Returns every fact that has changed, in order; one that is gone is returned as
  // deleted. `from` is the sender: its own facts are direct, those of others are relayed. A fact under our
  // own id that this process did not write (a copied disk) is not accepted, and is reported.
  struct Applied {
    std::vector<Fact> changed;
    // Ours or a higher one: another process uses our name. 0: none does.
    Incarnation conflicting_incarnation = 0;
  };
  Applied apply(Time now, MemberId from, const Delta& delta);
  void forget_owner(Time now, MemberId owner);  // the member has left or is dead for good
  void tick(Time now);

  // Hidden facts are not visited, returned or counted by these, but in bytes().
  // Every fact of a kind (and subject), with its present age, by owner.
  void each(Time now, Kind kind, const std::function<void(const Fact&)>& with) const;
  void each(Time now, Key key, const std::function<void(const Fact&)>& with) const;
  [[nodiscard]] std::optional<Fact> find(Time now, MemberId owner, Key key) const;
  [[nodiscard]] std::size_t size() const;   // without tombstones
  [[nodiscard]] std::size_t bytes() const;  // of all facts held, hidden ones included
  [[nodiscard]] const Counts& counts() const;
  void check() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace reeltack::fleet::facts
