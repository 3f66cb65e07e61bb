// A barrier before the calls to the disk: while it is closed, a call blocks in it as on a disk that
// hangs.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace reeltack::store {

class Gate {
 public:
  ~Gate() { open(); }
  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    blocked_ = false;
  }
  void open() {
    const std::lock_guard lock(mutex_);
    closed_ = false;
    changed_.notify_all();
  }
  // Called on the thread that makes the disk call.
  void pass() {
    std::unique_lock lock(mutex_);
    if (!closed_) return;
    blocked_ = true;
    changed_.notify_all();
    changed_.wait(lock, [this] { return !closed_; });
  }
  // Waits until a call blocks in the closed gate; false on timeout.
  [[nodiscard]] bool wait_until_blocked() {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(30), [this] { return blocked_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool closed_ = false;
  bool blocked_ = false;
};

}  // namespace reeltack::store
