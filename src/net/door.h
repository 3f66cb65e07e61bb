// The accepting side of every front: a listener and the connections that came in by it.
//
// Owns: the accept loop, each peer's reader and writer, the limit on their number, the guards against peers
//   that say nothing, half a message or more than they read, and every connection's orderly end.
// Must never: know what a peer says, or close one that still waits for an answer to make room.
#pragma once

#include <atomic>
#include <condition_variable>
#include <list>
#include <memory>
#include <set>

#include "net/net.h"

namespace reeltack::net {

// One accepted connection: a thread that reads and, from when a peer first takes no more at once, one that
// writes. Fronts derive from it.
class Peer : public std::enable_shared_from_this<Peer> {
 public:
  explicit Peer(Fd fd) : fd_(std::move(fd)) {}
  virtual ~Peer() { join(); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  [[nodiscard]] bool begin(std::string& why);  // false where no thread can be had, the reason in `why`
  // False: closed, or the peer does not read; it is cut off then.
  bool push(std::string bytes, std::uint64_t tag = 0, Outbox::Check check = {});
  [[nodiscard]] bool behind() const { return outbox_.behind(); }
  void cut();  // at once, whatever is queued
  void finish() { outbox_.finish(); }
  void join();
  [[nodiscard]] bool over() const { return over_; }

  // The set-ups that came here and have no final answer yet, and those that stand.
  void opened(CallId call);
  void stood(CallId call);
  void closed(CallId call);

  // How well it can be spared, the least first; kKept: not at all now.
  enum class Spare { silent, idle, standing, kept };
  [[nodiscard]] Spare spare() const;
  [[nodiscard]] Time heard() const { return Time{Duration{heard_.load()}}; }
  // Ends it for room, at once: what crosses the end is sent again by its caller. Only if it still can be
  // spared.
  void retire();
  void close();  // reads on to what has come already, answers that, and ends
  [[nodiscard]] bool retiring() const { return retiring_; }

 protected:
  // The reader's life, on its own thread; what it leaves queued is still written.
  virtual void read() = 0;
  // After the last read, with the set-ups that were open here.
  virtual void left(const std::set<CallId>& open) = 0;

  // For the reader: more of the next message. Late: `look` has passed, or the message is overdue.
  Got more(Time look = kNever);
  // By when it must be whole: a peer that has sent none is given as long as one that is in the middle of one;
  // one that has may stay quiet for good.
  [[nodiscard]] Time due() const;
  [[nodiscard]] bool overdue() const { return now() >= due(); }
  void whole();    // a message was taken off the buffer
  void hang_up();  // the last answer is queued: what the peer still sends is dropped, so that it arrives

  Fd fd_;
  Buffer buffer_;

 private:
  void live();
  bool need_writer();
  [[nodiscard]] Spare spare_now() const;  // with the lock held
  Outbox outbox_;
  mutable std::mutex lock_;
  std::condition_variable answered_;
  std::set<CallId> open_;
  std::set<CallId> standing_;
  const Time connected_ = now();
  Time begun_ = connected_;  // of the message in the buffer
  bool drains_ = false;
  bool has_writer_ = false;
  bool ends_ = false;                // the reader writes what is left itself
  bool waiting_ = false;             // the reader holds nothing of the peer's, and waits for more
  std::atomic<bool> served_{false};  // a whole message came
  std::atomic<Duration::rep> heard_{connected_.time_since_epoch().count()};
  std::atomic<bool> retiring_{false};
  std::atomic<bool> closing_{false};
  std::atomic<bool> over_{false};
  Thread writer_;
  Thread reader_;
};

class Door {
 public:
  using Make = std::function<std::shared_ptr<Peer>(Fd)>;
  using Joined = std::function<void(Peer&)>;
  Door(std::size_t most, Make make, Joined joined = {});
  ~Door() { close_all(); }
  void open(const Address& at);                  // throws std::runtime_error
  void yield() const { yield_port(listener_); }  // new connections go to a successor, if one listens beside
  void stop_accepting();
  void close_all();  // writes what is queued, then ends every connection
  // Hands it to the open connection last heard of that takes it; false: there is none.
  bool push_to_any(const std::string& bytes);

 private:
  void accept_loop();
  void admit(Fd fd);
  void make_room();  // with the lock held
  // False while there is no place for one more, or no descriptor.
  bool reap();
  const std::size_t most_;
  const Make make_;
  const Joined joined_;
  Fd listener_;
  std::atomic<bool> accepting_{false};
  std::mutex lock_;
  std::list<std::shared_ptr<Peer>> peers_;
  Thread thread_;
};

}  // namespace reeltack::net
