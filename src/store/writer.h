// What a keeper's writing thread does: it writes what waits as one batch, and tries again where that fails.
//
// Owns: the queue, the store while it runs, the rule by which it tries again, and the reports.
// Must never: hold the lock while the disk is at work, or call its owner after stop() has returned.
//
// Threads: run() on the writing thread, watch() on the watching one; the rest from any. `told` is called by
// one thread at a time, and `found` on the writing one. A call to the disk that never returns keeps run()
// for good: stop() then gives it up, and what run() still uses must outlive it (see store/keeper.cpp).
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "store/change_queue.h"
#include "store/disk_calls.h"
#include "store/failure_report.h"
#include "store/keeper_types.h"

namespace reeltack::store {

class Writer {
 public:
  Writer(StoreSettings store, OpenResult&& opened, AsyncStoreSettings settings);

  void run();  // until stop(): writes what waits, once more at the end, and closes the store
  void watch() { calls_.watch(); }  // until stop()
  // Ends both; false where a call to the disk has not returned within `shutdown_timeout`. Once.
  [[nodiscard]] bool stop();
  // After a stop() that was false, once watch() has returned: run() has no more use for the owner's
  // functions.
  void forget_owner();

  std::uint64_t put(const std::string& key, std::optional<std::string> value);
  void remember(const std::string& key, std::string value);
  [[nodiscard]] std::uint64_t durable_up_to() const;
  [[nodiscard]] bool is_durable(const std::string& key, std::uint64_t number) const;
  bool flush(std::chrono::milliseconds within);
  [[nodiscard]] AsyncStoreCounts counts() const;

 private:
  enum class Outcome { done, failed, given_up };
  bool wait_for_work(std::chrono::milliseconds wait);
  Outcome attempt();
  Outcome open_store();
  Outcome write_batch();
  void after_opening(const OpenResult& opened);
  Outcome after_writing(const WriteResult& written, BatchSplit&& parts);
  [[nodiscard]] std::string over_bound() const;
  std::optional<AsyncStoreEvent> failed(ErrorCode code, const std::string& text);
  std::optional<AsyncStoreEvent> recovered();
  void tell(const std::optional<AsyncStoreEvent>& event);
  [[nodiscard]] AsyncStoreEvent event(AsyncStoreEvent::Kind kind) const;

  const StoreSettings store_settings_;
  AsyncStoreSettings settings_;   // its functions are dropped where stop() gives run() up
  std::unique_ptr<Store> store_;  // the writing thread's alone, as the next four
  bool looked_ = false;           // the store has been opened in this life
  bool opening_told_ = false;     // in this outage
  unsigned io_failures_ = 0;      // in a row
  const WriteResult no_store_;    // why none was given

  mutable std::mutex mutex_;
  std::condition_variable work_, done_, ended_;
  ChangeQueue queue_;
  AsyncStoreCounts counts_;  // but for those of the queue
  bool stopping_ = false;
  bool run_ended_ = false;
  FailureReporter report_;
  DiskCallMonitor calls_;  // its lock is taken after mutex_
};

}  // namespace reeltack::store
