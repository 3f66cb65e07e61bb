// The keeper: see the header.
#include "store/keeper.h"

#include <algorithm>

#include "base/wall_clock.h"

namespace reeltack::store {

Keeper::Keeper(StoreSettings store, Opened&& opened, KeeperSettings settings)
    : store_settings_(std::move(store)), settings_(std::move(settings)), store_(std::move(opened.store)) {
  thread_ = base::Thread([this] { run(); });
}

Keeper::~Keeper() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  work_.notify_all();
  thread_.join();
}

std::size_t Keeper::size(const Changes::value_type& change) {
  return change.first.size() + (change.second ? change.second->size() : 0);
}

std::uint64_t Keeper::put(const std::string& key, std::string value) { return take(key, std::move(value)); }
std::uint64_t Keeper::erase(const std::string& key) { return take(key, std::nullopt); }

std::uint64_t Keeper::take(const std::string& key, std::optional<std::string> value) {
  const std::size_t more = key.size() + (value ? value->size() : 0);
  std::uint64_t number = 0;
  {
    const std::lock_guard lock(mutex_);
    const auto old = waiting_.find(key);
    const bool there = old != waiting_.end();
    const std::size_t less = there ? size(*old) : 0;
    if (key.empty() || key.size() > kMostKey || (value && value->size() > kMostValue) ||
        bytes_ - less + more > settings_.most_bytes ||
        (!there && waiting_.size() + in_hand_ >= settings_.most_keys)) {
      ++counts_.refused;
      return 0;
    }
    bytes_ = bytes_ - less + more;
    hold(key, value);
    ++counts_.taken;
    if (there) {
      ++counts_.coalesced;
      old->second = std::move(value);
    } else {
      waiting_.emplace(key, std::move(value));
    }
    number = ++number_;
  }
  work_.notify_one();
  return number;
}

// Called with the lock held. Beyond the bounds a value is not held, and the owner's next put has to do.
void Keeper::hold(const std::string& key, const std::optional<std::string>& value) {
  if (const auto old = held_.find(key); old != held_.end()) {
    held_bytes_ -= size(*old);
    held_.erase(old);
  }
  const std::size_t more = key.size() + (value ? value->size() : 0);
  if (!value || held_.size() >= settings_.most_keys || held_bytes_ + more > settings_.most_bytes) return;
  held_bytes_ += more;
  held_.emplace(key, value);
}

// What waits is newer.
void Keeper::all_again() {
  const std::lock_guard lock(mutex_);
  for (const auto& value : held_)
    if (waiting_.insert(value).second) bytes_ += size(value);
}

std::uint64_t Keeper::kept() const {
  const std::lock_guard lock(mutex_);
  return kept_;
}

bool Keeper::flush(std::chrono::milliseconds within) {
  std::unique_lock lock(mutex_);
  const std::uint64_t number = number_;
  return done_.wait_for(lock, within, [&] { return kept_ >= number; });
}

KeeperCounts Keeper::counts() const {
  const std::lock_guard lock(mutex_);
  KeeperCounts counts = counts_;
  counts.waiting = waiting_.size() + in_hand_;
  return counts;
}

void Keeper::tell(const KeeperEvent& event) {
  if (settings_.told) settings_.told(event);
}

bool Keeper::open_again() {
  Opened opened = Store::open(store_settings_);
  store_ = std::move(opened.store);
  if (store_ == nullptr) {
    bool first = false;
    {
      const std::lock_guard lock(mutex_);
      ++counts_.failures;
      first = !counts_.failing;
      counts_.failing = true;
    }
    const Why why = opened.how == Opened::How::refused ? Why::disputed : Why::io;
    if (first) tell({KeeperEvent::Kind::failed, why, opened.how, opened.why});
    return false;
  }
  if (opened.how != Opened::How::opened) all_again();
  tell({KeeperEvent::Kind::opened, Why::none, opened.how, opened.why});
  return true;
}

// Called and returns with the lock held; gives it up while the disk is at work.
bool Keeper::write_all(std::unique_lock<std::mutex>& lock) {
  Changes batch = std::move(waiting_);
  waiting_.clear();
  in_hand_ = batch.size();
  const std::uint64_t number = number_;
  lock.unlock();
  Written done;
  std::vector<Change> changes;
  if (!batch.empty()) {
    changes.reserve(batch.size());
    for (auto& [key, value] : batch) changes.push_back({key, std::move(value)});
    done = store_->write(changes, base::wall_now());
    if (done.why == Why::damaged) store_.reset();
  }
  lock.lock();
  in_hand_ = 0;
  bool news = false;
  if (done.ok()) {
    ++counts_.batches;
    counts_.written += changes.size();
    for (const Change& c : changes) bytes_ -= c.key.size() + (c.value ? c.value->size() : 0);
    kept_ = number;
    news = counts_.failing;
    counts_.failing = false;
  } else {
    ++counts_.failures;
    // What came meanwhile is newer than what was in hand.
    for (Change& c : changes) {
      const std::size_t bytes = c.key.size() + (c.value ? c.value->size() : 0);
      if (!waiting_.try_emplace(c.key, std::move(c.value)).second) bytes_ -= bytes;
    }
    news = !counts_.failing;
    counts_.failing = true;
  }
  lock.unlock();
  done_.notify_all();
  if (news)
    tell({done.ok() ? KeeperEvent::Kind::written : KeeperEvent::Kind::failed, done.why, Opened::How::opened,
          done.text});
  lock.lock();
  return done.ok();
}

void Keeper::run() {
  std::chrono::milliseconds wait{0};
  std::unique_lock lock(mutex_);
  if (store_ == nullptr) wait = settings_.first_retry;
  for (;;) {
    if (wait.count() > 0) {
      work_.wait_for(lock, wait, [&] { return stopping_; });
    } else {
      work_.wait(lock, [&] { return stopping_ || !waiting_.empty(); });
    }
    const bool last = stopping_;
    if (store_ == nullptr) {
      lock.unlock();
      const bool open = open_again();
      lock.lock();
      if (!open) {
        if (last) break;
        wait = std::clamp(wait * 2, settings_.first_retry, settings_.last_retry);
        continue;
      }
    }
    const bool done = waiting_.empty() || write_all(lock);
    if (last) break;
    wait = done ? std::chrono::milliseconds{0}
                : std::clamp(wait * 2, settings_.first_retry, settings_.last_retry);
  }
  lock.unlock();
  store_.reset();
}

}  // namespace reeltack::store
