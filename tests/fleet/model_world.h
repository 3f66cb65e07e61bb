// Three controllers' recoveries, two offices and what lies between, as one value that can be copied: the
// world of the model check.
//
// Office 0 has started anew and is cold; office 1 is over (gone, or draining). Time goes in steps: 100 ms
// while somebody has just started, else 1 s; within a step each recovery is asked at its next(). A step
// without deviations starts who is due, tells members and lists, brings every fact, lets calls arrive. A
// deviation is one choice that differs from that (model_test.cpp bounds how many).
//
// Owns: controllers, stores, facts on their way, the truth. Must never: read a clock, draw by chance, decide
// what recovery decides. check() throws std::logic_error where an invariant is broken.
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

// Of the world, not of the product: what the checker has to find.
struct ModelFaults {
  bool visible_size = false;    // who is visible is told as the size of the fleet, and kept as such
  bool kept_over_word = false;  // a list of the own store is taken over another's word
};
// dark: all three lose power. survivor: the first does not. quiet: none does. growing: the third is new, and
// the operator's file says how large the fleet is planned. unplanned: it does not.
enum class Beginning : std::uint8_t { dark, survivor, quiet, growing, unplanned };
enum class Deviation : std::uint8_t {
  none,
  restart_own,    // a: dies and starts at once from its own store
  restart_old,    // a: from a store of before the office was over
  restart_blank,  // a: from none
  down,           // a: dies, and starts 2 s later from its own store
  cut,            // a from the others, noticed 1 s later
  heal,
  lose,       // the facts on their way from a to b
  delay,      // the facts on their way from a to b stay there for this step
  delay_all,  // of all pairs
  late,       // a hears of members and lists 3 s later
  silent,     // the list's source of a is not reached for 3 s
  long_step,  // 1 s whatever has just started
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
  // Left alone, healed and told everything: all are full within `most`.
  [[nodiscard]] bool recovers(Duration most) const;
  [[nodiscard]] std::uint64_t fingerprint() const;
  [[nodiscard]] std::uint64_t taken() const { return taken_; }
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  using Timed = std::pair<std::string, Time>;
  using Store = std::map<std::string, Timed>;
  struct Controller {
    std::optional<Recovery> recovery;  // none: down
    Incarnation incarnation = 1;
    Store store, old;
    std::map<facts::Key, Timed> facts;                       // of its own, as published
    std::array<std::set<facts::Key>, kControllers> pending;  // not yet brought to that one
    std::array<std::set<facts::Key>, kControllers> brought;
    std::optional<Terms> terms;
    Time started{}, start_at = Time::max(), list_at{}, late_until = Time::min();
    MembersChanged members;
    std::uint64_t list = 0;   // number of the list that it has heard from its live source
    bool heard_over = false;  // from a live list, its own or another's, that office 1 is over
    bool kept_ready = false;  // its store named office 1
    bool alone = false;       // has never, by its store either, been told of anybody
  };
  [[nodiscard]] bool linked(std::size_t a, std::size_t b) const;
  void settle(std::size_t size);
  void apply(const Move& move);
  void pass(Duration span);
  // model_controllers.cpp
  void give(std::size_t i, const Event& event);
  void done(std::size_t i, const Actions& actions);
  void start(std::size_t i);
  void kill(std::size_t i);
  void tell_members(std::size_t i);
  void tell_list(std::size_t i);
  void bring(std::size_t from, std::size_t to);
  void serve(std::size_t i);

  RecoverySettings settings_;
  ModelFaults faults_;
  std::array<Controller, kControllers> controllers_;
  Time now_ = Time{} + std::chrono::hours(1);
  std::uint64_t list_ = 1;  // number of the newest list
  OfficeState over_ = OfficeState::gone;
  std::size_t apart_ = kControllers;  // cut off; none: whole
  bool was_cut_ = false;
  std::uint64_t taken_ = 0, refused_ = 0, answered_ = 0;
};

}  // namespace reeltack::fleet::recovery
