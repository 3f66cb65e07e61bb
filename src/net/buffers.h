// What a connection has received and not yet taken, and what it is to send.
//
// Owns: the one input buffer of a connection, and its bounded queue of output.
// Must never: wait, know a message, or decide anything.
//
// Threads: a Buffer is its reader's alone; an Outbox may be used by any. Sizes are bytes, times absolute.
// What has failed is said by the value returned; errno is not kept.
#pragma once

#include <deque>
#include <functional>
#include <mutex>

#include "net/net.h"

namespace reeltack::net {

inline constexpr std::size_t kMaxInputMessageBytes = std::size_t{16} * 1024;

enum class ReadResult { data, closed, no_data };
// What a connection has received and not yet taken: grows as needed, compacted in place.
class Buffer {
 public:
  ReadResult fill(const Fd& from, Time deadline);
  ReadResult fill_now(const Fd& from);  // without waiting
  [[nodiscard]] std::string_view view() const { return {data_.data() + from_, to_ - from_}; }
  void take(std::size_t n);
  [[nodiscard]] bool full() const { return to_ - from_ > kMaxInputMessageBytes; }

 private:
  std::string data_;
  std::size_t from_ = 0;
  std::size_t to_ = 0;
};

// The queue of output of one connection. Nothing here ever waits: what does not go at once stays queued, and
// whoever watches the descriptor flushes it when it can be written again. Any thread.
class Outbox {
 public:
  // Asked as the message is about to leave, with no lock held; false: it is dropped unsent. It may put other
  // bytes in the message's place, for what was true when it was queued may not be true any more.
  using Check = std::function<bool(std::string& bytes)>;
  // False: closed, or the peer does not read and the queue is full; the connection should end then.
  bool push(std::string bytes, std::uint64_t tag = 0, Check check = {});
  enum class Sent { whole, queued, refused };
  // Writes what goes without waiting, if nothing is before it; the rest is queued and needs a flush.
  Sent send(const Fd& to, std::string bytes);
  bool withdraw(std::uint64_t tag);  // true: it had not begun to leave and never will
  // Writes what goes now. done: nothing is left, and nothing more will come; broken: the connection has
  // failed, or its peer has not read one message within 2 s.
  enum class Flushed { all, blocked, done, broken };
  Flushed flush(const Fd& to);
  void finish();                         // nothing more is taken; what is queued still leaves
  void abandon();                        // nothing more leaves
  [[nodiscard]] bool finishing() const;  // finish() was called
  [[nodiscard]] bool behind() const;     // something is still unwritten
  // The socket took only a part: whoever watches it waits for it to take more. What is merely queued is not
  // waited for so, since a socket that takes all would show at once, and again, until its writer comes.
  [[nodiscard]] bool blocked() const;
  [[nodiscard]] bool crowded() const;  // so much that no more should be read of its peer
  [[nodiscard]] bool broken() const;   // nothing leaves any more
  [[nodiscard]] bool unread() const;   // it broke because a message was not read in time
  [[nodiscard]] Time due() const;      // by when its peer must have read what is being written

 private:
  // By hundreds of peers that do not read, so much must fit into the least memory.
  static constexpr std::size_t kMostQueued = std::size_t{64} * 1024;
  static constexpr std::size_t kMuchQueued = std::size_t{8} * 1024;
  struct Item {
    std::string bytes;
    std::uint64_t tag = 0;
    Check check;
  };
  // With the lock held. False: it has failed.
  bool write_some(const Fd& to);
  mutable std::mutex lock_;
  std::deque<Item> items_;
  std::size_t queued_ = 0;  // bytes of the items
  std::string leaving_;     // the rest of a message that has begun to leave
  Time read_by_ = kNever;
  bool busy_ = false;  // a flush is at it, and takes what is queued meanwhile
  bool finishing_ = false;
  bool closed_ = false;
  bool unread_ = false;
};

}  // namespace reeltack::net
