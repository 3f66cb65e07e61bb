// Input buffer and output queue of one connection.
//
// Buffer holds bytes that were received and not yet consumed; Outbox holds a bounded amount of output.
// Neither interprets what it holds. Sizes are bytes, times absolute. Failures are reported by the returned
// value; errno is not preserved.
//
// Threads: a Buffer belongs to the thread that reads it; an Outbox may be used from any thread.
#pragma once

#include <deque>
#include <functional>
#include <mutex>

#include "net/net.h"

namespace reeltack::net {

inline constexpr std::size_t kMaxInputMessageBytes = std::size_t{16} * 1024;

enum class ReadResult { data, closed, no_data };
// Bytes received and not yet consumed. Grows as needed and is compacted in place.
class Buffer {
 public:
  ReadResult fill(const Fd& from, Time deadline);
  ReadResult fill_now(const Fd& from);  // without waiting
  [[nodiscard]] std::string_view view() const { return {data_.data() + begin_, end_ - begin_}; }
  void take(std::size_t n);
  [[nodiscard]] bool peer_reset() const { return peer_reset_; }  // closed: by a reset of the far end
  // More is held than one message may take.
  [[nodiscard]] bool full() const { return end_ - begin_ > kMaxInputMessageBytes; }

 private:
  std::string data_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  bool peer_reset_ = false;
};

// Output queue of one connection. No function waits: what cannot be written at once stays queued until the
// component that watches the descriptor calls flush() because it is writable again. Thread-safe.
class Outbox {
 public:
  // Called without the lock just before the message is written; false: the message is dropped unsent. It may
  // replace the bytes, since what was true when the message was queued may have changed.
  using Check = std::function<bool(std::string& bytes)>;
  // False: closed, or the queue is full because the peer does not read; the connection should end then.
  bool push(std::string bytes, std::uint64_t tag = 0, Check check = {});
  enum class Sent { whole, queued, refused };
  // Writes as much as the socket takes if nothing is queued before it; the rest is queued and needs a flush.
  Sent send(const Fd& to, std::string bytes);
  // True: the message had not begun to be written, and is removed.
  bool withdraw(std::uint64_t tag);
  // Writes as much as the socket takes. done: the queue is empty and finish() was called; broken: the
  // connection has failed, or its peer did not read one message within 2 s.
  enum class Flushed { all, blocked, done, broken };
  Flushed flush(const Fd& to);
  void finish();                         // accepts no more; what is queued is still written
  void abandon();                        // writes no more
  [[nodiscard]] bool finishing() const;  // finish() was called
  [[nodiscard]] bool behind() const;     // something is not written yet
  // The socket took only part of a message, so writability has to be watched for. Messages that are merely
  // queued do not count: a writable socket would be reported at once and repeatedly until they are flushed.
  [[nodiscard]] bool blocked() const;
  [[nodiscard]] bool congested() const;       // so much is queued that no more should be read from the peer
  [[nodiscard]] bool broken() const;          // nothing is written any more
  [[nodiscard]] bool unread() const;          // it broke because the peer did not read a message in time
  [[nodiscard]] bool peer_reset() const;      // it broke because the far end has reset the connection
  [[nodiscard]] Time write_deadline() const;  // deadline for the message that is being written

 private:
  // Hundreds of peers that do not read may each hold this much, which must fit into the smallest memory.
  static constexpr std::size_t kMaxOutboxBytes = std::size_t{64} * 1024;
  static constexpr std::size_t kCongestedBytes = std::size_t{8} * 1024;
  struct Item {
    std::string bytes;
    std::uint64_t tag = 0;
    Check check;
  };
  // Requires the lock. False: the connection has failed.
  bool write_some(const Fd& to);
  mutable std::mutex lock_;
  std::deque<Item> items_;
  std::size_t queued_ = 0;  // bytes of the items
  std::string partial_;     // unwritten rest of the message being written
  Time write_deadline_ = kNever;
  bool flushing_ = false;  // a flush is running, which also writes what is queued meanwhile
  bool finishing_ = false;
  bool closed_ = false;
  bool unread_ = false;
  bool peer_reset_ = false;
};

}  // namespace reeltack::net
