// What controllers share: facts, each with one owner who alone may write it.
//
// Spread by anti-entropy as in Scuttlebutt (van Renesse et al. 2008): a digest of what is known of each owner
// (incarnation, highest version, floor), answered by a delta in the order of versions. What was deleted does
// not come back: a tombstone, and below the owner's floor nothing is taken.
//
// One exchange, four messages, each the answer to the one before (sizes: sizes.h):
//   A to B  summary()                        256 bytes, however many owners
//   B to A  digest(A's summary)              the lines of the buckets that differ; none: it ends here
//   A to B  delta(B's digest) and wanted(B's digest)
//   B to A  delta(A's wanted)
// A digest is an open offer: a message that is lost, late or doubled does no harm, and the next exchange
// mends it. Where a change comes in parts (`more`), an exchange brings max_delta_bytes bytes.
//
// Cost of one exchange a member a second, both ways, as encoded (tests/fleet/facts_size_test.cpp): 263 bytes
// a second quiet, whatever the fleet's size; at 300 members 1.1 KB with a change a member a minute, 1.8 KB
// every 30 s, 4.0 KB every 10 s, of which 1.7 KB are the changes themselves. A change is known to all 300 in
// 6 rounds.
//
// Owns: the table of facts, their ages and bounds. Must never: do I/O, read a clock, read a fact's meaning.
//
// Floor: tombstones are dropped after their time (or sooner, to keep the bound); the floor is the highest
// that was. Whoever stands below it may hold what was deleted, and gets all facts of that owner (`whole`).
// What it held and did not get again is dropped with the last part, not before, so that no fact goes and
// comes back. Where a whole is cut, its receiver passes nothing of that owner on until it stands at the
// floor. (The newcomer that meets first somebody who missed a deletion does believe it, until it meets
// somebody who did not.)
//
// A restart: a higher incarnation comes as a whole, and all older facts go at once. A raise() is the same on
// the wire; where the own facts exceed max_delta_bytes, the rest is missing for an exchange.
//
// A silent owner (no news and no word of its own for silent_owner) or a forgotten one is hidden: not shown,
// not passed on, and let go after silent_owner more. So an owner renews its facts within silent_owner.
//
// A fact's age runs on the owner's steady time; each holder adds the time that it has held it. The way
// between is not counted, so that an age is a lower bound; clocks are never compared.
//
// Which decider writes and reads which kind (a list, which no formatter wraps):
// - stage, subject 0: recovery writes and reads; own stage, uninterrupted since, agreed size.
// - list, subject the source: recovery; the digest of the newest list: epoch, number.
// - office, subject its id: recovery; evidence: seen up, refused, draining, gone.
// - lease, subject the office's id: recovery; share of a cold office's allowance, until when.
// - trial, subject the office's id: recovery; who tries a doubtful office, and what came.
// - vote, subject 0: drift; the version voted for, and the one known as approved.
// - rules, subject 0: drift; by which version, digests of the rules as read back, which keys differ.
// - version, subject the part: drift; a version's text.
// (Fleet III adds rows: cost, topology.)
//
// Threads: none. Equal inputs give equal outputs.
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
inline constexpr Kind kMaxKind{64};  // that may travel
struct Key {
  Kind kind{};
  std::uint64_t subject = 0;
  auto operator<=>(const Key&) const = default;
};
using Version = std::uint64_t;  // of an owner's writes, all keys together; from 1 with each incarnation

struct Fact {  // as it travels, and as it is told to who reads
  MemberId owner{};
  Incarnation incarnation = 0;
  Version version = 0;
  Key key;
  std::string value;
  bool deleted = false;
  Duration age{};  // since the owner wrote it, as far as it was held
};

// A fixed-size first word: owners fall into buckets by their id; equal buckets need no lines of a digest.
struct Summary {
  static constexpr std::size_t kBuckets = 32;
  std::vector<std::uint64_t> buckets;  // kBuckets sums of hashes of (owner, incarnation, highest)
};
[[nodiscard]] std::size_t bucket_of(MemberId owner);  // below kBuckets

