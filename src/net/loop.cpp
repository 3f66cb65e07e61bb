#include "net/loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

namespace reeltack::net {
namespace {

constexpr Loop::Id kBell = 0;  // of the loop's own descriptor; watched things count from 1
constexpr int kBatch = 64;

}  // namespace

Loop::Loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), bell_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!epoll_ || !bell_ || !watch(kBell, bell_, true, false))
    throw std::runtime_error("no descriptor for a loop");
}

void Loop::start() {
  thread_ = Thread([this] { run(); });
}

void Loop::stop() {
  {
    const std::lock_guard hold(lock_);
    stopping_ = true;
    nudge();
  }
  thread_.join();
  std::unordered_map<Id, Entry> gone;  // what ends with it may call back
  const std::lock_guard hold(lock_);
  gone.swap(entries_);
}

Loop::Id Loop::add(std::shared_ptr<Watched> watched) {
  const std::lock_guard hold(lock_);
  const Id id = ++last_;
  entries_[id] = {std::move(watched), kNever, true};
  woken_.push_back(id);
  nudge();
  return id;
}

void Loop::remove(Id id) {
  std::shared_ptr<Watched> gone;  // dies without the lock
  due(id, kNever);
  const std::lock_guard hold(lock_);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  gone = std::move(found->second.watched);
  entries_.erase(found);
}

bool Loop::watch(Id id, const Fd& fd, bool in, bool out) {
  if (!in && !out) return unwatch(fd), true;
  epoll_event event{};
  event.events = (in ? EPOLLIN : 0U) | (out ? EPOLLOUT : 0U);
  event.data.u64 = id;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, fd.get(), &event) == 0) return true;
  return errno == ENOENT && ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd.get(), &event) == 0;
}
void Loop::unwatch(const Fd& fd) {
  epoll_event event{};
  if (fd) ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd.get(), &event);
}

void Loop::due(Id id, Time at) {
  const std::lock_guard hold(lock_);
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.due == at) return;
  const auto [from, to] = dues_.equal_range(found->second.due);
  const auto old = std::find_if(from, to, [id](const auto& d) { return d.second == id; });
  if (old != to) dues_.erase(old);
  found->second.due = at;
  if (at == kNever) return;
  const auto place = dues_.emplace(at, id);
  if (place == dues_.begin()) nudge();
}

void Loop::wake(Id id) {
  const std::lock_guard hold(lock_);
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.woken) return;
  found->second.woken = true;
  woken_.push_back(id);
  nudge();
}

void Loop::nudge() {
  if (busy_ || rung_) return;
  rung_ = true;
  const std::uint64_t one = 1;
  static_cast<void>(!::write(bell_.get(), &one, sizeof one));
}

void Loop::run() {
  epoll_event events[kBatch];
  std::vector<std::pair<std::shared_ptr<Watched>, bool>> turns;
  for (;;) {
    int wait = -1;
    {
      const std::lock_guard hold(lock_);
      if (stopping_) return;
      busy_ = false;
      if (!dues_.empty()) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(dues_.begin()->first - now()).count();
        wait = static_cast<int>(std::clamp<std::int64_t>(left, 0, 3600'000));
      }
      if (!woken_.empty()) wait = 0;
    }
    const int n = ::epoll_wait(epoll_.get(), events, kBatch, wait);
    {
      const std::lock_guard hold(lock_);
      if (stopping_) return;
      busy_ = true;
      if (rung_) {
        std::uint64_t rings = 0;
        static_cast<void>(!::read(bell_.get(), &rings, sizeof rings));
        rung_ = false;
      }
      for (int i = 0; i < n; ++i) {
        const auto found = entries_.find(events[i].data.u64);
        if (found != entries_.end()) turns.emplace_back(found->second.watched, true);
      }
      for (const Id id : woken_) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) continue;
        found->second.woken = false;
        turns.emplace_back(found->second.watched, false);
      }
      woken_.clear();
      const Time at = dues_.empty() ? Time{} : now();
      while (!dues_.empty() && dues_.begin()->first <= at) {
        Entry& entry = entries_.at(dues_.begin()->second);
        entry.due = kNever;
        dues_.erase(dues_.begin());
        turns.emplace_back(entry.watched, false);
      }
    }
    for (const auto& [watched, ready] : turns) watched->turn(ready);
    turns.clear();
  }
}

}  // namespace reeltack::net
