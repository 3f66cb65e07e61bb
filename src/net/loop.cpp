#include "net/loop.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "net/system_calls.h"

namespace reeltack::net {
namespace {

constexpr Loop::Id kBell = 0;  // id of the loop's own eventfd; handlers are numbered from 1
constexpr int kBatch = 64;
// Interval before watch() is retried for a descriptor that the kernel had no memory to watch.
constexpr Duration kWatchRetry = std::chrono::milliseconds(10);
// Upper bound on the delay of a wake whose bell could not be signalled.
constexpr std::int64_t kMaxWait = 1000;  // ms

void count(std::atomic<std::uint64_t>& counter) { counter.fetch_add(1, std::memory_order_relaxed); }

[[noreturn]] void throw_no_loop(const char* call, int error) {
  throw std::runtime_error(std::string("no event loop: ") + call + ": " + std::strerror(error));
}

}  // namespace

Loop::Loop() : epoll_(sys::epoll_create1(EPOLL_CLOEXEC)), bell_(sys::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!epoll_) throw_no_loop("epoll_create1", errno);
  if (!bell_) throw_no_loop("eventfd", errno);
  if (!watch(kBell, bell_, true, false)) throw_no_loop("epoll_ctl", errno);
}

void Loop::start() {
  thread_ = Thread([this] { run(); });
}

void Loop::stop() {
  {
    std::unique_lock hold(lock_);
    stopping_ = true;
    ring_bell(std::move(hold));
  }
  thread_.join();
  timers_.clear();
  std::unordered_map<Id, Entry> removed;  // destructors may call back
  removed.swap(entries_);
  std::vector<std::pair<Id, std::shared_ptr<EventHandler>>> never_begun;
  const std::lock_guard hold(lock_);
  never_begun.swap(added_);
}

Loop::Id Loop::add(std::shared_ptr<EventHandler> handler) {
  std::unique_lock hold(lock_);
  const Id id = ++last_id_;
  added_.emplace_back(id, std::move(handler));
  ring_bell(std::move(hold));
  return id;
}

void Loop::wake(Id id) {
  std::unique_lock hold(lock_);
  if (!woken_.empty() && woken_.back() == id) return;
  woken_.push_back(id);
  ring_bell(std::move(hold));
}

// Signals after releasing the lock, because the woken thread needs the lock at once.
void Loop::ring_bell(std::unique_lock<std::mutex> held) {
  const bool ring = std::exchange(asleep_, false);
  held.unlock();
  if (!ring) return;
  count(counts_.rings);
  const std::uint64_t one = 1;
  // EAGAIN: an earlier signal has not been read yet.
  while (sys::write(bell_.get(), &one, sizeof one) < 0 && errno == EINTR) continue;
}

void Loop::remove(Id id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  if (found->second.timer != timers_.end()) timers_.erase(found->second.timer);
  const std::shared_ptr<EventHandler> removed =
      std::move(found->second.handler);  // destroyed after its entry is removed
  entries_.erase(found);
}

