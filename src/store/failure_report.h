// Which failures of a keeper's disk are reported, and as what.
//
// Owns: the outage that is on, and its last reason. Must never: read a clock (times are passed in).
// Threads: one at a time; the keeper's lock sees to it.
#pragma once

#include <chrono>
#include <optional>

#include "base/outage.h"
#include "store/keeper_types.h"

namespace reeltack::store {

class FailureReporter {
 public:
  using Time = base::Outage::Time;
  FailureReporter(std::chrono::milliseconds first_reminder, std::chrono::milliseconds last_reminder)
      : outage_(first_reminder, last_reminder) {}

  // As what this failure is reported: the first, a reminder, or damage that was not known of; or not at all.
  std::optional<AsyncStoreEvent::Kind> failed(ErrorCode code, Time now) {
    const base::Outage::Report report = outage_.failed(now);
    const bool found_damaged = code == ErrorCode::damaged && last_code_ != ErrorCode::damaged;
    last_code_ = code;
    if (report == base::Outage::Report::begun || found_damaged) return AsyncStoreEvent::Kind::failed;
    if (report == base::Outage::Report::lasting) return AsyncStoreEvent::Kind::lasting;
    return std::nullopt;
  }
  void ended() {
    last_code_ = ErrorCode::none;
    outage_.ended();
  }
  [[nodiscard]] bool on() const { return outage_.on(); }
  // The event with the outage's duration and failures.
  [[nodiscard]] AsyncStoreEvent event(AsyncStoreEvent::Kind kind, Time now) const {
    AsyncStoreEvent out;
    out.kind = kind;
    out.lasted = std::chrono::duration_cast<std::chrono::milliseconds>(outage_.lasted(now));
    out.failures = outage_.failures();
    return out;
  }

 private:
  base::Outage outage_;
  ErrorCode last_code_ = ErrorCode::none;
};

}  // namespace reeltack::store
