// The keeper: see the header.
#include "store/keeper.h"

#include <algorithm>

#include "base/boot_clock.h"
#include "base/wall_clock.h"

namespace reeltack::store {
namespace {

std::string name_of(KeeperEvent::Kind kind) {
  switch (kind) {
    case KeeperEvent::Kind::failed:
      return "failing";
    case KeeperEvent::Kind::lasting:
      return "still_failing";
    case KeeperEvent::Kind::written:
      return "written_again";
    case KeeperEvent::Kind::opened:
      break;
  }
  return "opened";
}

Written no_store(const Opened& opened) {
  return {opened.how == Opened::How::refused ? Why::disputed : Why::io, opened.why};
}

// A text of the engine may hold a quote; a line of the log must not end there.
std::string quoted(std::string text) {
  std::replace(text.begin(), text.end(), '"', '\'');
  return "\"" + text + "\"";
}

}  // namespace

std::string to_text(const KeeperEvent& event) {
  using Kind = KeeperEvent::Kind;
  std::string out = "state=" + name_of(event.kind);
  if (event.kind == Kind::opened) out += " how=" + std::string(name(event.how));
  if (event.why != Why::none) out += " why=" + quoted(std::string(name(event.why)));
  if (event.kind != Kind::failed) out += " lasted_ms=" + std::to_string(event.lasted.count());
  out += " failures=" + std::to_string(event.failures) + " not_durable=" + std::to_string(event.waiting);
  if (!event.aside.empty()) out += " aside=" + quoted(event.aside);
  if (!event.text.empty()) out += " text=" + quoted(event.text);
  return out;
}

Keeper::Keeper(StoreSettings store, Opened&& opened, KeeperSettings settings)
    : store_settings_(std::move(store)),
      settings_(std::move(settings)),
      store_(std::move(opened.store)),
      looked_(store_ != nullptr),
      no_store_(no_store(opened)),
      outage_(settings_.first_reminder, settings_.last_reminder) {
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

void Keeper::remember(const std::string& key, std::string value) {
  const std::lock_guard lock(mutex_);
  if (!held_.contains(key)) hold(key, std::move(value));
}

// Called with the lock held. Beyond the bounds a value is not held, and the owner's next put has to do.
void Keeper::hold(const std::string& key, const std::optional<std::string>& value) {
  if (const auto old = held_.find(key); old != held_.end()) {
    held_bytes_ -= size(*old);
    held_.erase(old);
  }
  const std::size_t more = key.size() + (value ? value->size() : 0);
  if (held_.size() >= settings_.most_keys || held_bytes_ + more > settings_.most_bytes) return;
  held_bytes_ += more;
  held_.emplace(key, value);
}

// What waits is newer. An opening may find less than was confirmed: damage in the last batches reads as the
// batch before them.
void Keeper::write_what_is_missing(const std::vector<Kept>& found) {
  std::map<std::string_view, const Kept*> there;
  for (const Kept& record : found) there.emplace(record.key, &record);
  const auto is_there = [&](const Changes::value_type& held) {
    const auto at = there.find(held.first);
    if (!held.second || at == there.end()) return !held.second && at == there.end();
    const Kept& record = *at->second;
    return record.value == *held.second && record.fleet == store_settings_.fleet &&
           record.owner == store_settings_.owner;
  };
  const std::lock_guard lock(mutex_);
  for (const auto& held : held_)
    if (!is_there(held) && waiting_.insert(held).second) bytes_ += size(held);
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

void Keeper::tell(const std::optional<KeeperEvent>& event) {
  if (event && settings_.told) settings_.told(*event);
}

// Called with the lock held.
KeeperEvent Keeper::event(KeeperEvent::Kind kind) const {
  KeeperEvent out;
  out.kind = kind;
  out.lasted = std::chrono::duration_cast<std::chrono::milliseconds>(outage_.lasted(settings_.clock()));
  out.failures = outage_.failures();
  out.waiting = waiting_.size() + in_hand_;
  return out;
}

// Called with the lock held. What is to be told of this failure, if anything.
std::optional<KeeperEvent> Keeper::failed(Why why, const std::string& text) {
  ++counts_.failures;
  counts_.failing = true;
  const base::Outage::Report report = outage_.failed(settings_.clock());
  const bool found_damaged = why == Why::damaged && last_why_ != Why::damaged;
  last_why_ = why;
  if (report == base::Outage::Report::nothing && !found_damaged) return std::nullopt;
  KeeperEvent out =
      event(report == base::Outage::Report::begun || found_damaged ? KeeperEvent::Kind::failed
                                                                   : KeeperEvent::Kind::lasting);
  out.why = why;
  out.text = text;
  return out;
}

bool Keeper::open_again() {
  Opened opened = Store::open(store_settings_);
  store_ = std::move(opened.store);
  if (store_ == nullptr) {
    std::unique_lock lock(mutex_);
    const auto news = failed(no_store(opened).why, opened.why);
    lock.unlock();
    tell(news);
    return false;
  }
  io_failures_ = 0;
  if (!looked_ && settings_.found) settings_.found(opened.kept);
  looked_ = true;
  write_what_is_missing(opened.kept);
  const bool news = opened.how != Opened::How::opened || !opening_told_;
  opening_told_ = true;
  if (!news) return true;
  std::unique_lock lock(mutex_);
  KeeperEvent event = this->event(KeeperEvent::Kind::opened);
  lock.unlock();
  event.how = opened.how;
  event.text = opened.why;
  event.aside = opened.where;
  tell(event);
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
    done = store_->write(changes, base::wall_now(), base::boot_now());
  }
  io_failures_ = done.why == Why::io ? io_failures_ + 1 : 0;
  if (done.why == Why::damaged || io_failures_ >= kReopenAfter) store_.reset();
  lock.lock();
  in_hand_ = 0;
  std::optional<KeeperEvent> news;
  if (!done.ok()) {
    settle(done, std::move(changes), number);
    news = failed(done.why, done.text);
  } else {
    if (outage_.on()) news = event(KeeperEvent::Kind::written);
    settle(done, std::move(changes), number);
  }
  lock.unlock();
  done_.notify_all();
  tell(news);
  lock.lock();
  return done.ok();
}

// Called with the lock held: what became of a batch.
void Keeper::settle(const Written& done, std::vector<Change>&& changes, std::uint64_t number) {
  const auto bytes_of = [](const Change& c) { return c.key.size() + (c.value ? c.value->size() : 0); };
  if (done.ok()) {
    ++counts_.batches;
    counts_.written += changes.size();
    for (const Change& c : changes) bytes_ -= bytes_of(c);
    kept_ = number;
    counts_.failing = false;
    opening_told_ = false;
    last_why_ = Why::none;
    outage_.ended();
    return;
  }
  if (done.why == Why::damaged) kept_ = 0;
  // What came meanwhile is newer than what was in hand.
  for (Change& c : changes) {
    const std::size_t bytes = bytes_of(c);
    if (!waiting_.try_emplace(c.key, std::move(c.value)).second) bytes_ -= bytes;
  }
}

void Keeper::run() {
  std::chrono::milliseconds wait{0};
  std::unique_lock lock(mutex_);
  if (store_ == nullptr) {
    wait = settings_.first_retry;
    const auto news = failed(no_store_.why, no_store_.text);
    lock.unlock();
    tell(news);
    lock.lock();
  }
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
