// One accepted connection of a frontend, as a state machine on its listener's loop.
//
// A peer holds the descriptor, the input buffer and output queue, the set-ups received on the connection, and
// its orderly end. It does not end while a set-up received on it is open, unless the far end closes or a
// limit is exceeded. Message formats are left to the subclasses.
//
// Threads: the functions that subclasses override run on the loop's thread; push, cut, set_quiet_limit,
// opened, established, closed, eviction_rank, evict, close and close_by may be called from any thread. Times
// are absolute. A peer lives while any component holds it, and over() is true once its connection has ended.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

#include "limits/memory_shares.h"
#include "limits/peer_deadlines.h"
#include "net/buffers.h"
#include "net/loop.h"

namespace reeltack::net {

// One accepted connection; frontends derive from it.
class Peer : public EventHandler, public std::enable_shared_from_this<Peer> {
 public:
  // `quiet`: the silence after which on_quiet() is called; max: never.
  explicit Peer(Fd fd, Duration quiet = Duration::max());

  // `over` is called once, on the loop's thread, when the connection has ended and may be released.
  void begin(Loop& loop, std::function<void(Peer&)> over);
  // Queues output. False: closed or ending, or the peer does not read, in which case the connection is cut.
  // What was queued before an orderly end is still written.
  bool push(std::string bytes, std::uint64_t tag = 0, Outbox::Check check = {});
  [[nodiscard]] bool behind() const { return outbox_.behind(); }
  [[nodiscard]] bool blocked() const { return outbox_.blocked(); }
  void cut();                            // ends the connection at once, whatever is queued
  void set_quiet_limit(Duration quiet);  // in place of the constructor's
  [[nodiscard]] bool over() const { return over_; }

  // A set-up was received here; its call was established; it was answered otherwise, or its call has ended.
  void opened(CallId call);
  void established(CallId call);
  void closed(CallId call);

  // How it ended: by its far end, by our own orderly end, at a limit (timeout, unread), or by evict() or
  // cut().
  enum class EndReason { peer, local, timeout, unread, evicted, dropped };
  // Accounts for the memory of its requests.
  [[nodiscard]] limits::MemoryShares::Owner owner() const { return owner_; }
  [[nodiscard]] EndReason end_reason() const { return end_reason_; }  // valid once over()

  // Order of eviction: the first are evicted first; fresh (nothing sent, within its grace) and in_use: not at
  // present.
  enum class EvictionRank { silent, idle, established, fresh, in_use };
  [[nodiscard]] EvictionRank eviction_rank() const;
  [[nodiscard]] Time last_received() const { return Time{Duration{last_received_.load()}}; }
  // Ends the connection at once in favour of others, if it may still be evicted. The caller sends again what
  // crosses the end.
  void evict();
  // Ends the connection as soon as no set-up is open on it and all input is read: what arrives until then is
  // handled and answered, since a close under an open set-up would lose what crosses it. A partial message is
  // awaited within its time limit, unless `now` is set.
  void close(bool now);
  // Ends the connection even if its far end goes on sending: what has arrived is read once more, and nothing
  // after that. Open set-ups get their answers, our side is closed, and the far end's last bytes are dropped
  // until it has closed too, or until `over_by`. Set-ups that are still open then are awaited all the same.
  void close_by(Time over_by);
  [[nodiscard]] bool evicting() const { return evicting_; }
  // Neither side is ending it, as far as the kernel knows: what is pushed now can still be read.
  [[nodiscard]] bool accepts_output() const { return !evicting_ && !answering_ && reachable(); }
  // Its far end has not closed, as far as the kernel knows, whether or not the loop has noticed.
  [[nodiscard]] bool reachable() const { return !over_ && !fd_.far_end_closed(); }

  void handle_event(bool ready) final;

 protected:
  enum class Next { more, end };  // end: stop reading; what is queued is still written
  // Bytes have arrived: consumes every complete message in the buffer.
  virtual Next received() = 0;
  // The message in the buffer, or the first one, was not complete in time; a last message may be pushed.
  virtual void on_timeout() {}
  // Whether input that arrives after our own orderly end is passed to received_after_close(): it can no
  // longer be answered, but may concern other connections. Otherwise it is dropped.
  [[nodiscard]] virtual bool takes_after_close() const { return false; }
  virtual void received_after_close() {}
  // Nothing has arrived for the quiet period; called again after each further one.
  virtual Next on_quiet() { return Next::more; }
  // Called once with the set-ups open here: the far end has closed, or nothing more is read or answered.
  virtual void on_left(const std::set<CallId>& open) = 0;
  // Called once as the connection ends, if there are any: established calls whose answers were not completely
  // written, so that the far end does not know of them.
  virtual void on_unanswered(const std::set<CallId>& /*established*/) {}
  // Whether others depend on the connection, so that it is never evicted.
  [[nodiscard]] virtual bool is_essential() const { return false; }
  // Whether open set-ups are answered before the connection ends when its far end has closed only its own
  // direction or sent a malformed message. Otherwise they are abandoned with the last read.
  [[nodiscard]] virtual bool answers_open() const { return false; }

  void message_complete();  // a complete message was consumed
  Next hang_up();  // ends after the queued answer, discarding further input so that the answer arrives
  Buffer buffer_;

 private:
  // answering: no more is read, open set-ups await their answers; writing: the queue is written; draining:
  // further input is discarded after our close.
  enum class Stage { reading, answering, writing, draining, over };
  void read();
  void read_rest();
  [[nodiscard]] bool may_close() const;
  void end_reading(EndReason reason);
  void answer_open();
  void abandon_open(EndReason reason);
  void notify_left();
  bool drop_input();
  bool take_input_after_close();
  bool take_or_drop_input();
  void note_written();
  void finish_writing(Outbox::Flushed how);
  void drain();
  void end();
  void arm();
  void enforce_limits();
  void stop_reading();
  [[nodiscard]] EndReason broken() const;                   // the reason, if it could not be read or written
  [[nodiscard]] EvictionRank eviction_rank_locked() const;  // requires the lock

  Fd fd_;
  Outbox outbox_;
  const limits::MemoryShares::Owner owner_;
  Loop* loop_ = nullptr;
  Loop::Id id_ = 0;
  std::function<void(Peer&)> ended_;
  // Used on the loop's thread only.
  Stage stage_ = Stage::reading;
  EndReason end_reason_ = EndReason::peer;
  const Time connected_ = now();
  limits::PeerDeadlines patience_;
  Time drained_by_ = kNever;
  std::size_t drained_ = 0;
  bool drain_input_ = false;
  bool closed_between_messages_ = false;  // by our own orderly end
  bool left_notified_ = false;

  mutable std::mutex lock_;
  std::set<CallId> open_;
  std::set<CallId> established_;
  std::set<CallId> unwritten_;  // of established_, the calls whose answer is not completely written
  std::atomic<Duration::rep> last_received_{connected_.time_since_epoch().count()};
  std::atomic<bool> evicting_{false};
  std::atomic<bool> answering_{false};  // set before open_ is read, so that the last answer wakes the loop
  enum class Closing { no, when_idle, now, despite_input };
  std::atomic<Closing> closing_{Closing::no};
  std::atomic<Time::rep> over_by_{kNever.time_since_epoch().count()};  // of close_by()
  [[nodiscard]] Time over_by() const { return Time{Duration{over_by_.load()}}; }
  std::atomic<bool> over_{false};
  std::atomic<bool> cut_{false};
  std::atomic<Duration> quiet_limit_;
};

}  // namespace reeltack::net
