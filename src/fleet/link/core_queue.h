// A bounded queue that carries events from the core to the link's thread.
//
// The lock is held only while one event is inserted or the complete queue is swapped out, so that the core
// never waits for the link. It carries lists and other rare events; outcomes of attempts are counted without
// a lock instead (fleet/service/counters.h). Thread-safe.
#pragma once

#include <cstddef>
#include <mutex>
#include <vector>

#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::link {

class CoreQueue {
 public:
  explicit CoreQueue(std::size_t max_size) : max_size_(max_size) {}
  // Returns true if the consumer has to be woken: once until the next take(). Drops and counts the event if
  // the queue is full.
  [[nodiscard]] bool push(recovery::Event event);
  [[nodiscard]] std::vector<recovery::Event> take();
  [[nodiscard]] std::uint64_t dropped() const;

 private:
  const std::size_t max_size_;
  mutable std::mutex mutex_;
  std::vector<recovery::Event> queue_;
  bool wake_pending_ = false;
  std::uint64_t dropped_ = 0;
};

}  // namespace reeltack::fleet::link
