// Implementation of CoreQueue.
#include "fleet/link/core_queue.h"

namespace reeltack::fleet::link {

bool CoreQueue::push(recovery::Event event) {
  const std::lock_guard lock(mutex_);
  if (queue_.size() < max_size_)
    queue_.push_back(std::move(event));
  else
    ++dropped_;
  if (wake_pending_ || queue_.empty()) return false;
  wake_pending_ = true;
  return true;
}

std::vector<recovery::Event> CoreQueue::take() {
  std::vector<recovery::Event> out;
  const std::lock_guard lock(mutex_);
  out.swap(queue_);
  wake_pending_ = false;
  return out;
}

std::uint64_t CoreQueue::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace reeltack::fleet::link
