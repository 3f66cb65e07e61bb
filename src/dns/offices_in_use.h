// The core's answer to which offices are in use, handed from its thread to the asking one.
//
// Outlives either side. Thread-safe.
#pragma once

#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include "reeltack/events.h"

namespace reeltack::dns {

class OfficesInUse {
 public:
  void give(std::set<ServerId> offices) {
    const std::lock_guard hold(lock_);
    offices_ = std::move(offices);
  }
  // Nothing: the answer has not come yet.
  std::optional<std::set<ServerId>> take() {
    const std::lock_guard hold(lock_);
    return std::exchange(offices_, std::nullopt);
  }

 private:
  std::mutex lock_;
  std::optional<std::set<ServerId>> offices_;
};

}  // namespace reeltack::dns
