// The connections of the link, those dialled and those that come in, and the task that accepts.
//
// Owns: the acceptor, the table of connections and their number. Must never: accept or dial beyond the
// bounds.
#pragma once

#include <map>

#include "fleet/link/connection.h"

namespace reeltack::fleet::link {

class Connections {
 public:
  explicit Connections(TaskContext around);
  void open();  // throws std::system_error
  void start();
  void dial(const Dial& dial);
  void send(const SendExchange& send);
  void hang_up(ConnectionId id);
  // No more are accepted, all are hung up; `done` once none is left, by then at once.
  void leave(std::function<void()> done);
  void close();  // all, at once, untold

 private:
  struct Line {
    std::shared_ptr<Connection> connection;
    std::uint32_t from = 0;  // of an accepted one: the peer's address
    bool accepted = false;
  };
  asio::awaitable<void> run();
  void take(asio::ip::tcp::socket socket);
  void ended(ConnectionId id);
  std::shared_ptr<Connection> find(ConnectionId id) const;

  TaskContext around_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  std::map<ConnectionId, Line> lines_;
  std::uint64_t next_ = 1;  // odd: of those accepted
  std::function<void()> done_;
};

}  // namespace reeltack::fleet::link
