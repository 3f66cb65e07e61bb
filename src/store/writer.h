// The work of the writing thread: writes the pending changes as one batch and retries after failures.
//
// The lock is not held during calls to the disk, and no callback is invoked after stop() has returned.
//
// Thread safety: run() runs on the writing thread, watch() on the watching one, all others on any.
// `on_event` is called by one thread at a time, `on_records_found` on the writing thread. A call to the
// disk that never returns blocks run() for good: stop() then abandons it, and everything that run()
// still uses must outlive it (see store/async_store.cpp).
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "store/async_store_types.h"
#include "store/change_queue.h"
#include "store/disk_call_monitor.h"
#include "store/failure_reporter.h"

namespace reeltack::store {

class Writer {
 public:
  Writer(StoreSettings store, OpenResult&& opened, AsyncStoreSettings settings);

  void run();  // until stop(); then writes pending changes once more and closes the store
  void watch() { calls_.watch(); }  // until stop()
  // Ends run() and watch(); false if a call to the disk has not returned within `shutdown_timeout`. Call
  // once.
  [[nodiscard]] bool stop();
  // Call after stop() returned false and watch() has returned: run() no longer uses the callbacks.
  void forget_owner();

  std::uint64_t put(const std::string& key, std::optional<std::string> value);
  void remember(const std::string& key, std::string value);
  [[nodiscard]] std::uint64_t durable_up_to() const;
  [[nodiscard]] bool is_durable(const std::string& key, std::uint64_t number) const;
  bool flush(std::chrono::milliseconds within);
  [[nodiscard]] AsyncStoreCounts counts() const;

 private:
  enum class Outcome { done, failed, abandoned };
  bool wait_for_work(std::chrono::milliseconds wait);
  Outcome attempt();
  Outcome open_store();
  Outcome write_batch();
  void on_opened(const OpenResult& opened);
  Outcome on_written(const WriteResult& written, BatchSplit&& parts);
  [[nodiscard]] std::string over_bound() const;
  std::optional<AsyncStoreEvent> failed(ErrorCode code, const std::string& text);
  std::optional<AsyncStoreEvent> recovered();
  void report_event(const std::optional<AsyncStoreEvent>& event);
  [[nodiscard]] AsyncStoreEvent event(AsyncStoreEvent::Kind kind) const;

  const StoreSettings store_settings_;
  AsyncStoreSettings settings_;    // its callbacks are cleared when stop() abandons run()
  std::unique_ptr<Store> store_;   // this and the next four: used by the writing thread only
  bool opened_before_ = false;     // the store has been opened in this run
  bool opening_reported_ = false;  // in the current outage
  unsigned io_failures_ = 0;       // consecutive
  const WriteResult no_store_;     // why the constructor received no store

  mutable std::mutex mutex_;
  std::condition_variable work_, done_, ended_;
  ChangeQueue queue_;
  AsyncStoreCounts counts_;  // except the queue's counters
  bool stopping_ = false;
  bool run_ended_ = false;
  FailureReporter report_;
  DiskCallMonitor calls_;  // its own mutex is acquired after mutex_
};

}  // namespace reeltack::store
