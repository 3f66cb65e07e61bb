// Event loop: one thread that waits for many descriptors and times (epoll(7)).
//
// Handlers run on the loop's thread, one after the other, and must not block. The loop itself neither reads
// nor writes a watched descriptor, and calls no handler with its lock held.
//
// Threads: remove(), watch(), unwatch() and due() may be called only on the loop's thread. add() and wake()
// may be called from any thread: they append to a small queue that the next pass takes over, and signal the
// eventfd(2) "bell" once for each wait of the loop, never while it is running. Times are absolute, of the
// steady clock (base::now()); an event due at a time comes then or up to 1 ms later.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "net/net.h"

struct epoll_event;

namespace reeltack::net {

// Receives the events of a loop. An event may come without a cause: a wake may cross an earlier event, and a
// due time may have been moved to later.
class EventHandler {
 public:
  EventHandler() = default;
  virtual ~EventHandler() = default;
  EventHandler(const EventHandler&) = delete;
  EventHandler& operator=(const EventHandler&) = delete;
  // `ready`: one of its descriptors can be read or written, or has ended; otherwise its due time has come or
  // it was woken.
  virtual void handle_event(bool ready) = 0;
};

class Loop {
 public:
  using Id = std::uint64_t;
  Loop();  // throws std::runtime_error if no descriptor is available
  ~Loop() { stop(); }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  void start();  // throws std::runtime_error if no thread can be created; call once
  // Returns once the event being handled is finished. All handlers are released, and later wakes have no
  // effect. Must not be called from a handler.
  void stop();

  Id add(std::shared_ptr<EventHandler> handler);  // held until remove() or stop(); woken once
  void wake(Id id);                               // an event follows soon

  void remove(Id id);  // its descriptors must be unwatched before
  // Level-triggered. An ended descriptor is reported whatever the interest; with neither `in` nor `out` it is
  // unwatched. The kernel is called only where the interest changes, so a descriptor must be unwatched before
  // it is closed. False: the kernel has no memory for it at present; an event follows soon, as if the
  // descriptor were ready, and its handler is to call watch() again.
  bool watch(Id id, const Fd& fd, bool in, bool out);
  void unwatch(const Fd& fd);
  // Sets the one due time of a handler; kNever: none. Moving it to later costs nothing: the event that was
  // due first still comes. Returns the time by which an event comes.
  Time due(Id id, Time at);

  // For monitoring and tests: completed waits, epoll_ctl(2) calls, and signals of the bell.
  struct Counts {
    std::atomic<std::uint64_t> passes{0}, controls{0}, rings{0};
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  using Timers = std::multimap<Time, Id>;
  struct Entry {
    std::shared_ptr<EventHandler> handler;
    Time due = kNever;
    Timers::iterator timer;  // the earliest time set since the last event, or end()
    std::uint64_t pass = 0;  // the pass of its last event
  };
  struct Interest {
    Id id = 0;
    std::uint32_t events = 0;  // 0: unwatched
  };
  void run();
  [[nodiscard]] int wait_timeout_ms(bool work) const;
  void dispatch_due();
  void dispatch(Id id, bool ready);
  void ring_bell(std::unique_lock<std::mutex> held);
  bool control(const Fd& fd, bool known, epoll_event& event);
  void defer_watch(Id id);
  void retry_deferred();

  Fd epoll_;
  Fd bell_;
  Counts counts_;

  std::mutex lock_;  // guards the members up to stopping_
  Id last_id_ = 0;
  std::vector<std::pair<Id, std::shared_ptr<EventHandler>>> added_;
  std::vector<Id> woken_;
  bool asleep_ = true;  // waiting or not started, and the bell is not signalled
  bool stopping_ = false;

  // Used on the loop's thread only.
  std::unordered_map<Id, Entry> entries_;
  std::vector<Interest> interests_;  // by descriptor
  Timers timers_;
  std::vector<Id> deferred_;  // handlers whose watch() failed for want of kernel memory
  Time deferred_retry_at_{};  // when the deferred handlers get an event
  Thread thread_;
};

}  // namespace reeltack::net
