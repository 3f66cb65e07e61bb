// One accepted connection of a front, as a state machine on its door's loop.
//
// Owns: its descriptor, what it has sent and is to be sent, the set-ups that came by it, and its orderly end.
// Must never: know what a peer says, or end while a set-up that came by it is open, but for its far end or a
// limit.
//
// Threads: what the front overrides runs on the loop's thread; push, cut, opened, stood, closed, spare,
// retire, close and close_by may be called from any. Times are absolute. A peer lives as long as anybody
// holds it, and is over (over()) once its connection has ended.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

#include "limits/patience.h"
#include "net/buffers.h"
#include "net/loop.h"

namespace reeltack::net {

// One accepted connection on its door's loop. Fronts derive from it. What the front overrides runs on the
// loop's thread; what others call (push, cut, opened, stood, closed) may come from any.
class Peer : public EventHandler, public std::enable_shared_from_this<Peer> {
 public:
  // `quiet`: after such a silence quiet() asks; max: it may stay quiet.
  explicit Peer(Fd fd, Duration quiet = Duration::max());

  // `over` is called once, on the loop's thread, when the connection has ended and may be let go.
  void begin(Loop& loop, std::function<void(Peer&)> over);
  // False: closed or ending, or the peer does not read; it is cut off in the last case. What was queued
  // before an orderly end still leaves.
  bool push(std::string bytes, std::uint64_t tag = 0, Outbox::Check check = {});
  [[nodiscard]] bool behind() const { return outbox_.behind(); }
  [[nodiscard]] bool blocked() const { return outbox_.blocked(); }
  void cut();  // at once, whatever is queued
  [[nodiscard]] bool over() const { return over_; }

  // The set-ups that came here and have no final answer yet, and those that stand.
  void opened(CallId call);
  void established(CallId call);
  void closed(CallId call);

  // Why it ended: by its far end, by our own orderly end, or at a limit.
  enum class EndReason { peer, local, timeout, unread, evicted, dropped };
  [[nodiscard]] EndReason end_reason() const { return end_reason_; }  // once it is over

  // How well it can be spared, the least first; kKept: not at all now.
  enum class EvictionRank { silent, idle, established, in_use };
  [[nodiscard]] EvictionRank eviction_rank() const;
  [[nodiscard]] Time heard() const { return Time{Duration{heard_.load()}}; }
  // Ends it for room, at once: what crosses the end is sent again by its caller. Only if it still can be
  // spared.
  void evict();
  // Ends it as soon as no set-up is open on it and all that has come is read: what comes until then is taken
  // and answered, for a close under an open set-up would lose what crosses it. A message that has begun is
  // waited for in its time, or not where it is to be `now`.
  void close(bool now);
  // Ends it whether or not its far end goes on sending: what has come is read once more, and nothing after
  // that. What is open gets its answers, our side is closed, and the far end's last bytes are dropped until
  // it has closed too, or `over_by`. What is still open then is waited for all the same.
  void close_by(Time over_by);
  [[nodiscard]] bool evicting() const { return evicting_; }
  // It is not ending, by either side, as far as the kernel knows: what is pushed now can still be read.
  [[nodiscard]] bool accepts_output() const { return !evicting_ && !answering_ && reachable(); }
  // Its far end has not closed, as far as the kernel knows, whether or not the loop has noticed.
  [[nodiscard]] bool reachable() const { return !over_ && !fd_.far_end_closed(); }

  void handle_event(bool ready) final;

 protected:
  enum class Next { more, end };  // end: nothing more is read; what is queued is still written
  // More has come: takes every whole message off the buffer.
  virtual Next received() = 0;
  // The message in the buffer, or the first one, was not whole in time; the last words may be pushed.
  virtual void late() {}
  // Our side was closed by our own orderly end, and more has come: nothing can be answered any more, but what
  // concerns other connections may be taken. Else it is dropped.
  [[nodiscard]] virtual bool takes_after_close() const { return false; }
  virtual void received_after_close() {}
  // Nothing has come for so long; asked again after as long.
  virtual Next quiet() { return Next::more; }
  // Once, with the set-ups that are open here: the far end has closed, or nothing more is read or answered.
  virtual void left(const std::set<CallId>& open) = 0;
  // Once, where there are any, as the connection is over: calls that stand, whose answers did not leave
  // whole, so that the far end knows it has none.
  virtual void unanswered(const std::set<CallId>& /*standing*/) {}
  // Whether set-ups that are open get their answers before the connection ends, where its far end has closed
  // its own way only, or was not understood. Else they are left with the last read.
  [[nodiscard]] virtual bool answers_open() const { return false; }

  void whole();    // a message was taken off the buffer
  Next hang_up();  // the last answer is queued: what the peer still sends is dropped, so that it arrives
  Buffer buffer_;

 private:
  // reading, answering what is open with no more read, writing what is queued, dropping what still comes
  // after a hang-up, and over.
  enum class Stage { reading, answering, writing, draining, over };
  void read();
  void read_rest();
  [[nodiscard]] bool may_close() const;
  void end_reading(EndReason why);
  void answer_open();
  void abandon_open(EndReason why);
  void tell_left();
  bool drop_input();
  bool take_input_after_close();
  bool take_or_drop_input();
  void note_written();
  void finish_writing(Outbox::Flushed how);
  void drain();
  void end();
  void arm();
  void keep_to_limits();
  void stop_reading();
  [[nodiscard]] EndReason broken() const;                   // why, where it could not be read or written
  [[nodiscard]] EvictionRank eviction_rank_locked() const;  // with the lock held

  Fd fd_;
  Outbox outbox_;
  Loop* loop_ = nullptr;
  Loop::Id id_ = 0;
  std::function<void(Peer&)> ended_;
  // Of the loop's thread.
  Stage stage_ = Stage::reading;
  EndReason end_reason_ = EndReason::peer;
  const Time connected_ = now();
  limits::Patience patience_;
  Time drained_by_ = kNever;
  std::size_t drained_ = 0;
  bool drains_ = false;
  bool orderly_ = false;  // closed by us between two messages
  bool left_told_ = false;

  mutable std::mutex lock_;
  std::set<CallId> open_;
  std::set<CallId> standing_;
  std::set<CallId> unwritten_;  // of these, with their answers not yet written whole
  std::atomic<Duration::rep> heard_{connected_.time_since_epoch().count()};
  std::atomic<bool> evicting_{false};
  std::atomic<bool> answering_{
      false};  // set before open_ is looked at, so that its last answer wakes the loop
  enum class Closing { no, when_idle, now, whatever_comes };
  std::atomic<Closing> closing_{Closing::no};
  std::atomic<Time::rep> over_by_{kNever.time_since_epoch().count()};  // of close_by()
  [[nodiscard]] Time over_by() const { return Time{Duration{over_by_.load()}}; }
  std::atomic<bool> over_{false};
  std::atomic<bool> cut_{false};
};

}  // namespace reeltack::net
