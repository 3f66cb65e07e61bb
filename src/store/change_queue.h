// Bounded queue of changes that have been accepted and are not yet in the store; the latest value of a
// key wins.
//
// Besides the pending changes and the batch in flight (taken and not finished), the queue retains the
// latest value of each key of this run, so that everything can be rewritten when the store is lost. It
// does no I/O and reads no clock. A change counts as durable only after finish_batch() has confirmed
// it.
//
// Not thread-safe; the Writer's lock protects it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "store/store.h"

namespace reeltack::store {

struct QueueCounts {
  std::uint64_t taken = 0, coalesced = 0, refused = 0;
};

class ChangeQueue {
 public:
  ChangeQueue(std::size_t max_bytes, std::size_t max_keys) : max_bytes_(max_bytes), max_keys_(max_keys) {}

  // Returns the number of the change, increasing from 1; 0 if it is rejected.
  std::uint64_t put(const std::string& key, std::optional<std::string> value);
  // Registers a value that is already in the store, to be rewritten if the store is lost.
  void remember(const std::string& key, std::string value);

  // Takes all pending changes, ordered by the last change of each key. They are in flight until
  // finish_batch().
  std::vector<Change> take_pending();
  // Completes the batch in flight. The changes in `deferred` were not written and become pending again,
  // unless a newer value of their key is pending.
  void finish_batch(std::vector<Change>&& deferred);
  // The store is damaged: nothing counts as durable until a finish_batch() of which something was written.
  void mark_lost();
  // Makes pending again each retained value that is not found unchanged in the records of a reopened store.
  void restore(const std::vector<StoredRecord>& found, const std::string& fleet, const std::string& owner);

  // All changes up to this number are durable.
  [[nodiscard]] std::uint64_t durable_up_to() const { return durable_up_to_; }
  // Whether this change is durable, or a newer one of the same key.
  [[nodiscard]] bool is_durable(const std::string& key, std::uint64_t number) const;
  [[nodiscard]] std::uint64_t last_number() const { return number_; }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size() + in_flight_.size(); }
  // Whether something was put since the last batch was taken.
  [[nodiscard]] bool has_new() const { return has_new_; }
  [[nodiscard]] const QueueCounts& counts() const { return counts_; }

 private:
  struct Waiting {
    std::optional<std::string> value;
    std::uint64_t first = 0;  // the earliest number of this key that is not durable
    std::uint64_t last = 0;   // number of the value itself
  };
  struct InFlight {
    std::size_t bytes = 0;
    std::uint64_t first = 0, last = 0;
  };
  using Values = std::map<std::string, std::optional<std::string>>;
  static std::size_t size(const std::string& key, const std::optional<std::string>& value) {
    return key.size() + (value ? value->size() : 0);
  }
  [[nodiscard]] bool fits(const std::string& key, const std::optional<std::string>& value) const;
  void retain_latest(const std::string& key, const std::optional<std::string>& value);
  void requeue(Change&& change, const InFlight& previous);

  const std::size_t max_bytes_, max_keys_;
  std::map<std::string, Waiting> waiting_;
  std::map<std::string, InFlight> in_flight_;
  // The latest value of each key that was put or remembered; no value if the key was erased.
  Values latest_values_;
  std::size_t bytes_ = 0;  // total size of waiting_ and in_flight_
  std::size_t latest_bytes_ = 0;
  std::uint64_t number_ = 0;  // of the last accepted change
  std::uint64_t durable_up_to_ = 0;
  bool lost_ = false;
  bool has_new_ = false;
  QueueCounts counts_;
};

}  // namespace reeltack::store