struct Known {  // one owner's line of a digest
  MemberId owner{};
  Incarnation incarnation = 0;
  Version highest = 0;
  Version floor = 0;  // told only where it is above highest: in the midst of a whole that comes in parts
};
struct Digest {
  std::vector<Known> known;            // by owner
  std::uint32_t buckets = 0xffffffff;  // bit n: owners of bucket n without a line are not known
  bool listed_only = false;            // only owners with a line are asked for
};
struct OwnerDelta {
  MemberId owner{};
  Incarnation incarnation = 0;
  bool whole = false;       // all there is: what the receiver holds beside it goes, with the last part
  bool more = false;        // cut short: not taken as whole until the rest has come
  Version after = 0;        // in here is what follows this version; a receiver below it takes nothing
  Version floor = 0;        // nothing at or below it that is not in here exists any more
  std::vector<Fact> facts;  // ascending versions
};
struct Delta {
  std::vector<OwnerDelta> owners;
};

struct FactsSettings {
  // What an owner may write, tombstones included (they give way first). A holder takes twice as much: between
  // the parts of a cut delta it holds older facts beside newer ones.
  std::size_t most_facts_an_owner = 256;
  std::size_t most_bytes_an_owner = std::size_t{64} * 1024;  // as encoded, sizes.h
  std::size_t most_owners = 4096;
  // Of all owners together; beyond it what is taken of an owner is held to strained_bytes_an_owner.
  std::size_t most_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t strained_bytes_an_owner = std::size_t{4} * 1024;
  std::size_t most_value = 4096;  // bytes
  std::size_t max_delta_bytes =
      std::size_t{12} * 1024;  // bytes a delta; the rest goes with the next exchange
  Duration tombstone = std::chrono::minutes(10);
  Duration silent_owner = std::chrono::hours(1);  // facts of an owner never heard of again are dropped
};
// Facts each, but malformed: parts of a delta (one owner's) that were refused as a whole, for versions that
// do not ascend, key kind 0, nobody as owner, a tombstone under the floor, a name or incarnation not the
// part's.
struct Counts {
  std::uint64_t taken = 0, old = 0, over_bound = 0, not_owners = 0, malformed = 0;
};
inline constexpr Duration kMostAge = std::chrono::hours(24 * 366);  // a told age is held to 0 to this

class Facts {
 public:
  Facts(const FactsSettings& settings, MemberId self, Incarnation incarnation);
  ~Facts();
  Facts(Facts&&) noexcept;
  Facts& operator=(Facts&&) noexcept;

  // The own facts. A write of an equal value renews its age and takes a new version. False: over a bound.
  bool put(Time now, Key key, std::string value);
  void erase(Time now, Key key);
  // The own incarnation has gone up: the own facts go on under it, with their ages. Lower or equal: nothing.
  void raise(Incarnation to);

  [[nodiscard]] Summary summary() const;
  // The lines of the owners in the buckets that differ from `of_other`; all of them where it is malformed.
  [[nodiscard]] Digest digest(const Summary& of_other) const;
  [[nodiscard]] Digest digest() const;  // of all buckets
  // The own lines of those owners of whom the other knows more.
  [[nodiscard]] Digest wanted(const Digest& of_other) const;
  // What the other lacks, up to max_delta_bytes bytes as encoded (one fact more where a single one exceeds
  // it). Own facts first, up to three quarters where more is to be sent; then, in half of what is left,
  // owners with lists and offices, the newest first; then the rest in turn, beginning where the last delta
  // ended.
  [[nodiscard]] Delta delta(Time now, const Digest& of_other);
  // Takes what is newer. Every fact that has changed is told, in its order; one that went is told as deleted.
  // `from` sent it: what it says of itself is believed, what it says of others is taken as relayed; a fact of
  // the own process that is not known here (a copied disk) is not taken and raises a flag.
  struct Taken {
    std::vector<Fact> changed;
    Incarnation conflicting_incarnation =
        0;  // a higher own incarnation, or own versions never written: another has our name
  };
  Taken take(Time now, MemberId from, const Delta& delta);
  void forget(Time now, MemberId owner);  // the member has left or is dead for good
  void tick(Time now);

  // Facts that are hidden are not told by any of these.
  // Every fact of a kind (and subject), with its age now, by owner.
  void each(Time now, Kind kind, const std::function<void(const Fact&)>& with) const;
  void each(Time now, Key key, const std::function<void(const Fact&)>& with) const;
  [[nodiscard]] std::optional<Fact> of(Time now, MemberId owner, Key key) const;
  [[nodiscard]] std::size_t size() const;   // facts shown, tombstones not counted
  [[nodiscard]] std::size_t bytes() const;  // of all that is held
  [[nodiscard]] const Counts& counts() const;
  void check() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace reeltack::fleet::facts
