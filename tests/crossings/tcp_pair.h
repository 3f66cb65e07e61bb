// Two ends of a TCP connection on loopback, the near one as a listener gives it out.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include "net/net.h"

namespace reeltack::test {

struct TcpPair {
  TcpPair() {
    const net::Fd listening = net::listen_on({"127.0.0.1", 0});
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(listening.get(), reinterpret_cast<sockaddr*>(&at), &size);
    const Time by = net::now() + std::chrono::seconds(20);
    far = net::dial({"127.0.0.1", ntohs(at.sin_port)}, by).fd;
    near = net::accept_one(listening, by);
    EXPECT_TRUE(far && near);
  }
  net::Fd far;
  net::Fd near;
};

// Closes with a reset (RST), as a process that dies with data unread.
inline void reset(net::Fd& fd) {
  const linger hard{1, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  fd.reset();
}

// Waits until the kernel holds the far end's close, or what else `seen` looks for.
template <class Seen>
bool await_kernel(Seen seen) {
  for (int looks = 0; looks < 20'000; ++looks) {
    if (seen()) return true;
    net::pause_until(net::now() + std::chrono::milliseconds(1));
  }
  return false;
}
inline bool await_far_close(const net::Fd& near) {
  return await_kernel([&] { return near.far_end_closed(); });
}

}  // namespace reeltack::test
