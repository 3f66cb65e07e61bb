// What the fleet keeps: opens the store, reads what was kept, and hands on what is to last.
//
// Owns: the keeper, what the store held at the start, and how old it is by the wall clock.
// Must never: trust an age that the clock cannot prove: one in the future, or of another owner's disk, is
// none.
//
// Threads: the constructor and flush() by the program's own, before and after the link's; the rest by the
// link's. Errors: the constructor throws std::runtime_error where another process has the store.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "config/controllers.h"
#include "store/keeper.h"

namespace reeltack::fleet {

class Keeping {
 public:
  using Say = std::function<void(const std::string& event, const std::string& text)>;
  Keeping(const config::Controllers& settings, const std::string& owner, Say say);

  [[nodiscard]] Incarnation incarnation() const { return incarnation_; }  // of this start; kept already
  [[nodiscard]] const std::optional<recovery::Kept>& kept() const { return kept_; }
  [[nodiscard]] const std::vector<members::Update>& remembered() const { return members_; }
  // Of this controller's own disk; a copied one has another's vote.
  [[nodiscard]] const drift::Restored& rules() const { return rules_; }

  void put(const Store& what);
  // Votes asked for by put() and durable now, once each. Never where there is no store.
  [[nodiscard]] std::optional<drift::Vote> vote_lasts();
  // Incarnations asked for by put() and durable now, once each.
  [[nodiscard]] std::optional<Incarnation> became_durable();
  [[nodiscard]] bool waits() const { return asked_ != 0 || (vote_ && keeper_); }
  void flush(std::chrono::milliseconds within);
  [[nodiscard]] bool on() const { return keeper_ != nullptr; }
  [[nodiscard]] store::KeeperCounts counts() const;

 private:
  void read(const std::vector<store::Kept>& records, clocks::WallTime wall);
  const std::string fleet_;
  const std::string owner_;
  const Say say_;
  Incarnation incarnation_ = 1;
  std::optional<recovery::Kept> kept_;
  std::vector<members::Update> members_;
  std::unique_ptr<store::Keeper> keeper_;
  Incarnation asked_ = 0;
  std::uint64_t change_ = 0;  // the keeper's number of what asks for it
  drift::Restored rules_;
  std::optional<drift::Vote> vote_;
  std::uint64_t vote_change_ = 0;
};

}  // namespace reeltack::fleet
