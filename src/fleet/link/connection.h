// One TCP connection, on which two members exchange frames in both directions.
//
// Three coroutines: one reads, one writes while frames are queued, and one closes the connection at its
// deadline. The queue of outgoing frames and the time between two received frames are bounded. No event is
// reported after the connection has ended. Runs on the link's thread only.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "fleet/link/task.h"

namespace reeltack::fleet::link {

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using OnEnded = std::function<void(ConnectionId)>;
  Connection(TaskContext context, ConnectionId id, asio::ip::tcp::socket socket, OnEnded on_ended);
  void dial(Endpoint to, MemberId member);
  void start_accepted();
  void send(std::string frame);  // ends the connection if its queue is full
  void hang_up();                // closes after the queued frames were written; reports no further event
  void end(bool report = true);  // closes immediately; reports Closed if `report`

 private:
  using Self = std::shared_ptr<Connection>;
  asio::awaitable<void> run(Self self, std::optional<Endpoint> to);
  asio::awaitable<bool> read_frame();  // false: the connection is to be ended
  asio::awaitable<void> write(Self self);
  asio::awaitable<void> enforce_deadline(Self self);
  void set_deadline(Duration from_now);
  void start(std::optional<Endpoint> to);
  void shut_down_sending();
  bool malformed(std::optional<MemberId> sender);  // counts and reports; always false

  TaskContext context_;
  const ConnectionId id_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  OnEnded on_ended_;
  Clock::time_point deadline_, armed_;
  MemberId member_{};
  std::string body_;
  std::deque<std::string> outgoing_;
  std::size_t queued_bytes_ = 0, frames_ = 0;
  bool established_ = false, writing_ = false, hanging_up_ = false, ended_ = false;
};

}  // namespace reeltack::fleet::link
