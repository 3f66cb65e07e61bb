// What the fleet keeps: opens the store, reads what was kept, and hands on what is to last.
//
// Owns: the keeper, what the store held at the start, and how old it is; the promises (the
//   own vote, the version that it is for, the approved version, the own incarnations) until the store has
//   them.
// Must never: trust an age that cannot be proven (of another boot of the machine the wall clock alone tells
//   it; in the future, or of another owner's disk, it is none), report a vote as kept that is not, write a
//   promise over an unread one of an earlier life, or let the fleet wait for a disk: after kMaxDurabilityWait
//   an incarnation goes out all the same, and that is said.
//
// Threads: the constructor and flush() by the program's own, before and after the link's; the rest by the
// link's. Errors: the constructor throws std::runtime_error where another process has the store.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "config/controllers.h"
#include "store/keeper.h"

namespace reeltack::fleet {

// So long an own incarnation waits for the store; members that are not answered call this one dead.
inline constexpr Duration kMaxDurabilityWait = std::chrono::seconds(1);

class FleetStorage {
 public:
  using Say = std::function<void(const std::string& event, const std::string& text)>;
  FleetStorage(const config::Controllers& settings, const std::string& owner, Say say);

  [[nodiscard]] Incarnation incarnation() const { return incarnation_; }  // of this start; kept already
  [[nodiscard]] const std::optional<recovery::PersistedState>& persisted_state() const { return kept_; }
  [[nodiscard]] const std::vector<members::Update>& known_members() const { return members_; }
  // Of this controller's own disk; a copied one has another's vote.
  [[nodiscard]] const drift::Restored& rules() const { return rules_; }

  void put(const Store& what);
  // Votes asked for by put() and durable now, once each. Never where there is no store.
  [[nodiscard]] std::optional<drift::Vote> take_durable_vote();
  // Incarnations asked for by put() and durable now, or said not to be; once each.
  [[nodiscard]] std::optional<Incarnation> take_durable_incarnation(Time now);
  // After how long take_durable_vote() and take_durable_incarnation() may say something new; none while
  // nothing is awaited.
  [[nodiscard]] std::optional<Duration> retry_interval() const;
  void flush(std::chrono::milliseconds within);
  [[nodiscard]] bool on() const { return keeper_ != nullptr; }
  [[nodiscard]] store::KeeperCounts counts() const;

 private:
  struct Moment {
    clocks::WallTime wall{};
    clocks::BootTime since_boot{};
  };
  void open(const config::Controllers& settings, const Moment& now);
  void read(const std::vector<store::Kept>& records, const Moment& now);
  void hand_over();
  void take_late();
  void resolve(const std::vector<store::Kept>& found);
  bool stands_against(const Store& promise) const;
  [[nodiscard]] bool incarnation_is_durable() const;
  [[nodiscard]] bool vote_is_durable() const;
  const std::string fleet_;
  const std::string owner_;
  const Say say_;
  Incarnation incarnation_ = 1;
  std::optional<recovery::PersistedState> kept_;
  std::vector<members::Update> members_;
  drift::Restored rules_;

  std::map<std::string, Store> pending_;  // promises that the keeper has not taken yet
  bool unread_ = false;                   // there is a store, and what is in it is not known yet
  // Of an unread store: what an earlier life has voted for, approved and taken.
  drift::Vote earlier_;
  Incarnation earlier_incarnation_ = 0;
  Incarnation asked_ = 0;
  std::optional<Time> asked_since_;
  std::uint64_t change_ = 0;  // the keeper's number of what asks for it; 0: not taken yet
  std::optional<drift::Vote> vote_;
  std::uint64_t vote_change_ = 0;  // as above
  std::uint64_t held_change_ = 0;  // of the version that the vote is for; 0 also where it is kept already

  std::mutex late_mutex_;
  std::optional<std::vector<store::Kept>> late_;  // what the keeper's thread has found in an unread store
  std::unique_ptr<store::Keeper> keeper_;         // the first to go
};

}  // namespace reeltack::fleet
