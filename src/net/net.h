// Sockets under every front.
//
// Owns: descriptors (RAII), and what is asked of the system with one.
// Must never: know a message, decide anything, or take a span of time where an absolute deadline can be had.
#pragma once

#include <poll.h>

#include <string>
#include <string_view>
#include <utility>

#include "base/base.h"

namespace reeltack::net {

using namespace base;  // what is no socket, under the names by which the wires know it

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
  void shut() const;        // both ways: wakes whoever reads or writes it
  void shut_read() const;   // wakes whoever reads it, once what has come is read
  void shut_write() const;  // what was written arrives, and then the end
  [[nodiscard]] bool unread() const;
  [[nodiscard]] bool far_end_closed() const;  // its end, or a break, has come; what came before may be unread

 private:
  int fd_ = -1;
};

// `shortage`: this host has no port, route, descriptor or memory for it now, which says nothing of the far
// end.
enum class Dial { up, refused, failed, shortage, pending };
struct Dialled {
  Fd fd;
  Dial how = Dial::failed;
};
Dialled dial(const Address& to, Time deadline);
// Shares the port with whoever else listens on it (SO_REUSEPORT). Throws std::runtime_error.
Fd listen_on(const Address& at);
// New connections go to the listener that joined the port next after this one, if there is one: socket(7),
// SO_ATTACH_REUSEPORT_CBPF. Needs no rights; where the kernel has no such thing, the port stays shared.
// False: the kernel refused it, and the port stays shared.
bool yield_port(const Fd& listener);
bool write_all(const Fd& to, std::string_view bytes, Time by = kNever);  // false: over, or not read in time
bool readable(const Fd& from, Time by);                                  // something has come, or the end
void drain(const Fd& from, Time by, std::size_t most);  // reads and drops, until the end or a bound
void pause_until(Time at);
// One connection out of a listener's queue, without waiting.
struct Accepted {
  // `lost`: that one had ended already, or a signal came: the next may be there. `shortage`: there is no
  // descriptor or memory, and it stays in the queue.
  enum class How { up, none, lost, shortage };
  How how = How::none;
  Fd fd{};
};
Accepted try_accept(const Fd& listener);
Fd accept_one(const Fd& listener, Time deadline);  // none: none came in time, or there was no room for it
// poll(2), which a failure does not turn into a busy loop: nothing is ready then.
void poll_some(pollfd* polled, std::size_t count, int milliseconds);
// A connection that is coming up: begun without waiting, then asked how it stands.
Fd begin_dial(const Address& to, Dial& how);  // Dial::pending: it can be written once it is up or has failed
Dial dial_state(const Fd& fd);

}  // namespace reeltack::net
