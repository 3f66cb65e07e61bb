// Asynchronous front of the store: takes changes from any thread and writes them on a thread of its
// own.
//
// Writing (store/writer.h) and the supervision of calls to the disk that do not return run on two
// separate threads. put() and erase() hold a lock for work in memory only and never wait for the disk.
// A disk failure never ends the program, and destruction waits for a bounded time. A change is reported
// as durable only after the disk has confirmed it. An accepted change can be lost only at shutdown, if
// the disk refuses it or does not answer.
//
// Thread safety: put, erase, remember, durable_up_to, is_durable, flush and counts may be called from
// any thread. `on_event` and `on_records_found` are called on the threads of the AsyncStore, one call
// at a time and without its lock held. They must not block for long and must not destroy the
// AsyncStore.
//
// Pending changes are written as one batch (group commit). Changes of a batch that would exceed the
// store's limit on records are deferred and the others are written; see docs/design/disks.md. After any
// failure the next attempt follows after `first_retry`, then after twice the previous delay up to
// `last_retry`; a put does not shorten the delay. If there is no store (it was locked, could not be
// opened, or was found damaged while open), an attempt opens it. The store is also reopened after
// kReopenAfter consecutive I/O failures, because after a remount the open file is no longer the file in
// the folder. After reopening, every value that was put or remembered in this process and is not found
// unchanged is written again, in one batch with the pending changes.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "base/base.h"
#include "store/async_store_types.h"
#include "store/store.h"

namespace reeltack::store {

class Writer;

class AsyncStore {
 public:
  // Takes over the store in `opened`. Without one it opens the store itself, the first time after
  // `first_retry`. Throws std::runtime_error if a thread cannot be started.
  AsyncStore(StoreSettings store, OpenResult&& opened, AsyncStoreSettings settings);
  // Writes the pending changes once and closes the store. If a call to the disk has not returned after
  // `shutdown_timeout`, its thread is detached: it invokes no callback any more and ends with the call
  // or with the process.
  ~AsyncStore();
  AsyncStore(const AsyncStore&) = delete;
  AsyncStore& operator=(const AsyncStore&) = delete;

  // Returns the number of the change, or 0 if it was rejected (the previous value remains). Numbers
  // increase. Every change up to durable_up_to() is durable, itself or through a newer change of the
  // same key. durable_up_to() falls to 0 when the store is found damaged, until everything has been
  // written again.
  std::uint64_t put(const std::string& key, std::string value);
  std::uint64_t erase(const std::string& key);
  // Registers a value that the store holds from an earlier run of the process, so that it is written
  // again if the store is lost during this run.
  void remember(const std::string& key, std::string value);
  [[nodiscard]] std::uint64_t durable_up_to() const;
  // Whether this change is durable, even if an earlier change of another key is not.
  [[nodiscard]] bool is_durable(const std::string& key, std::uint64_t number) const;
  // Waits until all changes accepted so far are durable; false on timeout. Meant for the start and the
  // end of the program, never for the core, because it waits for the disk.
  bool flush(std::chrono::milliseconds within);
  [[nodiscard]] AsyncStoreCounts counts() const;

 private:
  void end();
  const std::shared_ptr<Writer> writer_;  // shared with the threads, one of which may outlive this object
  base::Thread writing_, watching_;
};

}  // namespace reeltack::store
