// The keeper: takes what is to last from the one who decides, and has one thread write it.
//
// Owns: the threads: one writes (store/writer.h), one watches that the calls to the disk return.
// Must never: have a caller wait for the disk (put and erase hold a lock for memory work only), end the
//   program over a disk, keep its end waiting for one without bound, report a change as kept that the disk
//   has not confirmed, or lose a change that it took, but for the last ones of an end on a disk that refuses
//   or does not answer.
//
// Threads: put, erase, remember, kept, is_durable, counts from any; `told` and `found` are called on the
// keeper's own, one at a time and without its lock held, and must not block for long nor destroy the keeper.
// Waiting changes go out together as one batch: a group commit. What of a batch is beyond the store's bound
// on records is left over, and the rest of it is written: see docs/design/disks.md. After a failure,
// whatever it was, it tries again after `first_retry`, then twice as long each time up to `last_retry`; a
// put does not shorten that. Where there is no store (refused, failed, or found damaged while it ran) trying
// again means opening it; so it does after kReopenAfter failures of input or output in a row, for a file of a
// folder that was mounted anew is not the one that is open. What has been put since is written over what is
// found then; every value that was put or remembered in this life and is not found as it was is written
// again, in one batch with what waits.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "base/base.h"
#include "store/keeper_types.h"
#include "store/store.h"

namespace reeltack::store {

class Writer;

class AsyncStore {
 public:
  // Takes the store that open() gave, or none: then it opens one itself, the first time after `first_retry`.
  // Throws std::runtime_error where no thread can be had.
  AsyncStore(StoreSettings store, OpenResult&& opened, AsyncStoreSettings settings);
  // Writes what waits, once, and closes the store. Where a call to the disk has not returned by
  // `shutdown_timeout` it is left to itself: its thread goes on alone, calls nobody, and ends with the call
  // or the process.
  ~AsyncStore();
  AsyncStore(const AsyncStore&) = delete;
  AsyncStore& operator=(const AsyncStore&) = delete;

  // The number of the change, or 0 where it was refused (and the former value stays). Numbers rise; each
  // change up to kept() is durable, itself or by a newer one of its key. kept() falls where the store is
  // found damaged, until all is written again.
  std::uint64_t put(const std::string& key, std::string value);
  std::uint64_t erase(const std::string& key);
  // A value that the store holds since an earlier life, to be written again where it is lost in this one.
  void remember(const std::string& key, std::string value);
  [[nodiscard]] std::uint64_t durable_up_to() const;
  // Whether one change is durable, also where an earlier one of another key is not.
  [[nodiscard]] bool is_durable(const std::string& key, std::uint64_t number) const;
  // Waits until all that was taken before is durable; false where it is not by then. For the start and the
  // end of the program, never for the core.
  bool flush(std::chrono::milliseconds within);
  [[nodiscard]] AsyncStoreCounts counts() const;

 private:
  void end();
  const std::shared_ptr<Writer> writer_;  // shared with the threads: one of them may outlive this
  base::Thread writing_, watching_;
};

}  // namespace reeltack::store
