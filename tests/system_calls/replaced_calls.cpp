// Stand in the place of the calls on connections, waits and threads.
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>

#include "system_calls/meet.h"

using reeltack::test::faults::Call;
using reeltack::test::faults::exempt_now;
using reeltack::test::faults::fail;
using reeltack::test::faults::meet;
using reeltack::test::faults::Verdict;

// The names are the linker's.
extern "C" {

int __real_socket(int domain, int type, int protocol);
int __wrap_socket(int domain, int type, int protocol) {
  return meet(Call::socket) == Verdict::pass ? __real_socket(domain, type, protocol) : fail();
}

int __real_fcntl(int fd, int command, ...);
int __wrap_fcntl(int fd, int command, int value) {
  return meet(Call::fcntl) == Verdict::pass ? __real_fcntl(fd, command, value) : fail();
}

int __real_ioctl(int fd, unsigned long request, ...);
int __wrap_ioctl(int fd, unsigned long request, void* value) {
  return meet(Call::ioctl) == Verdict::pass ? __real_ioctl(fd, request, value) : fail();
}

int __real_bind(int fd, const sockaddr* at, socklen_t size);
int __wrap_bind(int fd, const sockaddr* at, socklen_t size) {
  return meet(Call::bind) == Verdict::pass ? __real_bind(fd, at, size) : fail();
}

int __real_listen(int fd, int backlog);
int __wrap_listen(int fd, int backlog) {
  return meet(Call::listen) == Verdict::pass ? __real_listen(fd, backlog) : fail();
}

int __real_pipe2(int* ends, int flags);
int __wrap_pipe2(int* ends, int flags) {
  return meet(Call::pipe2) == Verdict::pass ? __real_pipe2(ends, flags) : fail();
}

// A connect that a signal interrupts goes on by itself, as connect(2) says. One that does not wait is always
// in progress first, also where the kernel has it up at once.
int __real_connect(int fd, const sockaddr* to, socklen_t size);
int __wrap_connect(int fd, const sockaddr* to, socklen_t size) {
  const int port = to->sa_family == AF_INET ? ntohs(reinterpret_cast<const sockaddr_in*>(to)->sin_port) : 0;
  if (meet(Call::connect, port) == Verdict::pass) {
    const int result = __real_connect(fd, to, size);
    if (result != 0 || exempt_now() || (__real_fcntl(fd, F_GETFL) & O_NONBLOCK) == 0) return result;
    errno = EINPROGRESS;
    return -1;
  }
  fail();
  const int error = errno;
  if (error == EINTR) __real_connect(fd, to, size);
  errno = error;
  return -1;
}

int __real_accept(int fd, sockaddr* from, socklen_t* size);
int __wrap_accept(int fd, sockaddr* from, socklen_t* size) {
  return meet(Call::accept) == Verdict::pass ? __real_accept(fd, from, size) : fail();
}

int __real_getpeername(int fd, sockaddr* far, socklen_t* size);
int __wrap_getpeername(int fd, sockaddr* far, socklen_t* size) {
  return meet(Call::getpeername) == Verdict::pass ? __real_getpeername(fd, far, size) : fail();
}

int __real_accept4(int fd, sockaddr* from, socklen_t* size, int flags);
int __wrap_accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
  return meet(Call::accept4) == Verdict::pass ? __real_accept4(fd, from, size, flags) : fail();
}

int __real_shutdown(int fd, int how);
int __wrap_shutdown(int fd, int how) {
  return meet(Call::shutdown) == Verdict::pass ? __real_shutdown(fd, how) : fail();
}

// A close that fails has let the descriptor go all the same, as close(2) says of Linux.
int __real_close(int fd);
int __wrap_close(int fd) {
  const bool passes = meet(Call::close) == Verdict::pass;
  const int result = __real_close(fd);
  return passes ? result : fail();
}

int __real_setsockopt(int fd, int level, int name, const void* value, socklen_t size);
int __wrap_setsockopt(int fd, int level, int name, const void* value, socklen_t size) {
  return meet(Call::setsockopt) == Verdict::pass ? __real_setsockopt(fd, level, name, value, size) : fail();
}

int __real_getsockopt(int fd, int level, int name, void* value, socklen_t* size);
int __wrap_getsockopt(int fd, int level, int name, void* value, socklen_t* size) {
  return meet(Call::getsockopt) == Verdict::pass ? __real_getsockopt(fd, level, name, value, size) : fail();
}

int __real_poll(pollfd* polled, nfds_t count, int milliseconds);
int __wrap_poll(pollfd* polled, nfds_t count, int milliseconds) {
  return meet(Call::poll) == Verdict::pass ? __real_poll(polled, count, milliseconds) : fail();
}

int __real_epoll_create1(int flags);
int __wrap_epoll_create1(int flags) {
  return meet(Call::epoll_create1) == Verdict::pass ? __real_epoll_create1(flags) : fail();
}

int __real_epoll_ctl(int epoll, int operation, int fd, epoll_event* event);
int __wrap_epoll_ctl(int epoll, int operation, int fd, epoll_event* event) {
  return meet(Call::epoll_ctl) == Verdict::pass ? __real_epoll_ctl(epoll, operation, fd, event) : fail();
}

int __real_epoll_wait(int epoll, epoll_event* events, int most, int milliseconds);
int __wrap_epoll_wait(int epoll, epoll_event* events, int most, int milliseconds) {
  return meet(Call::epoll_wait) == Verdict::pass ? __real_epoll_wait(epoll, events, most, milliseconds)
                                                 : fail();
}

int __real_eventfd(unsigned int value, int flags);
int __wrap_eventfd(unsigned int value, int flags) {
  return meet(Call::eventfd) == Verdict::pass ? __real_eventfd(value, flags) : fail();
}

int __real_pthread_create(pthread_t* id, const pthread_attr_t* attributes, void* (*body)(void*), void* given);
int __wrap_pthread_create(pthread_t* id, const pthread_attr_t* attributes, void* (*body)(void*),
                          void* given) {
  if (meet(Call::pthread_create) == Verdict::pass) return __real_pthread_create(id, attributes, body, given);
  fail();
  return errno;
}

}  // extern "C"
