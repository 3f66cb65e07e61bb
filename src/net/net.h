// TCP sockets: an RAII descriptor, dialling, listening, accepting, and bounded reads and writes.
//
// Times are absolute deadlines of the steady clock (base::now()). Nothing here knows a message format.
#pragma once

#include <poll.h>

#include <string>
#include <string_view>
#include <utility>

#include "base/base.h"

namespace reeltack::net {

using namespace base;  // so that protocol code can name base types and functions through net::

class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept;
  ~Fd() { reset(); }
  [[nodiscard]] int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void reset();
  void shut() const;                          // both ways: wakes threads that read or write it
  void shut_read() const;                     // wakes a reading thread once what has arrived is read
  void shut_write() const;                    // the far end reads what was written, then the end
  [[nodiscard]] bool unread() const;          // bytes have arrived that were not read yet
  [[nodiscard]] bool far_end_closed() const;  // closed or reset; bytes that came before may be unread

 private:
  int fd_ = -1;
};

// `shortage`: this host currently has no port, route, descriptor or memory for the connection, which is no
// evidence about the far end.
enum class Dial { up, refused, failed, shortage, pending };
struct Dialled {
  Fd fd;
  Dial how = Dial::failed;
};
Dialled dial(const Address& to, Time deadline);
// Shares the port with other listeners on it (SO_REUSEPORT). Throws std::runtime_error.
Fd listen_on(const Address& at);
// Directs new connections to the listener that joined the port next after this one, if there is one:
// socket(7), SO_ATTACH_REUSEPORT_CBPF. Needs no privileges. False: the kernel does not support it or refused,
// and the port stays shared.
bool yield_port(const Fd& listener);
bool write_all(const Fd& to, std::string_view bytes,
               Time by = kNever);                       // false: connection ended, or not read in time
bool readable(const Fd& from, Time by);                 // bytes or the end have arrived
void drain(const Fd& from, Time by, std::size_t most);  // discards input until the end or a bound
void pause_until(Time at);
// Takes one connection from a listener's queue, without waiting.
struct Accepted {
  // `lost`: the connection had ended already, or a signal interrupted; another may be queued. `shortage`: no
  // descriptor or memory is available, and the connection stays in the queue.
  enum class How { up, none, lost, shortage };
  How how = How::none;
  Fd fd{};
};
Accepted try_accept(const Fd& listener);
Fd accept_one(const Fd& listener, Time deadline);  // empty: none arrived in time, or resources were short
// poll(2) that does not become a busy loop on failure: it then reports nothing ready after a pause.
void poll_some(pollfd* polled, std::size_t count, int milliseconds);
// Non-blocking connect: begin_dial() starts it, dial_state() returns its progress.
Fd begin_dial(const Address& to, Dial& how);  // Dial::pending: writable once it is up or has failed
Dial dial_state(const Fd& fd);
void clear_nonblocking(const Fd& fd);  // of a connection that has come up

}  // namespace reeltack::net
