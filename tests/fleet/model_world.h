// The world of the model check as one copyable value: three controllers' Recovery objects, two offices and
// the facts in flight.
//
// Office 0 has restarted and is cold; office 1 has ended (gone, or draining). Time advances in steps: 100 ms
// while a controller has just started, otherwise 1 s; within a step each recovery runs at its next(). A step
// without deviations starts the controllers that are due, delivers memberships, lists and all facts, and lets
// calls arrive. A deviation is one choice that differs from that (model_test.cpp limits their number).
//
// Reads no clock, draws nothing at random and decides nothing that Recovery decides. check() throws
// std::logic_error where an invariant is broken.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {

inline constexpr std::size_t kControllers = 3;

// Faults injected into the world, not the product, that the checker has to find.
struct ModelFaults {
  bool visible_size = false;          // the visible members are reported and stored as the fleet's size
  bool stored_over_reported = false;  // the stored list takes precedence over another member's report
};
// dark: all three lose power. survivor: the first does not. quiet: none does. growing: the third is new, and
// the operator's file gives the planned size of the fleet. unplanned: the same without a planned size.
enum class Beginning : std::uint8_t { dark, survivor, quiet, growing, unplanned };
enum class Deviation : std::uint8_t {
  none,
  restart_own,    // a: crashes and restarts at once from its own store
  restart_old,    // a: from a store of before office 1 ended
  restart_blank,  // a: from an empty store
  down,           // a: crashes, and restarts 2 s later from its own store
  partition,      // a from the others, detected 1 s later
  heal,
  lose,       // the facts in flight from a to b
  delay,      // the facts in flight from a to b, for this step
  delay_all,  // the same for all pairs
  late,       // a learns of members and lists 3 s later
  silent,     // a does not reach the source of its list for 3 s
  long_step,  // 1 s even if a controller has just started
};
struct Move {
  Deviation kind = Deviation::none;
  std::size_t a = 0, b = 0;
};
std::string text(const Move& move);

class ModelWorld {
 public:
  ModelWorld(Beginning beginning, ModelFaults faults);
  [[nodiscard]] std::vector<Move> moves() const;  // the deviations that are possible now
  void step(const Move& move);
  void check() const;
  // Without further deviations, healed and with all facts delivered: all are full within `limit`.
  [[nodiscard]] bool recovers(Duration limit) const;
  [[nodiscard]] std::uint64_t fingerprint() const;
  [[nodiscard]] std::uint64_t accepted() const { return accepted_; }
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  using Timed = std::pair<std::string, Time>;
  using Store = std::map<std::string, Timed>;
  struct Controller {
    std::optional<Recovery> recovery;  // none: the controller is down
    Incarnation incarnation = 1;
    Store store, old_store;
    std::map<facts::Key, Timed> facts;                       // its own, as published
    std::array<std::set<facts::Key>, kControllers> pending;  // not yet delivered to that controller
    std::array<std::set<facts::Key>, kControllers> delivered;
    std::optional<Terms> terms;
    Time started{}, start_at = Time::max(), list_at{}, late_until = Time::min();
    MembersChanged members;
    std::uint64_t list = 0;  // number of the last list received from its live source
    bool knows_end = false;  // a live list, its own or another's, has reported that office 1 ended
    bool stored_up = false;  // its store has office 1 as not ended
    bool alone = false;      // has never known of another member, not even from its store
  };
  [[nodiscard]] bool linked(std::size_t a, std::size_t b) const;
  void settle(std::size_t size);
  void apply(const Move& move);
  void advance(Duration span);
  // model_controllers.cpp
  void deliver(std::size_t i, const Event& event);
  void apply_actions(std::size_t i, const Actions& actions);
  void start(std::size_t i);
  void kill(std::size_t i);
  void update_members(std::size_t i);
  void update_list(std::size_t i);
  void transfer(std::size_t from, std::size_t to);
  void serve(std::size_t i);

  RecoverySettings settings_;
  ModelFaults faults_;
  std::array<Controller, kControllers> controllers_;
  Time now_ = Time{} + std::chrono::hours(1);
  std::uint64_t list_ = 1;                       // number of the newest list
  OfficeState ended_state_ = OfficeState::gone;  // of office 1
  std::size_t isolated_ = kControllers;          // the partitioned controller; kControllers: none
  bool was_partitioned_ = false;
  std::uint64_t accepted_ = 0, refused_ = 0, answered_ = 0;
};

}  // namespace reeltack::fleet::recovery
