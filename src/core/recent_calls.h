// The ids of calls that have ended lately and may have had an effect, for longer than their records are kept:
// a request under such an id must not run a second time. Bounded: the oldest ids go first.
//
// Reads no clock; used by the core's thread only.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_set>
#include <utility>

#include "reeltack/controller.h"

namespace reeltack::core {

class RecentCalls {
 public:
  // `until` must not be earlier than those added before.
  void add(CallId call, Time until) {
    if (!ids_.insert(call).second) return;
    by_time_.emplace_back(until, call);
    if (by_time_.size() > kMaxIds) drop_first();
  }
  [[nodiscard]] bool contains(CallId call, Time now) {
    while (!by_time_.empty() && by_time_.front().first <= now) drop_first();
    return ids_.contains(call);
  }

 private:
  static constexpr std::size_t kMaxIds = 32768;  // some 2 MB
  void drop_first() {
    ids_.erase(by_time_.front().second);
    by_time_.pop_front();
  }
  std::unordered_set<CallId> ids_;
  std::deque<std::pair<Time, CallId>> by_time_;
};

}  // namespace reeltack::core
