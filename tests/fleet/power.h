// Power loss of a fleet of real processes, step by step, and the conditions that must hold afterwards.
//
// Tests wait for events and never rely on a fixed delay where an event can be awaited. Real-time requirements
// (an urgent call within 1 s, nothing new to an office 250 ms after its end was reported) are printed as
// measured and fail at kSlack beyond the requirement: on a shared machine a process may be stalled that long
// without a fault of its own.
#pragma once

#include <gtest/gtest.h>

#include <limits>

#include "judged.h"
#include "rig.h"

namespace reeltack::rig {

inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline constexpr Duration kSlack = 1s;

// An office carries 62 set-ups per second, a third of that while cold; at twice its rate a cold office falls.
RigSettings power_settings();

class Power {
 public:
  using Trouble = standin::Trouble;
  // Offices, by position; the ids count from 1.
  static constexpr std::size_t kRestarted = 3, kCold = 4, kGone = 5, kReplaced = 6, kDrained = 7;
  static constexpr std::uint32_t kUrgent = 1;  // index among the rig's classes

  explicit Power(RigSettings settings = power_settings());
  ~Power();  // ends the load before the offices and controllers that it runs against
  Power(const Power&) = delete;
  Power& operator=(const Power&) = delete;

  // Starts all controllers and waits until they are in full service and agree, then runs load for a while.
  void warm(std::size_t established = 300);
  // Restarts an office and waits until each controller has received and stored that.
  void restart_listed_office();
  // Changes during the outage: one office restarts cold, one is gone, one is replaced by another at its
  // address, and one is listed as draining but would still answer.
  void change_offices();
  // Kills all controllers at once, silences discovery and changes the offices.
  void lose_power(Duration outage);
  // Starts all controllers that are down, or those in `only`, at the same time.
  void power_returns(const std::set<std::size_t>& only = {});
  // The log of a controller since it returned.
  [[nodiscard]] std::string log_since_return(std::size_t i) {
    return rig.pack().member(i).log().substr(members_[i].log_offset);
  }
  // Waits until each controller that returned, from index `from` on, has logged the text.
  [[nodiscard]] bool all_logged(const std::string& text, Duration limit, std::size_t from = 0);
  // Restores discovery except for the controllers in `without`; waits until each other one that is up has the
  // newest list, and records when it did.
  [[nodiscard]] bool restore_discovery(Duration limit, const std::set<std::size_t>& without = {});
  [[nodiscard]] bool settled(Duration limit);
  // All controllers from index `from` to before `to` report these numbers of offices.
  [[nodiscard]] bool agree(std::int64_t trusted, std::int64_t barred, Duration limit, std::size_t from = 0,
                           std::size_t to = std::numeric_limits<std::size_t>::max()) {
    return rig.until(limit, [&] {
      return rig.all("offices_trusted", trusted, from, to) && rig.all("offices_barred", barred, from, to);
    });
  }
  [[nodiscard]] std::string figures();
  [[nodiscard]] std::string logs(std::size_t lines = 60);  // the last lines of some controllers
  std::unique_ptr<load::Played> end_load();

  // Ends the load and checks: every call was answered exactly once; each controller kept the rules of
  // attempts and sent nothing to the drained office after it received that; no cold office fell; each
  // controller that returned served its first urgent call in time.
  void judge(double min_part, bool offices_changed = true);
  // The same for a run in which no controller was down: nothing reached the drained office later than `limit`
  // after `listed`; Time{}: after the time in the offices' log.
  void judge(Time listed, double min_part, Duration limit);

  Rig rig;
  Time returned{}, ready{};

 private:
  std::unique_ptr<load::Played> judge_load(double min_part);
  void judge_rules(const load::Played& played);
  void judge_urgent(const load::Played& played);
  struct Member {
    std::size_t log_offset = 0;  // end of its log when it was killed
    std::optional<Time> launched, ready, list;
  };
  std::vector<Member> members_;
  bool load_running_ = false;
};

}  // namespace reeltack::rig
