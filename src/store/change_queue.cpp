// The queue of changes: see the header.
#include "store/change_queue.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace reeltack::store {

bool ChangeQueue::fits(const std::string& key, const std::optional<std::string>& value) const {
  if (key.empty() || key.size() > kMaxKeyBytes || (value && value->size() > kMaxValueBytes)) return false;
  const auto old = waiting_.find(key);
  if (old == waiting_.end() && waiting() >= most_keys_) return false;
  const std::size_t freed = old == waiting_.end() ? 0 : size(key, old->second.value);
  return bytes_ - freed + size(key, value) <= most_bytes_;
}

std::uint64_t ChangeQueue::put(const std::string& key, std::optional<std::string> value) {
  if (!fits(key, value)) {
    ++counts_.refused;
    return 0;
  }
  hold(key, value);
  ++counts_.taken;
  ++number_;
  has_new_ = true;
  bytes_ += size(key, value);
  const auto old = waiting_.find(key);
  if (old == waiting_.end()) {
    waiting_.emplace(key, Waiting{std::move(value), number_, number_});
    return number_;
  }
  ++counts_.coalesced;
  bytes_ -= size(key, old->second.value);
  old->second.value = std::move(value);
  old->second.last = number_;
  return number_;
}

void ChangeQueue::remember(const std::string& key, std::string value) {
  if (!held_.contains(key)) hold(key, std::move(value));
}

// Beyond the bounds a value is not held, and the owner's next put has to do.
void ChangeQueue::hold(const std::string& key, const std::optional<std::string>& value) {
  if (const auto old = held_.find(key); old != held_.end()) {
    held_bytes_ -= size(old->first, old->second);
    held_.erase(old);
  }
  const std::size_t more = size(key, value);
  if (held_.size() >= most_keys_ || held_bytes_ + more > most_bytes_) return;
  held_bytes_ += more;
  held_.emplace(key, value);
}

std::vector<Change> ChangeQueue::take_batch() {
  std::vector<Change> batch;
  batch.reserve(waiting_.size());
  for (auto& [key, waiting] : waiting_) {
    in_hand_.emplace(key, InHand{size(key, waiting.value), waiting.first, waiting.last});
    batch.push_back({key, std::move(waiting.value)});
  }
  waiting_.clear();
  has_new_ = false;
  std::sort(batch.begin(), batch.end(), [this](const Change& a, const Change& b) {
    return in_hand_.at(a.key).last < in_hand_.at(b.key).last;
  });
  return batch;
}

void ChangeQueue::settle(std::vector<Change>&& left) {
  if (left.size() < in_hand_.size()) lost_ = false;
  for (Change& change : left) {
    const auto was = in_hand_.find(change.key);
    wait_again(std::move(change), was->second);
    in_hand_.erase(was);
  }
  for (const auto& [key, written] : in_hand_) bytes_ -= written.bytes;
  in_hand_.clear();
  if (lost_) return;
  durable_up_to_ = number_;
  for (const auto& [key, waiting] : waiting_) durable_up_to_ = std::min(durable_up_to_, waiting.first - 1);
}

// What came meanwhile is newer than what was in hand.
void ChangeQueue::wait_again(Change&& change, const InHand& was) {
  const auto [at, is_latest] =
      waiting_.try_emplace(change.key, Waiting{std::move(change.value), was.first, was.last});
  if (is_latest) return;
  at->second.first = was.first;
  bytes_ -= was.bytes;
}

void ChangeQueue::lose() {
  lost_ = true;
  durable_up_to_ = 0;
}

// What waits is newer. An opening may find less than was confirmed: damage in the last batches reads as the
// batch before them.
void ChangeQueue::restore(const std::vector<StoredRecord>& found, const std::string& fleet,
                          const std::string& owner) {
  std::map<std::string_view, const StoredRecord*> there;
  for (const StoredRecord& record : found) there.emplace(record.key, &record);
  const auto is_there = [&](const Values::value_type& held) {
    const auto at = there.find(held.first);
    if (!held.second || at == there.end()) return !held.second && at == there.end();
    const StoredRecord& record = *at->second;
    return record.value == *held.second && record.fleet == fleet && record.owner == owner;
  };
  for (const auto& held : held_) {
    if (is_there(held)) continue;
    // Older than all that was put since the store was lost, and no number of its own.
    const bool waits = !waiting_.try_emplace(held.first, Waiting{held.second, 1, 0}).second;
    if (!waits) bytes_ += size(held.first, held.second);
  }
}

bool ChangeQueue::is_durable(const std::string& key, std::uint64_t number) const {
  if (number == 0 || number > number_ || lost_) return false;
  if (const auto at = waiting_.find(key); at != waiting_.end() && at->second.first <= number) return false;
  const auto at = in_hand_.find(key);
  return at == in_hand_.end() || at->second.first > number;
}

}  // namespace reeltack::store
