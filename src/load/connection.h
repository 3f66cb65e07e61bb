// One connection of the player to a target, made anew as often as it breaks.
//
// Owns: the socket, what waits to be written on it, and the tries that left on it and have no answer.
// Must never: judge an answer, or lose a try that has not left: that goes on the next connection.
//
// Threads: the io_context's alone. The owner outlives its connections.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/asio.h"
#include "load/wire.h"

namespace reeltack::load {

class Connection;

// Bytes that wait on all connections of a run, within their bound.
class Backlog {
 public:
  explicit Backlog(std::size_t most) : most_(most) {}
  // `must`: the end of a call always finds room: it is small, and what it ends must not stay.
  bool take(std::size_t bytes, bool must) {
    if (!must && waits_ + bytes > most_) return false;
    waits_ += bytes;
    return true;
  }
  void give(std::size_t bytes) { waits_ -= bytes; }

 private:
  const std::size_t most_;
  std::size_t waits_ = 0;
};

// What a connection tells its owner, and asks of it.
class Connected {
 public:
  virtual ~Connected() = default;
  virtual void pump() = 0;          // what is due comes before more is read or written
  virtual void sent(TryId id) = 0;  // its first byte has gone
  virtual void said(Connection& from, const Said& said) = 0;
  virtual void broke() = 0;                        // it had been up
  virtual void lost(TryId id) = 0;                 // it had begun to leave, and its answer cannot come
  [[nodiscard]] virtual bool started() const = 0;  // before, nothing that is said counts
  virtual void mark(Connection& connection) = 0;   // it has something to write
};

class Connection {
 public:
  Connection(Connected& owner, Backlog& backlog, boost::asio::io_context& io, const Target& target,
             std::uint64_t seed);

  void dial();
  // False: the backlog is full.
  bool queue(std::string bytes, TryId id, bool counted);
  void flush();
  void close();
  void await(TryId id) { awaited_.insert(id); }
  void settled(TryId id) { awaited_.erase(id); }
  [[nodiscard]] Wire& wire() { return *wire_; }
  [[nodiscard]] bool up() const { return up_ && wire_->ready(); }
  bool dirty = false;

 private:
  struct Message {
    std::string bytes;
    TryId id{};
  };
  void read();
  void taken(std::size_t n);
  void broke();
  Connected& owner_;
  Backlog& backlog_;
  const Target target_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::uint64_t seed_;
  std::unique_ptr<Wire> wire_;
  bool up_ = false;
  bool closing_ = false;
  bool waiting_ = false;  // for the socket to take more
  Duration again_;
  std::vector<char> read_;
  std::size_t held_ = 0;
  std::string urgent_;  // the wire's own: before all else
  std::deque<Message> out_;
  std::size_t begun_ = 0;  // bytes of the first message that have left
  std::unordered_set<TryId> awaited_;
};

}  // namespace reeltack::load
