// What a keeper reports, how it is set up, and its counts.
//
// Owns: the events with their form as a line of the log. Must never: touch a disk, or read a clock by itself.
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
    failed,    // a batch could not be written, or no store be opened; told once until the next `written`, and
               // again where the store is then found damaged
    lasting,   // it still cannot, with the reason of now
    written,   // the first batch after a failure
    opened,    // a store that was not to be had at the start, or was damaged, is open now
    hanging,   // a call to the disk has not returned; told once a call, from the watching thread
    returned,  // that call has returned
    abandoned,  // the keeper ends while a call has not returned; what is not durable is given up
  } kind = Kind::failed;
  ErrorCode code = ErrorCode::none;  // for failed and lasting
  OpenResult::How how =
      OpenResult::How::opened;  // for opened: after `fresh` and `set_aside` all is written again
  std::string text;             // what failed; for opened: why it was set aside
  std::string aside_path;       // for opened after `set_aside`: the file's new name
  // Since the first failure; for hanging, returned and abandoned since the call began.
  std::chrono::milliseconds lasted{0};
  unsigned failures = 0;    // since the first failure
  std::size_t waiting = 0;  // changes that are not durable
};
// One line for a log: what is the case, since when and why, as key=value words.
std::string to_text(const AsyncStoreEvent& event);

inline constexpr unsigned kReopenAfter = 2;

struct AsyncStoreSettings {
  // Keys and values waiting or being written; so many more are held to be written again.
  std::size_t max_bytes = std::size_t{4} << 20;
  std::size_t max_keys = 4096;  // as above
  std::chrono::milliseconds first_retry{1000};
  std::chrono::milliseconds last_retry{60000};
  // A failure that lasts is told again after this long, then after twice as long each time.
  std::chrono::milliseconds first_reminder{60000};
  std::chrono::milliseconds last_reminder{3600000};
  // A call to the disk that lasts longer, by `clock`, is reported as hanging; looked at each
  // `watch_interval`.
  std::chrono::milliseconds hang_threshold{5000};
  std::chrono::milliseconds watch_interval{1000};
  // The destructor waits so long for the last batch and the closing; then it ends without them where a call
  // has not returned.
  std::chrono::milliseconds shutdown_timeout{5000};
  std::function<void(const AsyncStoreEvent&)> on_event;  // may be empty
  // Where no store was given and one could be opened later: what is in it, before anything is written over
  // it.
  std::function<void(const std::vector<StoredRecord>&)> on_records_found;  // may be empty
  std::function<std::chrono::steady_clock::time_point()> clock = [] {
    return std::chrono::steady_clock::now();
  };
};

struct AsyncStoreCounts {
  std::uint64_t taken = 0;      // puts and erases taken
  std::uint64_t coalesced = 0;  // of them, those that took the place of one that was waiting
  std::uint64_t refused = 0;    // by size, bytes or keys
  std::uint64_t batches = 0;    // written
  std::uint64_t written = 0;    // changes in them
  std::uint64_t failures = 0;   // batches or openings that failed
  std::size_t waiting = 0;      // changes now, with those being written
  bool failing = false;         // something that was taken cannot be written, or a call hangs
};

}  // namespace reeltack::store
