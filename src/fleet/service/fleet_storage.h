// The fleet's persistent state: opens the store, reads what an earlier run of this controller stored, and
// writes what has to survive a restart.
//
// Some records are promises to other members: the own vote, the version that it is for, the approved version
// and the own incarnation. They are held here until the store has accepted them. A vote is reported as
// durable only once it is, and a promise never overwrites one of an earlier run that has not been read yet.
// The fleet does not wait for a disk: after kMaxDurabilityWait an incarnation is used although it is not
// durable, and that is logged.
//
// The age of a record is used only where it can be proven. Across a reboot of the machine only the wall clock
// gives it; a time in the future or a record of another owner's disk gives none.
//
// Threads: the constructor and flush() are called by the program's main thread, before and after the link's
// thread runs; everything else by the link's thread.
//
// Errors: the constructor throws std::runtime_error if another process holds the store.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "config/controllers.h"
#include "store/async_store.h"

namespace reeltack::fleet {

// How long an own incarnation waits to become durable. Longer would be unsafe: a member that does not answer
// is declared dead.
inline constexpr Duration kMaxDurabilityWait = std::chrono::seconds(1);

class FleetStorage {
 public:
  using LogEvent = std::function<void(const std::string& event, const std::string& text)>;
  FleetStorage(const config::Controllers& settings, const std::string& owner, LogEvent log_event);

  // The incarnation of this run; the constructor has passed it to the store.
  [[nodiscard]] Incarnation incarnation() const { return incarnation_; }
  [[nodiscard]] const std::optional<recovery::PersistedState>& persisted_state() const {
    return persisted_state_;
  }
  [[nodiscard]] const std::vector<members::Update>& known_members() const { return known_members_; }
  // Without a vote if the disk was copied from another controller of the fleet, because the vote on it is
  // that controller's; the approved version on it counts.
  [[nodiscard]] const drift::RecordsRestored& rules() const { return rules_; }

  void put(const Store& what);
  // Returns the vote passed to put() once it is durable, and only once. Never returns one without a store.
  [[nodiscard]] std::optional<drift::Vote> take_durable_vote();
  // Returns the incarnation passed to put() once it is durable or kMaxDurabilityWait has passed, and only
  // once.
  [[nodiscard]] std::optional<Incarnation> take_durable_incarnation(Time now);
  // After how long take_durable_vote() and take_durable_incarnation() should be called again; empty while
  // nothing is pending.
  [[nodiscard]] std::optional<Duration> retry_interval() const;
  void flush(std::chrono::milliseconds within);
  [[nodiscard]] bool has_store() const { return store_ != nullptr; }
  [[nodiscard]] store::AsyncStoreCounts counts() const;

 private:
  struct Moment {
    clocks::WallTime wall{};
    clocks::BootTime since_boot{};
  };
  void open(const config::Controllers& settings, const Moment& now);
  void read(const std::vector<store::StoredRecord>& records, const Moment& now);
  void write_pending();
  void read_late_records();
  void apply_earlier_promises(const std::vector<store::StoredRecord>& found);
  bool is_superseded(const Store& promise) const;
  [[nodiscard]] bool incarnation_is_durable() const;
  [[nodiscard]] bool vote_is_durable() const;
  const std::string fleet_;
  const std::string owner_;
  const LogEvent log_event_;
  Incarnation incarnation_ = 1;
  std::optional<recovery::PersistedState> persisted_state_;
  std::vector<members::Update> known_members_;
  drift::RecordsRestored rules_;

  std::map<std::string, Store> pending_;  // promises that the store has not accepted yet
  bool store_unread_ = false;             // there is a store and its contents have not been read yet
  // Of a store that could only be read late: the vote, approved version and incarnation of an earlier run.
  drift::Vote earlier_promises_;
  Incarnation earlier_incarnation_ = 0;
  Incarnation requested_incarnation_ = 0;
  std::optional<Time> requested_since_;
  std::uint64_t incarnation_change_ = 0;  // the store's number of the change; 0: not accepted yet
  std::optional<drift::Vote> pending_vote_;
  std::uint64_t vote_change_ = 0;  // likewise
  std::uint64_t held_change_ = 0;  // of the version that the vote is for; 0 also if it is stored already

  std::mutex late_records_mutex_;
  // Contents of the unread store, found by the store's thread.
  std::optional<std::vector<store::StoredRecord>> late_records_;
  std::unique_ptr<store::AsyncStore> store_;  // destroyed first: its thread uses the members above
};

}  // namespace reeltack::fleet
