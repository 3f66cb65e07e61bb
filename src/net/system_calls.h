// Thin wrappers of the system calls that the program makes while serving, one function each.
//
// The wrappers do not retry, wait, keep state or interpret errno: the callers do, as
// docs/design/system-calls.md lists. They are inline and cost no more than the call itself. Tests replace the
// wrapped functions at link time (ld --wrap) to fail any call with any errno; the check .ci/system_calls
// refuses direct calls elsewhere, so that no call escapes those tests.
#pragma once

#include <fcntl.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace reeltack::net::sys {

// Connections.
inline int socket(int domain, int type, int protocol) { return ::socket(domain, type, protocol); }
inline int connect(int fd, const sockaddr* to, socklen_t size) { return ::connect(fd, to, size); }
inline int bind(int fd, const sockaddr* at, socklen_t size) { return ::bind(fd, at, size); }
inline int listen(int fd, int backlog) { return ::listen(fd, backlog); }
inline int accept4(int listener, int flags) { return ::accept4(listener, nullptr, nullptr, flags); }
inline int shutdown(int fd, int how) { return ::shutdown(fd, how); }
inline int close(int fd) { return ::close(fd); }
inline int setsockopt(int fd, int level, int name, const void* value, socklen_t size) {
  return ::setsockopt(fd, level, name, value, size);
}
inline int getsockopt(int fd, int level, int name, void* value, socklen_t* size) {
  return ::getsockopt(fd, level, name, value, size);
}
inline int fcntl(int fd, int command, int value = 0) { return ::fcntl(fd, command, value); }
inline int ioctl(int fd, unsigned long request, int* value) { return ::ioctl(fd, request, value); }

// Input and output. No call blocks on a socket or raises SIGPIPE.
inline ssize_t recv(int fd, void* into, std::size_t size, int flags = 0) {
  return ::recv(fd, into, size, flags | MSG_DONTWAIT);
}
inline ssize_t send(int fd, const void* from, std::size_t size) {
  return ::send(fd, from, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}
inline ssize_t read(int fd, void* into, std::size_t size) { return ::read(fd, into, size); }
inline ssize_t write(int fd, const void* from, std::size_t size) { return ::write(fd, from, size); }

// Waiting and waking.
inline int poll(pollfd* polled, nfds_t count, int milliseconds) {
  return ::poll(polled, count, milliseconds);
}
inline int epoll_create1(int flags) { return ::epoll_create1(flags); }
inline int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) {
  return ::epoll_ctl(epoll, operation, fd, event);
}
inline int epoll_wait(int epoll, epoll_event* events, int most, int milliseconds) {
  return ::epoll_wait(epoll, events, most, milliseconds);
}
inline int pipe2(int (&ends)[2], int flags) { return ::pipe2(ends, flags); }
inline int eventfd(unsigned int value, int flags) { return ::eventfd(value, flags); }

}  // namespace reeltack::net::sys
