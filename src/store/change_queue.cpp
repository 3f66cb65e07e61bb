// Queue of pending changes.
#include "store/change_queue.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace reeltack::store {

bool ChangeQueue::fits(const std::string& key, const std::optional<std::string>& value) const {
  if (key.empty() || key.size() > kMaxKeyBytes || (value && value->size() > kMaxValueBytes)) return false;
  const auto old = waiting_.find(key);
  if (old == waiting_.end() && waiting() >= max_keys_) return false;
  const std::size_t freed = old == waiting_.end() ? 0 : size(key, old->second.value);
  return bytes_ - freed + size(key, value) <= max_bytes_;
}

std::uint64_t ChangeQueue::put(const std::string& key, std::optional<std::string> value) {
  if (!fits(key, value)) {
    ++counts_.refused;
    return 0;
  }
  retain_latest(key, value);
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
  if (!latest_values_.contains(key)) retain_latest(key, std::move(value));
}

// Over the limits the value is not retained; if the store is lost, the key is written again only when
// its owner puts it.
void ChangeQueue::retain_latest(const std::string& key, const std::optional<std::string>& value) {
  if (const auto old = latest_values_.find(key); old != latest_values_.end()) {
    latest_bytes_ -= size(old->first, old->second);
    latest_values_.erase(old);
  }
  const std::size_t more = size(key, value);
  if (latest_values_.size() >= max_keys_ || latest_bytes_ + more > max_bytes_) return;
  latest_bytes_ += more;
  latest_values_.emplace(key, value);
}

std::vector<Change> ChangeQueue::take_pending() {
  std::vector<Change> batch;
  batch.reserve(waiting_.size());
  for (auto& [key, waiting] : waiting_) {
    in_flight_.emplace(key, InFlight{size(key, waiting.value), waiting.first, waiting.last});
    batch.push_back({key, std::move(waiting.value)});
  }
  waiting_.clear();
  has_new_ = false;
  std::sort(batch.begin(), batch.end(), [this](const Change& a, const Change& b) {
    return in_flight_.at(a.key).last < in_flight_.at(b.key).last;
  });
  return batch;
}

void ChangeQueue::finish_batch(std::vector<Change>&& deferred) {
  if (deferred.size() < in_flight_.size()) lost_ = false;
  for (Change& change : deferred) {
    const auto previous = in_flight_.find(change.key);
    requeue(std::move(change), previous->second);
    in_flight_.erase(previous);
  }
  for (const auto& [key, written] : in_flight_) bytes_ -= written.bytes;
  in_flight_.clear();
  if (lost_) return;
  durable_up_to_ = number_;
  for (const auto& [key, waiting] : waiting_) durable_up_to_ = std::min(durable_up_to_, waiting.first - 1);
}

// A change of the same key that arrived meanwhile is newer than the one that was in flight.
void ChangeQueue::requeue(Change&& change, const InFlight& previous) {
  const auto [at, is_latest] =
      waiting_.try_emplace(change.key, Waiting{std::move(change.value), previous.first, previous.last});
  if (is_latest) return;
  at->second.first = previous.first;
  bytes_ -= previous.bytes;
}

void ChangeQueue::mark_lost() {
  lost_ = true;
  durable_up_to_ = 0;
}

// Pending values are newer and stay. A reopened store may hold less than was confirmed: damage in the
// last batches of the log reads as the state before them.
void ChangeQueue::restore(const std::vector<StoredRecord>& found, const std::string& fleet,
                          const std::string& owner) {
  std::map<std::string_view, const StoredRecord*> found_by_key;
  for (const StoredRecord& record : found) found_by_key.emplace(record.key, &record);
  const auto is_current = [&](const Values::value_type& retained) {
    const auto at = found_by_key.find(retained.first);
    if (!retained.second || at == found_by_key.end()) return !retained.second && at == found_by_key.end();
    const StoredRecord& record = *at->second;
    return record.value == *retained.second && record.fleet == fleet && record.owner == owner;
  };
  for (const auto& retained : latest_values_) {
    if (is_current(retained)) continue;
    // Number 0: the value is older than everything that was put since the store was lost.
    const bool waits = !waiting_.try_emplace(retained.first, Waiting{retained.second, 1, 0}).second;
    if (!waits) bytes_ += size(retained.first, retained.second);
  }
}

bool ChangeQueue::is_durable(const std::string& key, std::uint64_t number) const {
  if (number == 0 || number > number_ || lost_) return false;
  if (const auto at = waiting_.find(key); at != waiting_.end() && at->second.first <= number) return false;
  const auto at = in_flight_.find(key);
  return at == in_flight_.end() || at->second.first > number;
}

}  // namespace reeltack::store
