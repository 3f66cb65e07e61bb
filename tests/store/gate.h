// A barrier before the calls to the disk: while it is closed a call stays in it, as on a disk that hangs.
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
    met_ = false;
  }
  void open() {
    const std::lock_guard lock(mutex_);
    closed_ = false;
    changed_.notify_all();
  }
  // For the one who calls the disk.
  void pass() {
    std::unique_lock lock(mutex_);
    if (!closed_) return;
    met_ = true;
    changed_.notify_all();
    changed_.wait(lock, [this] { return !closed_; });
  }
  // Waits until a call stands in the closed gate; false where none comes.
  [[nodiscard]] bool is_met() {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(30), [this] { return met_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool closed_ = false;
  bool met_ = false;
};

}  // namespace reeltack::store
