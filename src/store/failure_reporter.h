// Decides which disk failures are reported, and as which kind of event. Reads no clock: times are
// passed in. Not thread-safe; the Writer's lock protects it.
#pragma once

#include <chrono>
#include <optional>

#include "base/outage.h"
#include "store/async_store_types.h"

namespace reeltack::store {

class FailureReporter {
 public:
  using Time = base::Outage::Time;
  FailureReporter(std::chrono::milliseconds first_reminder, std::chrono::milliseconds last_reminder)
      : outage_(first_reminder, last_reminder) {}

  // The kind of event that reports this failure: the first of an outage, a reminder, or damage that was
  // not known before. Empty if it is not to be reported.
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
  // An event with the duration and the number of failures of the current outage.
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
