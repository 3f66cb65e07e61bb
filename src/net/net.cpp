#include "net/net.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <thread>

#include "net/system_calls.h"

namespace reeltack::net {
namespace {

// Pause before retrying a call that failed for want of memory or descriptors.
constexpr auto kShortageRetry = std::chrono::milliseconds(1);

constexpr int kListenBacklog = 512;

// Waits until the descriptor is ready; false at the deadline.
bool wait_for(int fd, short what, Time deadline) {
  for (;;) {
    int wait = -1;
    if (deadline != kNever) {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - now()).count();
      wait = static_cast<int>(std::clamp<std::int64_t>(left, 0, 3600'000));
    }
    pollfd p{fd, what, 0};
    const int n = sys::poll(&p, 1, wait);
    if (n > 0) return true;
    if (n <= 0 && now() >= deadline) return false;
    if (n < 0 && errno != EINTR) std::this_thread::sleep_for(kShortageRetry);  // ENOMEM
  }
}

std::optional<sockaddr_in> resolve(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  if (::inet_pton(AF_INET, address.host.c_str(), &out.sin_addr) != 1) return std::nullopt;
  return out;
}

// Temporary shortages of this host.
bool is_shortage(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

// A failure is ignored: answers come later without it, and nothing else depends on it.
void no_delay(int fd) {
  const int on = 1;
  sys::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

[[noreturn]] void cannot_listen(const Address& at, const char* call, int error) {
  throw std::runtime_error("cannot listen on " + to_text(at) + ": " + call + ": " + std::strerror(error));
}

}  // namespace

Fd& Fd::operator=(Fd&& other) noexcept {
  if (this != &other) {
    reset();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}
void Fd::reset() {
  if (fd_ >= 0) sys::close(fd_);  // the descriptor is released whatever is returned, so no retry
  fd_ = -1;
}
void Fd::shut() const {
  if (fd_ >= 0) sys::shutdown(fd_, SHUT_RDWR);
}

void Fd::shut_read() const {
  if (fd_ >= 0) sys::shutdown(fd_, SHUT_RD);
}
void Fd::shut_write() const {
  if (fd_ >= 0) sys::shutdown(fd_, SHUT_WR);
}
bool Fd::unread() const {
  if (fd_ < 0) return false;
  int waiting = 0;
  if (sys::ioctl(fd_, FIONREAD, &waiting) == 0) return waiting > 0;
  char first = 0;
  return sys::recv(fd_, &first, 1, MSG_PEEK) > 0;  // a failure to tell is no sign that nothing waits
}

bool Fd::far_end_closed() const {
  pollfd p{fd_, POLLRDHUP, 0};
  return fd_ < 0 || (sys::poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

Fd begin_dial(const Address& to, Dial& how) {
  how = Dial::failed;
  const auto target = resolve(to);
  if (!target) return {};
  Fd fd(sys::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!fd) {
    if (is_shortage(errno)) how = Dial::shortage;
    return {};
  }
  no_delay(fd.get());
  if (sys::connect(fd.get(), reinterpret_cast<const sockaddr*>(&*target), sizeof *target) == 0) {
    how = Dial::up;
  } else if (errno == EINPROGRESS || errno == EINTR) {  // after a signal the connect continues by itself
    how = Dial::pending;
  } else if (is_shortage(errno) || errno == EADDRNOTAVAIL || errno == EAGAIN || errno == ENETUNREACH) {
    how = Dial::shortage;
  } else if (errno == ECONNREFUSED) {
    how = Dial::refused;
  }
  return how == Dial::up || how == Dial::pending ? std::move(fd) : Fd{};
}
Dial dial_state(const Fd& fd) {
  if (!wait_for(fd.get(), POLLOUT, Time{})) return Dial::pending;
  int error = 0;
  socklen_t size = sizeof error;
  if (sys::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) return Dial::failed;
  if (error == ECONNREFUSED) return Dial::refused;
  return error == 0 ? Dial::up : Dial::failed;
}
void clear_nonblocking(const Fd& fd) {
  // Reads and writes never block here (MSG_DONTWAIT), so a failure is harmless.
  const int flags = sys::fcntl(fd.get(), F_GETFL);
  if (flags >= 0) sys::fcntl(fd.get(), F_SETFL, flags & ~O_NONBLOCK);
}
Dialled dial(const Address& to, Time deadline) {
  Dialled out;
  out.fd = begin_dial(to, out.how);
  if (out.how == Dial::pending)
    out.how = wait_for(out.fd.get(), POLLOUT, deadline) ? dial_state(out.fd) : Dial::failed;
  if (out.how != Dial::up) return {Fd{}, out.how};
  clear_nonblocking(out.fd);
  return out;
}

Fd listen_on(const Address& at) {
  const auto target = resolve(at);
  if (!target) throw std::runtime_error("cannot listen on " + to_text(at) + ": no IPv4 address");
  Fd fd(sys::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!fd) cannot_listen(at, "socket", errno);
  const int on = 1;
  sys::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  // A replacement process listens on the same port until this process has ended.
  sys::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  if (sys::bind(fd.get(), reinterpret_cast<const sockaddr*>(&*target), sizeof *target) != 0)
    cannot_listen(at, "bind", errno);
  if (sys::listen(fd.get(), kListenBacklog) != 0) cannot_listen(at, "listen", errno);
  // A program attached by an earlier handover stays with the port and would bypass this listener.
  sys::setsockopt(fd.get(), SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, &on, sizeof on);
  return fd;
}

bool yield_port(const Fd& listener) {
  // Listeners of one port are numbered in the order they joined, and the last takes the number of one that
  // leaves: the process asked to end has number 0. Without a number 1, the kernel selects as if no program
  // were attached.
  sock_filter next[] = {{BPF_RET | BPF_K, 0, 0, 1}};
  const sock_fprog program{1, next};
  return sys::setsockopt(listener.get(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) == 0;
}

Accepted try_accept(const Fd& listener) {
  using How = Accepted::How;
  Fd fd(sys::accept4(listener.get(), SOCK_CLOEXEC));
  if (fd) {
    no_delay(fd.get());
    return {How::up, std::move(fd)};
  }
  switch (errno) {
    case EAGAIN:
      return {};
    case EINTR:
    case ECONNABORTED:  // these, by accept(2), are errors of the new connection alone
    case EPERM:
    case EPROTO:
    case ENOPROTOOPT:
    case EOPNOTSUPP:
    case ENETDOWN:
    case ENONET:
    case ENETUNREACH:
    case EHOSTDOWN:
    case EHOSTUNREACH:
    case ETIMEDOUT:
      return {How::lost, {}};
    default:  // EMFILE, ENFILE, ENOBUFS, ENOMEM; unknown errors are not retried at once either
      return {How::shortage, {}};
  }
}

Fd accept_one(const Fd& listener, Time deadline) {
  for (;;) {
    if (!wait_for(listener.get(), POLLIN, deadline)) return Fd{};
    Accepted next = try_accept(listener);
    if (next.how == Accepted::How::up) return std::move(next.fd);
    if (now() >= deadline) return Fd{};
    if (next.how == Accepted::How::shortage) std::this_thread::sleep_for(kShortageRetry);
  }
}

void poll_some(pollfd* polled, std::size_t count, int milliseconds) {
  if (sys::poll(polled, count, milliseconds) >= 0) return;
  for (std::size_t i = 0; i < count; ++i) polled[i].revents = 0;
  if (errno != EINTR) std::this_thread::sleep_for(kShortageRetry);  // ENOMEM
}

void pause_until(Time at) {
  while (now() < at) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(at - now()).count();
    sys::poll(nullptr, 0, static_cast<int>(std::clamp<std::int64_t>(left, 0, 3600'000)));
  }
}

bool write_all(const Fd& to, std::string_view bytes, Time by) {
  while (!bytes.empty()) {
    const ssize_t n = sys::send(to.get(), bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == ENOBUFS || errno == ENOMEM) && now() < by) {
      std::this_thread::sleep_for(kShortageRetry);
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && wait_for(to.get(), POLLOUT, by)) continue;
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool readable(const Fd& from, Time by) { return wait_for(from.get(), POLLIN, by); }

void drain(const Fd& from, Time by, std::size_t most) {
  constexpr std::size_t kStep = std::size_t{256} * 1024;
  for (std::size_t dropped = 0; dropped < most && wait_for(from.get(), POLLIN, by);) {
    // With MSG_TRUNC, TCP discards the bytes without copying them.
    const ssize_t n = sys::recv(from.get(), nullptr, kStep, MSG_TRUNC);
    if (n == 0 || (n < 0 && errno != EINTR && errno != EAGAIN)) return;
    dropped += static_cast<std::size_t>(std::max<ssize_t>(n, 0));
  }
}

}  // namespace reeltack::net
