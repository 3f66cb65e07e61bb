// One thread that waits for many descriptors and times, in place of a thread for each connection.
//
// Owns: the epoll instance (epoll(7)), the table of what is watched, each one's due time and wakes.
// Must never: read or write a watched descriptor, know a message, or call anybody with its lock held.
//
// Threads: one, the loop's own, on which every turn() runs, one after the other; a turn must not block. All
// other functions may be called from any thread, the loop's included, and take O(log n) of what is watched.
// Times are absolute, of the Unix clock (base::now()); a turn comes at its due time or up to 1 ms later.
#pragma once

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "net/net.h"

namespace reeltack::net {

// What a loop watches. A turn may come without a cause (a wake that crossed another turn), and once after
// remove() where it was due already.
class Watched {
 public:
  Watched() = default;
  virtual ~Watched() = default;
  Watched(const Watched&) = delete;
  Watched& operator=(const Watched&) = delete;
  // `ready`: one of its descriptors can be read or written, or has ended; else its time has come or it was
  // woken.
  virtual void turn(bool ready) = 0;
};

class Loop {
 public:
  using Id = std::uint64_t;
  Loop();  // throws std::runtime_error where no descriptor is left for it
  ~Loop() { stop(); }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  void start();  // throws std::runtime_error where no thread can be had; once
  void stop();   // after the turn under way; what is watched is let go. Not from a turn

  Id add(std::shared_ptr<Watched> watched);  // kept until remove() or stop(); woken once
  void remove(Id id);                        // its descriptors must be unwatched first
  // Level-triggered. An ended descriptor shows whatever is asked for; one not asked about at all is
  // unwatched. False: the kernel has no room for it.
  bool watch(Id id, const Fd& fd, bool in, bool out);
  void unwatch(const Fd& fd);
  void due(Id id, Time at);  // one time for each; kNever: none
  void wake(Id id);          // a turn soon

 private:
  struct Entry {
    std::shared_ptr<Watched> watched;
    Time due = kNever;
    bool woken = false;
  };
  void run();
  void nudge();  // with the lock held
  Fd epoll_;
  Fd bell_;
  std::mutex lock_;
  Id last_ = 0;
  std::unordered_map<Id, Entry> entries_;
  std::multimap<Time, Id> dues_;
  std::vector<Id> woken_;
  bool rung_ = false;
  bool stopping_ = false;
  bool busy_ = false;  // in a pass: what is woken meanwhile is seen before the next wait
  Thread thread_;
};

}  // namespace reeltack::net
