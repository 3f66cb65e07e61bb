// Settings, events and counters of the asynchronous store, and the text form of its events for the log.
// No function here accesses a disk or reads a clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "store/store.h"

namespace reeltack::store {

struct AsyncStoreEvent {
  enum class Kind {
    failed,    // a batch could not be written or no store opened; reported once until the next `written`, and
               // again if the store is then found damaged
    lasting,   // the failure persists; carries the current reason
    written,   // first batch written after a failure
    opened,    // a store that was unavailable at the start, or was damaged, is now open
    hanging,   // a call to the disk has not returned; reported once per call, by the watching thread
    returned,  // that call has returned
    abandoned,  // shutdown while a call has not returned; changes that are not durable are dropped
  } kind = Kind::failed;
  ErrorCode code = ErrorCode::none;  // for failed and lasting
  OpenResult::How how =
      OpenResult::How::opened;  // for opened; after `fresh` and `set_aside` all values are rewritten
  std::string text;             // what failed; for opened: why the old file was set aside
  std::string aside_path;       // for opened after `set_aside`: new path of the old file
  // Time since the first failure; for hanging, returned and abandoned, since the call began.
  std::chrono::milliseconds lasted{0};
  unsigned failures = 0;    // since the first failure
  std::size_t waiting = 0;  // changes that are not durable
};
// The event as one log line of key=value words.
std::string to_text(const AsyncStoreEvent& event);

inline constexpr unsigned kReopenAfter = 2;  // consecutive I/O failures

struct AsyncStoreSettings {
  // Limit on keys and values that are pending or being written. As many bytes again may be retained for
  // rewriting.
  std::size_t max_bytes = std::size_t{4} << 20;
  std::size_t max_keys = 4096;  // limit on changes, in the same way
  std::chrono::milliseconds first_retry{1000};
  std::chrono::milliseconds last_retry{60000};
  // A persistent failure is reported again after this time, then after twice the previous time.
  std::chrono::milliseconds first_reminder{60000};
  std::chrono::milliseconds last_reminder{3600000};
  // A call to the disk that takes longer, by `clock`, is reported as hanging. It is checked every
  // `watch_interval`.
  std::chrono::milliseconds hang_threshold{5000};
  std::chrono::milliseconds watch_interval{1000};
  // The destructor waits this long for the last batch and for closing. If a call has not returned by
  // then, destruction completes without them.
  std::chrono::milliseconds shutdown_timeout{5000};
  std::function<void(const AsyncStoreEvent&)> on_event;  // may be empty
  // Called when a store could only be opened later, with the records found in it, before any of them is
  // overwritten.
  std::function<void(const std::vector<StoredRecord>&)> on_records_found;  // may be empty
  std::function<std::chrono::steady_clock::time_point()> clock = [] {
    return std::chrono::steady_clock::now();
  };
};

struct AsyncStoreCounts {
  std::uint64_t taken = 0;      // accepted puts and erases
  std::uint64_t coalesced = 0;  // accepted changes that replaced a pending one of the same key
  std::uint64_t refused = 0;    // rejected: value or key too large, or over max_bytes or max_keys
  std::uint64_t batches = 0;    // written
  std::uint64_t written = 0;    // changes in them
  std::uint64_t failures = 0;   // batches that could not be written and failed attempts to open
  std::size_t waiting = 0;      // changes pending or being written
  bool failing = false;         // an accepted change cannot be written, or a call hangs
};

}  // namespace reeltack::store
