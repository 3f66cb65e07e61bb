#include "net/loop.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "net/system_calls.h"

namespace reeltack::net {
namespace {

constexpr Loop::Id kBell = 0;  // of the loop's own descriptor; watched things count from 1
constexpr int kBatch = 64;
// So soon a descriptor is looked at again that the kernel had no room to watch.
constexpr Duration kWatchAgain = std::chrono::milliseconds(10);
// A wake whose bell could not be rung is found so late at the most.
constexpr std::int64_t kLongestWait = 1000;  // ms

void count(std::atomic<std::uint64_t>& counter) { counter.fetch_add(1, std::memory_order_relaxed); }

[[noreturn]] void no_loop(const char* call, int error) {
  throw std::runtime_error(std::string("no event loop: ") + call + ": " + std::strerror(error));
}

}  // namespace

Loop::Loop() : epoll_(sys::epoll_create1(EPOLL_CLOEXEC)), bell_(sys::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!epoll_) no_loop("epoll_create1", errno);
  if (!bell_) no_loop("eventfd", errno);
  if (!watch(kBell, bell_, true, false)) no_loop("epoll_ctl", errno);
}

void Loop::start() {
  thread_ = Thread([this] { run(); });
}

void Loop::stop() {
  {
    std::unique_lock hold(lock_);
    stopping_ = true;
    nudge(std::move(hold));
  }
  thread_.join();
  dues_.clear();
  std::unordered_map<Id, Entry> gone;  // what ends with it may call back
  gone.swap(entries_);
  std::vector<std::pair<Id, std::shared_ptr<EventHandler>>> never_begun;
  const std::lock_guard hold(lock_);
  never_begun.swap(added_);
}

Loop::Id Loop::add(std::shared_ptr<EventHandler> watched) {
  std::unique_lock hold(lock_);
  const Id id = ++last_;
  added_.emplace_back(id, std::move(watched));
  nudge(std::move(hold));
  return id;
}

void Loop::wake(Id id) {
  std::unique_lock hold(lock_);
  if (!woken_.empty() && woken_.back() == id) return;
  woken_.push_back(id);
  nudge(std::move(hold));
}

// After the lock is let go: whoever is woken by the bell needs it at once.
void Loop::nudge(std::unique_lock<std::mutex> held) {
  const bool ring = std::exchange(asleep_, false);
  held.unlock();
  if (!ring) return;
  count(counts_.rings);
  const std::uint64_t one = 1;
  // EAGAIN: it has rung and was not heard yet.
  while (sys::write(bell_.get(), &one, sizeof one) < 0 && errno == EINTR) continue;
}

void Loop::remove(Id id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  if (found->second.armed != dues_.end()) dues_.erase(found->second.armed);
  const std::shared_ptr<EventHandler> gone =
      std::move(found->second.watched);  // dies after it is off the table
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
    refused(id);
    return false;
  }
  interest = {id, event.events};
  return true;
}
// Where the kernel knows better than we do whether it watches it, as it says.
bool Loop::control(const Fd& fd, bool known, epoll_event& event) {
  const int how = known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (sys::epoll_ctl(epoll_.get(), how, fd.get(), &event) == 0) return true;
  if (errno != EEXIST && errno != ENOENT) return false;
  return sys::epoll_ctl(epoll_.get(), known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd.get(), &event) == 0;
}
void Loop::refused(Id id) {
  if (refused_.empty()) refused_due_ = now() + kWatchAgain;
  if (std::find(refused_.begin(), refused_.end(), id) == refused_.end()) refused_.push_back(id);
}
void Loop::give_refused_turns() {
  if (refused_.empty() || now() < refused_due_) return;
  for (const Id id : std::exchange(refused_, {})) give_turn(id, true);
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
  if (entry.armed != dues_.end() && entry.armed->first <= at) return entry.armed->first;
  if (entry.armed != dues_.end()) dues_.erase(entry.armed);
  entry.armed = at == kNever ? dues_.end() : dues_.emplace(at, id);
  return at;
}

// In milliseconds, rounded up; -1: for ever.
int Loop::span_of_wait(bool work) const {
  if (work) return 0;
  Time at = dues_.empty() ? kNever : dues_.begin()->first;
  if (!refused_.empty()) at = std::min(at, refused_due_);
  if (at == kNever) return kLongestWait;
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(at - now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, kLongestWait));
}

void Loop::give_turn(Id id, bool ready) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  found->second.pass = counts_.passes;
  const std::shared_ptr<EventHandler> watched = found->second.watched;  // its turn may remove it
  watched->handle_event(ready);
}

// A turn at the time that was set first, for whatever was moved to later counts on it; that is set anew
// before.
void Loop::take_due() {
  const Time at = dues_.empty() ? Time{} : now();
  while (!dues_.empty() && dues_.begin()->first <= at) {
    const Id id = dues_.begin()->second;
    dues_.erase(dues_.begin());
    Entry& entry = entries_.at(id);
    entry.armed = dues_.end();
    due(id, entry.due > at ? entry.due : kNever);
    give_turn(id, false);
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
    const int n = sys::epoll_wait(epoll_.get(), events, kBatch, span_of_wait(work));
    {
      const std::lock_guard hold(lock_);
      if (stopping_) return;
      asleep_ = false;
      added.swap(added_);
      woken.swap(woken_);
    }
    count(counts_.passes);
    for (auto& [id, watched] : added) {
      entries_.emplace(id, Entry{std::move(watched), kNever, dues_.end(), 0});
      woken.push_back(id);
    }
    added.clear();
    for (int i = 0; i < n; ++i) {
      const Id id = events[i].data.u64;
      if (id != kBell) {
        give_turn(id, true);
        continue;
      }
      std::uint64_t rings = 0;
      static_cast<void>(!sys::read(bell_.get(), &rings, sizeof rings));
    }
    // Whoever has had its turn in this pass has had it after its wake.
    for (const Id id : woken) {
      const auto found = entries_.find(id);
      if (found != entries_.end() && found->second.pass != counts_.passes) give_turn(id, false);
    }
    woken.clear();
    give_refused_turns();
    take_due();
  }
}

}  // namespace reeltack::net
