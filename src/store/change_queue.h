// The changes that a keeper has taken and its store does not have yet, bounded; the latest value of a key
// wins.
//
// Owns: what waits, what is in hand (a batch given out and not settled), the number of each change, and the
//   latest value of each key of this life, to be written again where a store is lost.
// Must never: touch a disk, read a clock, or call a change durable that settle() was not told of.
//
// Threads: one at a time; the keeper's lock sees to it.
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
  ChangeQueue(std::size_t max_bytes, std::size_t max_keys) : most_bytes_(max_bytes), most_keys_(max_keys) {}

  // The change's number, from 1 on and rising; 0 where it is refused.
  std::uint64_t put(const std::string& key, std::optional<std::string> value);
  // A value that the store has; held to be written again.
  void remember(const std::string& key, std::string value);

  // All that waits, in the order of the last change of each key. It is in hand until settle().
  std::vector<Change> take_batch();
  // What became of the batch: `left` of it is not in the store and waits again, but where a newer value does.
  void settle(std::vector<Change>&& left);
  // The store is damaged: nothing counts as durable until the next settle() of which something was written.
  void lose();
  // Has what is held and not found as it was wait again.
  void restore(const std::vector<StoredRecord>& found, const std::string& fleet, const std::string& owner);

  // All changes up to this number are durable.
  [[nodiscard]] std::uint64_t durable_up_to() const { return durable_up_to_; }
  // This change is, or a newer one of its key.
  [[nodiscard]] bool is_durable(const std::string& key, std::uint64_t number) const;
  [[nodiscard]] std::uint64_t last_number() const { return number_; }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size() + in_hand_.size(); }
  // Something was put since the last batch was taken.
  [[nodiscard]] bool has_new() const { return has_new_; }
  [[nodiscard]] const QueueCounts& counts() const { return counts_; }

 private:
  struct Waiting {
    std::optional<std::string> value;
    std::uint64_t first = 0;  // the earliest number of this key that is not durable
    std::uint64_t last = 0;   // the value's own
  };
  struct InHand {
    std::size_t bytes = 0;
    std::uint64_t first = 0, last = 0;
  };
  using Values = std::map<std::string, std::optional<std::string>>;
  static std::size_t size(const std::string& key, const std::optional<std::string>& value) {
    return key.size() + (value ? value->size() : 0);
  }
  [[nodiscard]] bool fits(const std::string& key, const std::optional<std::string>& value) const;
  void hold(const std::string& key, const std::optional<std::string>& value);
  void wait_again(Change&& change, const InHand& was);

  const std::size_t most_bytes_, most_keys_;
  std::map<std::string, Waiting> waiting_;
  std::map<std::string, InHand> in_hand_;
  Values held_;  // the latest value of each key that was put or remembered, nothing where it was erased
  std::size_t bytes_ = 0;  // of waiting_ and in_hand_
  std::size_t held_bytes_ = 0;
  std::uint64_t number_ = 0;  // of the last change taken
  std::uint64_t durable_up_to_ = 0;
  bool lost_ = false;
  bool has_new_ = false;
  QueueCounts counts_;
};

}  // namespace reeltack::store
