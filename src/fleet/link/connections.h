// The link's connections, both dialled and accepted, and the coroutine that accepts.
//
// The number of connections, of accepted ones, and of accepted ones per peer address is bounded
// (LinkSettings); what exceeds a bound is closed and counted as refused. Runs on the link's thread only.
#pragma once

#include <map>

#include "fleet/link/connection.h"

namespace reeltack::fleet::link {

class Connections {
 public:
  explicit Connections(TaskContext context);
  void open();  // throws std::system_error
  void start();
  void dial(const Dial& dial);
  void send(const SendExchange& send);
  void hang_up(ConnectionId id);
  // Stops accepting and hangs up all connections. Calls `on_empty` once none is left, immediately if there is
  // none.
  void leave(std::function<void()> on_empty);
  void close();  // closes all immediately, without reporting Closed

 private:
  struct Entry {
    std::shared_ptr<Connection> connection;
    std::uint32_t from = 0;  // the peer's address; accepted connections only
    bool accepted = false;
  };
  asio::awaitable<void> run();
  void add_accepted(asio::ip::tcp::socket socket);
  void remove(ConnectionId id);
  std::shared_ptr<Connection> find(ConnectionId id) const;

  TaskContext context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::map<ConnectionId, Entry> entries_;
  std::uint64_t next_id_ = 1;  // accepted connections have odd ids
  std::function<void()> on_empty_;
};

}  // namespace reeltack::fleet::link
