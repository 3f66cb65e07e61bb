// The memory that requests take from their arrival to their answer, bounded and shared among the connections
// on which they came. Requests beyond a connection's share are refused before the core receives them: a peer
// that sends faster than it is answered fills its own share, not the process's memory.
//
// Thread-safe.
#pragma once

#include <mutex>
#include <optional>

#include "core/interfaces.h"
#include "limits/memory_shares.h"

namespace reeltack::core {

class RequestMemory {
 public:
  // Unlimited until then. Must be called before the first request.
  void limit(std::size_t bytes) { shares_.emplace(bytes); }
  // Marks the request as holding its memory. False: there is no room for it. Requests of no connection of
  // their own are always taken: the circuits of a trunk group bound them.
  bool take(Request& request) {
    if (!shares_ || request.source == limits::MemoryShares::Owner{}) return true;
    const std::size_t bytes = kOverheadBytes + kCopies * request.description.size();
    const std::lock_guard hold(lock_);
    if (!shares_->take(request.source, bytes)) return false;
    request.held_bytes = bytes;
    return true;
  }
  void give_back(Request& request) {
    if (request.held_bytes == 0) return;
    const std::lock_guard hold(lock_);
    shares_->give_back(request.source, request.held_bytes);
    request.held_bytes = 0;
  }

 private:
  // A request's entries in the tables of its frontend, the core and the module, with their timers.
  static constexpr std::size_t kOverheadBytes = 2048;
  // Of the description: in the frontend, in the core, and in a set-up that waits for its office.
  static constexpr std::size_t kCopies = 3;
  std::mutex lock_;
  std::optional<limits::MemoryShares> shares_;
};

}  // namespace reeltack::core
