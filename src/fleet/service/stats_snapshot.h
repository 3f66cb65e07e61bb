// The fleet's figures as reported by STATS at the management address.
//
// Holds a copy of what the coordinator shows, so that neither waits for the other.
// Threads: take() by the link's only, the rest by any.
#pragma once

#include <atomic>
#include <string>

#include "fleet/link/link.h"

namespace reeltack::fleet {

class StatsSnapshot {
 public:
  void take(Time now,
            const Coordinator&
                coordinator);  // does nothing within kMinInterval of the last: it visits every office
  // One line per figure, proxy.fleet_NAME=NUMBER. New figures are appended at the end.
  [[nodiscard]] std::string text(const link::LinkFigures& link) const;
  std::atomic<bool> settled{false};  // the first terms have been applied

 private:
  void take_rules(Time now, const drift::Drift& drift);
  static constexpr Duration kMinInterval = std::chrono::milliseconds(50);
  std::atomic<std::uint64_t> stage_{0}, recovering_{0}, opening_{0}, alive_{1}, agreed_{1}, minority_{0},
      trusted_{0}, trial_{0}, barred_{0}, cold_{0}, facts_{0}, fact_bytes_{0}, exchanges_{0},
      exchanges_failed_{0}, refused_{0}, flooded_{0}, over_bound_{0}, incarnation_{0}, health_{1},
      stage_changes_{0}, news_in_{0}, news_out_{0}, news_refused_{0}, list_number_{0}, list_digest_{0},
      list_wins_{0}, rules_epoch_{0}, rules_digest_{0}, rules_in_step_{0}, rules_adopting_{0},
      rules_pending_{0}, rules_drifted_{0}, rules_critical_{0}, rules_unreachable_{0}, rules_conflict_{0};
  // The rules figures visit every member, and the views of members only change in steps of half a second.
  static constexpr Duration kMinRulesInterval = std::chrono::milliseconds(500);
  Time taken_at_{}, rules_at_{};
};

}  // namespace reeltack::fleet
