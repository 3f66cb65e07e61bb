// One thread that waits for many descriptors and times, in place of a thread for each connection.
//
// Owns: the epoll instance (epoll(7)), the table of what is watched, each one's interest, due time and wakes.
// Must never: read or write a watched descriptor, know a message, or call anybody with its lock held.
//
// Threads: one, the loop's own, on which every turn() runs, one after the other; a turn must not block. The
// tables are that thread's alone: remove(), watch(), unwatch() and due() are for turns. add() and wake() may
// be called from any thread; what they bring lies in a small queue until the next pass, and the loop's bell
// (eventfd(2)) is rung once for each of its sleeps, never while it is awake.
// Times are absolute, of the steady clock (base::now()); a turn comes at its due time or up to 1 ms later.
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

// What a loop watches. A turn may come without a cause: a wake that crossed another turn, or a due time that
// was moved to later after it had been set.
class EventHandler {
 public:
  EventHandler() = default;
  virtual ~EventHandler() = default;
  EventHandler(const EventHandler&) = delete;
  EventHandler& operator=(const EventHandler&) = delete;
  // `ready`: one of its descriptors can be read or written, or has ended; else its time has come or it was
  // woken.
  virtual void handle_event(bool ready) = 0;
};

class Loop {
 public:
  using Id = std::uint64_t;
  Loop();  // throws std::runtime_error where no descriptor is left for it
  ~Loop() { stop(); }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  void start();  // throws std::runtime_error where no thread can be had; once
  // After the turn under way; what is watched is let go, and what is woken later gets no turn. Not from a
  // turn.
  void stop();

  Id add(std::shared_ptr<EventHandler> watched);  // kept until remove() or stop(); woken once
  void wake(Id id);                               // a turn soon

  void remove(Id id);  // its descriptors must be unwatched first
  // Level-triggered. An ended descriptor shows whatever is asked for; one not asked about at all is
  // unwatched. The kernel is asked only where the interest changes, so that a descriptor must be unwatched
  // before it is closed. False: the kernel has no room for it now; a turn comes soon, as if the descriptor
  // were ready, which is to ask for it again.
  bool watch(Id id, const Fd& fd, bool in, bool out);
  void unwatch(const Fd& fd);
  // One time for each; kNever: none. Moving it to later costs nothing: the turn that was due first still
  // comes. Returns when a turn comes at the latest.
  Time due(Id id, Time at);

  // For supervision and tests: waits that came back, epoll_ctl(2) calls, and rings of the bell.
  struct Counts {
    std::atomic<std::uint64_t> passes{0}, controls{0}, rings{0};
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  using Dues = std::multimap<Time, Id>;
  struct Entry {
    std::shared_ptr<EventHandler> watched;
    Time due = kNever;
    Dues::iterator armed;    // the earliest time set since its last look, or the end
    std::uint64_t pass = 0;  // of its last turn
  };
  struct Interest {
    Id id = 0;
    std::uint32_t events = 0;  // 0: unwatched
  };
  void run();
  [[nodiscard]] int span_of_wait(bool work) const;
  void take_due();
  void give_turn(Id id, bool ready);
  void nudge(std::unique_lock<std::mutex> held);
  bool control(const Fd& fd, bool known, epoll_event& event);
  void refused(Id id);
  void give_refused_turns();

  Fd epoll_;
  Fd bell_;
  Counts counts_;

  std::mutex lock_;  // guards what other threads bring
  Id last_ = 0;
  std::vector<std::pair<Id, std::shared_ptr<EventHandler>>> added_;
  std::vector<Id> woken_;
  bool asleep_ = true;  // in its wait or not begun, and the bell is not rung
  bool stopping_ = false;

  // The loop's thread's own.
  std::unordered_map<Id, Entry> entries_;
  std::vector<Interest> interests_;  // by descriptor
  Dues dues_;
  std::vector<Id> refused_;  // whose watch() the kernel had no room for
  Time refused_due_{};       // by when these get a turn
  Thread thread_;
};

}  // namespace reeltack::net
