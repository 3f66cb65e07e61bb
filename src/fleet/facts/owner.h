// The facts of one owner, by key and in the order of their versions: which received ones are accepted, which
// are sent, what a floor means, and the owner's bounds. Knows no other owner; no I/O, no clock.
//
// States. Complete: every fact up to highest() is held, and the floor is at or below it. Partial: a full copy
// is being received in parts and has not reached its floor; nothing is sent meanwhile. In either state, facts
// from before a full copy may be held unconfirmed: shown, not sent, and dropped when the last part has come.
// Not thread-safe.
#pragma once

#include <optional>

#include "fleet/facts/facts.h"

namespace reeltack::fleet::facts {

// What is to be sent to one receiver.
struct SendPlan {
  bool full = false;
  Version after = 0;
  Version floor = 0;
};

// Sorting key of what is sent first: owners with lists or offices, then the newest.
struct SendPriority {
  bool low = true;         // neither a list nor an office
  Duration age = kMaxAge;  // of the newest fact
  auto operator<=>(const SendPriority&) const = default;
};

class Owner {
 public:
  Owner(MemberId id, Incarnation incarnation) : id_(id), incarnation_(incarnation) {}

  // For the process's own facts only.
  bool put(Time now, Key key, std::string value, const FactsSettings& settings);
  void erase(Time now, Key key);
  void raise(Incarnation to);

  // Appends what has changed to `changed`. False: nothing was new.
  bool apply(Time now, const OwnerDelta& part, const FactsSettings& settings, std::vector<Fact>& changed,
             Counts& counts);
  void expire_tombstones(Time now, Duration retention);

  [[nodiscard]] DigestEntry digest_entry() const;
  // `other` is the receiver's entry, null if it does not know the owner. None: it lacks nothing that can be
  // sent.
  [[nodiscard]] std::optional<SendPlan> plan_for(const DigestEntry* other) const;
  [[nodiscard]] SendPriority priority(Time now, Version after) const;  // of the facts after this version
  // As much as fits into `room` bytes; the first fact in any case if `at_least_one`. None: nothing fitted.
  [[nodiscard]] std::optional<OwnerDelta> part(Time now, const SendPlan& plan, std::size_t room,
                                               bool at_least_one) const;

  void each(Time now, Kind kind, const std::function<void(const Fact&)>& with) const;
  void visit(Time now, Key key, const std::function<void(const Fact&)>& with) const;
  void append_live(Time now, std::vector<Fact>& to) const;  // without tombstones
  [[nodiscard]] bool matches(const Fact& fact) const;       // this version is held with this content
  [[nodiscard]] bool contains(Version version) const { return order_.contains(version); }
  [[nodiscard]] Incarnation incarnation() const { return incarnation_; }
  [[nodiscard]] Version highest() const { return highest_; }
  [[nodiscard]] std::size_t live_count() const { return facts_.size() - tombstones_; }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  void check(const FactsSettings& settings, bool own) const;

 private:
  struct Entry {
    Version version = 0;
    std::string value;
    bool deleted = false;
    bool confirmed = true;
    bool retained = false;  // unconfirmed, and the full copy being received has an older fact of this key
    Duration age{};         // at `at`
    Time at{};
  };
  using Table = std::map<Key, Entry>;
  [[nodiscard]] bool partial() const { return highest_ < floor_; }
  [[nodiscard]] Fact fact(Time now, const Key& key, const Entry& entry) const;
  bool accept(const OwnerDelta& part, std::vector<Fact>& gone, Time now);
  bool store(Time now, const Fact& fact, const FactsSettings& settings, std::vector<Fact>& changed);
  void set(const Key& key, Entry entry);
  void drop(Table::iterator at);
  bool drop_oldest_tombstone();
  void drop_unconfirmed(Time now, Version to, std::vector<Fact>& changed);

  MemberId id_;
  Incarnation incarnation_;
  Version highest_ = 0;
  Version floor_ = 0;
  Table facts_;
  std::map<Version, Key> order_;  // confirmed facts only
  std::size_t tombstones_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace reeltack::fleet::facts
