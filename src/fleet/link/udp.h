// The UDP socket of the link and the coroutine that reads it.
//
// Sending never waits: a datagram that the socket does not accept is dropped and counted. The number of
// datagrams read at once is bounded. Runs on the link's thread only.
#pragma once

#include <vector>

#include "fleet/link/task.h"

namespace reeltack::fleet::link {

class UdpTask {
 public:
  explicit UdpTask(TaskContext context);
  void open();  // throws std::system_error
  void start();
  void send(const SendMembership& message);
  void send(const SendPush& push);
  // Reads at most `max` datagrams from the socket and reports them. Returns false if the host lacks the
  // memory to read.
  bool drain(std::size_t max);
  void close();

 private:
  asio::awaitable<void> run();
  void handle(std::string_view bytes);
  template <class Datagram>
  void send_encoded(const Datagram& datagram);

  TaskContext context_;
  asio::ip::udp::socket socket_;
  asio::steady_timer retry_timer_;
  std::vector<char> buffer_;
};

}  // namespace reeltack::fleet::link
