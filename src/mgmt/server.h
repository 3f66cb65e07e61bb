// The management address: a TCP listener for operators, one line a connection, on a thread of its own.
//
// Owns: the listener, at most kMostCallers connections, each one's bytes and idle limit, and the answer's
//   writing.
// Must never: wait on the core or on a caller, decide anything, or let a caller hold it past its limit.
//
// Threads: one, its own, waiting in poll(2); `state` is called on it and must not block (it reads atomics).
// Limits: a caller has kIdle from its connection to its whole line, then gets "ERR idle" and is closed;
// past kMostCallers open ones, a new one gets "ERR busy" and is closed at once. An answer is written without
// waiting; what does not fit into the socket's buffer at once is dropped with the connection.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>

#include "mgmt/line.h"
#include "net/net.h"

namespace reeltack::mgmt {

inline constexpr std::size_t kMostCallers = 64;
inline constexpr std::chrono::milliseconds kIdle{2000};

class Server {
 public:
  using StateOf = std::function<State()>;
  explicit Server(StateOf state) : state_(std::move(state)) {}
  ~Server() { close(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  void open(const net::Address& at);  // throws std::runtime_error; shares the port (SO_REUSEPORT)
  void close();                       // ends the thread and every connection

  // For tests: callers closed for their limit, refused for the bound, answered.
  struct Counts {
    std::atomic<std::uint64_t> idle{0}, refused{0}, answered{0}, errors{0};
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  void run();
  const StateOf state_;
  net::Fd listener_;
  std::atomic<bool> stopping_{false};
  Counts counts_;
  net::Thread thread_;
};

}  // namespace reeltack::mgmt
