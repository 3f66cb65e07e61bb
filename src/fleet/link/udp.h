// The task of datagrams.
//
// Owns: the UDP socket. Must never: wait for a socket that takes nothing, or read without a bound.
#pragma once

#include <vector>

#include "fleet/link/task.h"

namespace reeltack::fleet::link {

class UdpTask {
 public:
  explicit UdpTask(TaskContext around);
  void open();  // throws std::system_error
  void start();
  void send(const SendMembership& datagram);
  void send(const SendPush& news);
  // Reads and tells what lies in the socket. False: this host has no memory to read it now.
  bool drain(std::size_t most);
  void close();

 private:
  asio::awaitable<void> run();
  void take(std::string_view bytes);
  template <class Sent>
  void carry(const Sent& sent);

  TaskContext around_;
  asio::ip::udp::socket socket_;
  asio::steady_timer pause_;
  std::vector<char> buffer_;
};

}  // namespace reeltack::fleet::link
