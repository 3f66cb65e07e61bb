#include "net/keep_alive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "net/system_calls.h"

namespace reeltack::net {
namespace {

// Together below the time in which calls at an office that is gone must be released.
constexpr int kIdleSeconds = 1;
constexpr int kIntervalSeconds = 1;
constexpr int kProbes = 3;

void set_option(const Fd& connection, int level, int name, int value) {
  sys::setsockopt(connection.get(), level, name, &value, sizeof value);
}

}  // namespace

void keep_alive(const Fd& connection) {
  set_option(connection, IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  set_option(connection, IPPROTO_TCP, TCP_KEEPINTVL, kIntervalSeconds);
  set_option(connection, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  set_option(connection, SOL_SOCKET, SO_KEEPALIVE, 1);
}

}  // namespace reeltack::net
