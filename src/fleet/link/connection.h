// The task of one connection: an exchange of frames with one peer, each way.
//
// Owns: its socket, what is queued to be written, and its deadline. Must never: queue beyond its bound, wait
// beyond its deadline, or tell anything once it has ended.
//
// A reader, a writer while something is queued, and a watch that ends the connection at its deadline.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "fleet/link/task.h"

namespace reeltack::fleet::link {

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Ended = std::function<void(ConnectionId)>;
  Connection(TaskContext around, ConnectionId id, asio::ip::tcp::socket socket, Ended ended);
  void dial(Endpoint to, MemberId member);
  void accepted();
  void send(std::string frame);  // closes it where its queue is full
  void hang_up();                // once what is queued is written; nothing more is told
  void end(bool told = true);    // at once

 private:
  using Self = std::shared_ptr<Connection>;
  asio::awaitable<void> run(Self self, std::optional<Endpoint> to);
  asio::awaitable<bool> read_frame();  // false: it is over
  asio::awaitable<void> write(Self self);
  asio::awaitable<void> watch(Self self);
  void limit(Duration from_now);
  void start(std::optional<Endpoint> to);
  void shut();
  bool malformed(std::optional<MemberId> who);  // false

  TaskContext around_;
  const ConnectionId id_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  Ended ended_;
  Clock::time_point deadline_, armed_;
  MemberId member_{};
  std::string body_;
  std::deque<std::string> out_;
  std::size_t queued_ = 0, frames_ = 0;
  bool up_ = false, writing_ = false, hanging_ = false, over_ = false;
};

}  // namespace reeltack::fleet::link