bool Loop::watch(Id id, const Fd& fd, bool in, bool out) {
  if (!in && !out) return unwatch(fd), true;
  const auto place = static_cast<std::size_t>(fd.get());
  if (interests_.size() <= place) interests_.resize(place + 1);
  Interest& interest = interests_[place];
  epoll_event event{};
  event.events = (in ? EPOLLIN : 0U) | (out ? EPOLLOUT : 0U);
  event.data.u64 = id;
  if (interest.events == event.events && interest.id == id) return true;
  count(counts_.controls);
  if (!control(fd, interest.events != 0, event)) {
    defer_watch(id);
    return false;
  }
  interest = {id, event.events};
  return true;
}
// If the kernel disagrees on whether the descriptor is watched already, the other operation is used.
bool Loop::control(const Fd& fd, bool known, epoll_event& event) {
  const int how = known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (sys::epoll_ctl(epoll_.get(), how, fd.get(), &event) == 0) return true;
  if (errno != EEXIST && errno != ENOENT) return false;
  return sys::epoll_ctl(epoll_.get(), known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd.get(), &event) == 0;
}
void Loop::defer_watch(Id id) {
  if (deferred_.empty()) deferred_retry_at_ = now() + kWatchRetry;
  if (std::find(deferred_.begin(), deferred_.end(), id) == deferred_.end()) deferred_.push_back(id);
}
void Loop::retry_deferred() {
  if (deferred_.empty() || now() < deferred_retry_at_) return;
  for (const Id id : std::exchange(deferred_, {})) dispatch(id, true);
}
void Loop::unwatch(const Fd& fd) {
  const auto place = static_cast<std::size_t>(fd.get());
  if (!fd || place >= interests_.size() || interests_[place].events == 0) return;
  interests_[place] = {};
  epoll_event event{};
  count(counts_.controls);
  sys::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd.get(), &event);
}

Time Loop::due(Id id, Time at) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return kNever;
  Entry& entry = found->second;
  entry.due = at;
  if (entry.timer != timers_.end() && entry.timer->first <= at) return entry.timer->first;
  if (entry.timer != timers_.end()) timers_.erase(entry.timer);
  entry.timer = at == kNever ? timers_.end() : timers_.emplace(at, id);
  return at;
}

// Milliseconds, rounded up.
int Loop::wait_timeout_ms(bool work) const {
  if (work) return 0;
  Time at = timers_.empty() ? kNever : timers_.begin()->first;
  if (!deferred_.empty()) at = std::min(at, deferred_retry_at_);
  if (at == kNever) return kMaxWait;
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(at - now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, kMaxWait));
}

void Loop::dispatch(Id id, bool ready) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  found->second.pass = counts_.passes;
  const std::shared_ptr<EventHandler> handler = found->second.handler;  // the handler may remove itself
  handler->handle_event(ready);
}

// Dispatches at the time that was set first, which a due time moved to later relies on; the later time is set
// again before.
void Loop::dispatch_due() {
  const Time at = timers_.empty() ? Time{} : now();
  while (!timers_.empty() && timers_.begin()->first <= at) {
    const Id id = timers_.begin()->second;
    timers_.erase(timers_.begin());
    Entry& entry = entries_.at(id);
    entry.timer = timers_.end();
    due(id, entry.due > at ? entry.due : kNever);
    dispatch(id, false);
  }
}

void Loop::run() {
  epoll_event events[kBatch];
  std::vector<std::pair<Id, std::shared_ptr<EventHandler>>> added;
  std::vector<Id> woken;
  for (;;) {
    bool work = false;
    {
      const std::lock_guard hold(lock_);
      if (stopping_) return;
      work = !added_.empty() || !woken_.empty();
      asleep_ = !work;
    }
    const int n = sys::epoll_wait(epoll_.get(), events, kBatch, wait_timeout_ms(work));
    {
      const std::lock_guard hold(lock_);
      if (stopping_) return;
      asleep_ = false;
      added.swap(added_);
      woken.swap(woken_);
    }
    count(counts_.passes);
    for (auto& [id, handler] : added) {
      entries_.emplace(id, Entry{std::move(handler), kNever, timers_.end(), 0});
      woken.push_back(id);
    }
    added.clear();
    for (int i = 0; i < n; ++i) {
      const Id id = events[i].data.u64;
      if (id != kBell) {
        dispatch(id, true);
        continue;
      }
      std::uint64_t rings = 0;
      static_cast<void>(!sys::read(bell_.get(), &rings, sizeof rings));
    }
    // A handler that has run in this pass has run after its wake.
    for (const Id id : woken) {
      const auto found = entries_.find(id);
      if (found != entries_.end() && found->second.pass != counts_.passes) dispatch(id, false);
    }
    woken.clear();
    retry_deferred();
    dispatch_due();
  }
}

}  // namespace reeltack::net
