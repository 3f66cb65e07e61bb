// The accepting side of every front: a listener and the connections that came in by it.
//
// Owns: the loop that accepts and reads, the limit on the number of connections, the guards against peers
//   that say nothing, half a message or more than they read, and every connection's orderly end.
// Must never: know what a peer says, or close one that still waits for an answer to make room.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <set>

#include "limits/patience.h"
#include "net/loop.h"

namespace reeltack::net {

// One accepted connection on its door's loop. Fronts derive from it. What the front overrides runs on the
// loop's thread; what others call (push, cut, opened, stood, closed) may come from any.
class Peer : public Watched, public std::enable_shared_from_this<Peer> {
 public:
  // `quiet`: after such a silence quiet() asks; max: it may stay quiet.
  explicit Peer(Fd fd, Duration quiet = Duration::max());

  // `over` is called once, on the loop's thread, when the connection has ended and may be let go.
  void begin(Loop& loop, std::function<void(Peer&)> over);
  // False: closed, or the peer does not read; it is cut off then.
  bool push(std::string bytes, std::uint64_t tag = 0, Outbox::Check check = {});
  [[nodiscard]] bool behind() const { return outbox_.behind(); }
  void cut();  // at once, whatever is queued
  [[nodiscard]] bool over() const { return over_; }

  // The set-ups that came here and have no final answer yet, and those that stand.
  void opened(CallId call);
  void stood(CallId call);
  void closed(CallId call);

  // Why it ended: by its far end, by our own orderly end, or at a limit.
  enum class End { peer, own, late, unread, room, cut };
  [[nodiscard]] End why() const { return why_; }  // once it is over

  // How well it can be spared, the least first; kKept: not at all now.
  enum class Spare { silent, idle, standing, kept };
  [[nodiscard]] Spare spare() const;
  [[nodiscard]] Time heard() const { return Time{Duration{heard_.load()}}; }
  // Ends it for room, at once: what crosses the end is sent again by its caller. Only if it still can be
  // spared.
  void retire();
  // Ends it as soon as no set-up is open on it and all that has come is read: what comes until then is taken
  // and answered, for a close under an open set-up would lose what crosses it. A message that has begun is
  // waited for in its time, or not where it is to be `now`.
  void close(bool now);
  [[nodiscard]] bool retiring() const { return retiring_; }
  // It is not ending, by either side, as far as the kernel knows: what is pushed now can still be read.
  [[nodiscard]] bool listens() const { return !over_ && !retiring_ && !fd_.far_end_closed(); }

  void turn(bool ready) final;

 protected:
  enum class Next { more, end };  // end: nothing more is read; what is queued is still written
  // More has come: takes every whole message off the buffer.
  virtual Next received() = 0;
  // The message in the buffer, or the first one, was not whole in time; the last words may be pushed.
  virtual void late() {}
  // Nothing has come for so long; asked again after as long.
  virtual Next quiet() { return Next::more; }
  // After the last read, with the set-ups that were open here.
  virtual void left(const std::set<CallId>& open) = 0;

  void whole();    // a message was taken off the buffer
  Next hang_up();  // the last answer is queued: what the peer still sends is dropped, so that it arrives
  Buffer buffer_;

 private:
  // reading, writing what is queued, dropping what still comes after a hang-up, and over.
  enum class Stage { reading, writing, draining, over };
  void read();
  [[nodiscard]] bool may_close() const;
  void end_reading(End why);
  void finish_writing(Outbox::Flushed how);
  void drain();
  void end();
  void arm();
  void keep_to_limits();
  [[nodiscard]] End broken() const;       // why, where it could not be read or written
  [[nodiscard]] Spare spare_now() const;  // with the lock held

  Fd fd_;
  Outbox outbox_;
  Loop* loop_ = nullptr;
  Loop::Id id_ = 0;
  std::function<void(Peer&)> ended_;
  // Of the loop's thread.
  Stage stage_ = Stage::reading;
  End why_ = End::peer;
  const Time connected_ = now();
  limits::Patience patience_;
  Time drained_by_ = kNever;
  std::size_t drained_ = 0;
  bool drains_ = false;

  mutable std::mutex lock_;
  std::set<CallId> open_;
  std::set<CallId> standing_;
  std::atomic<Duration::rep> heard_{connected_.time_since_epoch().count()};
  std::atomic<bool> retiring_{false};
  enum class Closing { no, when_idle, now };
  std::atomic<Closing> closing_{Closing::no};
  std::atomic<bool> over_{false};
  std::atomic<bool> cut_{false};
};

class Door {
 public:
  using Make = std::function<std::shared_ptr<Peer>(Fd)>;
  using Joined = std::function<void(Peer&)>;
  Door(std::size_t most, Make make, Joined joined = {});
  ~Door() { close_all(); }
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;
  void open(const Address& at);  // throws std::runtime_error; its thread begins
  // New connections go to a successor, if one listens beside, which shares our limits: no more than `most`
  // are held from now on, where they can be spared.
  void yield(std::size_t most);
  void stop_accepting();        // whoever the kernel has let in already is taken in first
  void close_idle();            // stops accepting; ends each connection once it may be ended (Peer::close)
  void close_now();             // the same, not waiting for messages that have begun
  [[nodiscard]] bool closed();  // no connection is left
  void close_all();             // close_now, waited for, and the end of the thread
  // Connections let in, and those ended at a limit: a message not whole in time, answers left unread, room
  // for others, a queue that was full.
  struct Counts {
    std::atomic<std::uint64_t> accepted{0}, late{0}, unread{0}, room{0}, cut{0};
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  // Hands it to the open connection last heard of that takes it; false: there is none.
  bool push_to_any(const std::string& bytes);

 private:
  class Listener;
  void accept_some(Listener& listener);
  void admit(Fd fd);
  void left(Peer& peer);
  void make_room();  // with the lock held
  void close_peers(bool now);
  bool place();  // for one more; asks others to end where there is none
  std::atomic<std::size_t> most_;
  const Make make_;
  const Joined joined_;
  std::mutex lock_;
  std::condition_variable changed_;
  Counts counts_;
  std::unordered_map<Peer*, std::shared_ptr<Peer>> peers_;
  std::shared_ptr<Listener> listener_;
  std::unique_ptr<Loop> loop_;  // last: its turns end before what they use
};

}  // namespace reeltack::net
