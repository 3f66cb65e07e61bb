// How much of what the servers can take each of the callers' connections asks for, and by how much that
// exceeds its fair share. This layer counts; it refuses, queues and sends nothing.
#pragma once

#include <utility>

#include "policy/final_answers.h"

namespace reeltack::policy {

// A connection may ask for this multiple of an equal share before its calls lose priority. Callers are
// uneven, and each asks for more than it gets while all servers are overloaded.
constexpr double kFairShares = 4.0;
// A connection with fewer recent tries than this is never over its share: a few calls are no measure.
constexpr double kFewTries = 10.0;
// A connection with less than this left of its decayed count of tries no longer asks.
constexpr double kIdleTries = 0.05;

// A connection that asks for servers.
struct Demand {
  Rate tries;               // each counts for about the shortest aim
  std::size_t lowered = 0;  // levels by which its waiting calls are lowered
};

struct FairShare : FinalAnswers {
  // EXCEPTION (a connection that floods): counts a try of this connection and returns by which factor the
  // connection asks for more than kFairShares equal shares, at least 1. The shares are of the rate that the
  // servers can answer, among the connections that ask: a connection alone has all of it.
  double count_try(CallerConnection connection) {
    if (connection == CallerConnection{}) return 1.0;
    forget_idle_connections();
    Rate& tries = asking_[connection].tries;
    tries = {decayed_tries(tries) + 1.0, now_};
    if (asking_.size() < 2) return 1.0;
    const double equal_share =
        answerable_per_second_ * seconds(shortest_aim_) / static_cast<double>(asking_.size());
    return std::max(tries.count / std::max(kFairShares * equal_share, kFewTries), 1.0);
  }

  // The worth of a call is divided by the factor by which its connection asks for more than it may.
  [[nodiscard]] static std::size_t levels_lowered(double over_share) {
    return static_cast<std::size_t>(
        std::min(std::floor(std::log2(over_share) + 0.5), static_cast<double>(kMaxShareLevels)));
  }

  // True: the connection's excess has grown by a level since its waiting calls were last ranked.
  bool excess_has_grown(CallerConnection connection, double over_share) {
    const auto found = asking_.find(connection);
    if (found == asking_.end()) return false;
    return std::exchange(found->second.lowered, levels_lowered(over_share)) < levels_lowered(over_share);
  }

 private:
  [[nodiscard]] double decayed_tries(const Rate& tries) const {
    return tries.count *
           std::exp(-seconds(now_ - tries.updated_at) / std::max(seconds(shortest_aim_), 1.0e-9));
  }
  void forget_idle_connections() {
    if (now_ < idle_forgotten_at_ + shortest_aim_) return;
    idle_forgotten_at_ = now_;
    std::erase_if(asking_,
                  [this](const auto& entry) { return decayed_tries(entry.second.tries) < kIdleTries; });
  }

  std::unordered_map<CallerConnection, Demand> asking_;
  Time idle_forgotten_at_{};
};

}  // namespace reeltack::policy
