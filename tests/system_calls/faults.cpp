#include "system_calls/faults.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <mutex>

namespace reeltack::test::faults {
namespace {

constexpr std::array<const char*, kCalls> kNames = {
    "socket",        "connect",   "accept4",    "shutdown", "close",         "setsockopt",
    "getsockopt",    "recv",      "send",       "read",     "write",         "poll",
    "epoll_create1", "epoll_ctl", "epoll_wait", "eventfd",  "pthread_create"};

std::mutex lock;  // guards what follows
Fault armed;
bool is_armed = false;
std::uint64_t failures = 0;
std::array<std::uint64_t, kCalls> counts{};

thread_local int exempt = 0;
thread_local int error_now = 0;  // of the call that was met last

enum class Verdict { pass, fail, shortened };

// Counts one call; says whether it is to fail.
Verdict meet(Call call, int port = 0) {
  if (exempt > 0) return Verdict::pass;
  const std::lock_guard hold(lock);
  if (is_armed && armed.call == call && armed.port != 0 && armed.port != port) return Verdict::pass;
  const std::uint64_t number = ++counts[static_cast<std::size_t>(call)];
  if (!is_armed || armed.call != call || number < armed.first) return Verdict::pass;
  const bool repeats = number < armed.first + armed.repeat;
  if (!repeats && (armed.after == 0 || number > armed.first + armed.repeat)) return Verdict::pass;
  ++failures;
  error_now = repeats ? armed.error : armed.after;
  return error_now == kShort ? Verdict::shortened : Verdict::fail;
}

int fail() {
  errno = error_now;
  return -1;
}

// After these a connection is over, in the kernel as well.
bool ends_connection(int error) {
  return error == ECONNRESET || error == EPIPE || error == ETIMEDOUT || error == EHOSTUNREACH;
}

bool exempt_now() { return exempt > 0; }

}  // namespace

const char* name_of(Call call) { return kNames.at(static_cast<std::size_t>(call)); }
std::string to_text(const Fault& fault) {
  return std::string(name_of(fault.call)) + " " + std::to_string(fault.first) + " " +
         (fault.error == kShort ? "one byte" : ::strerrorname_np(fault.error));
}

void arm(const Fault& fault) {
  const std::lock_guard hold(lock);
  armed = fault;
  is_armed = true;
  failures = 0;
  counts = {};
}
void count_only() {
  const std::lock_guard hold(lock);
  is_armed = false;
  failures = 0;
  counts = {};
}
void disarm() {
  const std::lock_guard hold(lock);
  is_armed = false;
}
std::uint64_t visited(Call call) {
  const std::lock_guard hold(lock);
  return counts.at(static_cast<std::size_t>(call));
}
std::uint64_t failed() {
  const std::lock_guard hold(lock);
  return failures;
}

TestThread::TestThread() { ++exempt; }
TestThread::~TestThread() { --exempt; }
ProgramCalls::ProgramCalls() { --exempt; }
ProgramCalls::~ProgramCalls() { ++exempt; }

std::size_t open_descriptors() {
  const std::filesystem::directory_iterator listed("/proc/self/fd");
  return static_cast<std::size_t>(std::distance(begin(listed), end(listed)));
}

}  // namespace reeltack::test::faults

using reeltack::test::faults::Call;
using reeltack::test::faults::ends_connection;
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

// A connect that a signal interrupts goes on by itself, as connect(2) says. One that does not wait is always
// in progress first, also where the kernel has it up at once.
int __real_connect(int fd, const sockaddr* to, socklen_t size);
int __wrap_connect(int fd, const sockaddr* to, socklen_t size) {
  const int port = to->sa_family == AF_INET ? ntohs(reinterpret_cast<const sockaddr_in*>(to)->sin_port) : 0;
  if (meet(Call::connect, port) == Verdict::pass) {
    const int result = __real_connect(fd, to, size);
    if (result != 0 || exempt_now() || (::fcntl(fd, F_GETFL) & O_NONBLOCK) == 0) return result;
    errno = EINPROGRESS;
    return -1;
  }
  fail();
  const int error = errno;
  if (error == EINTR) __real_connect(fd, to, size);
  errno = error;
  return -1;
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

ssize_t __real_recv(int fd, void* into, std::size_t size, int flags);
ssize_t __wrap_recv(int fd, void* into, std::size_t size, int flags) {
  const Verdict verdict = meet(Call::recv);
  if (verdict == Verdict::pass) return __real_recv(fd, into, size, flags);
  if (verdict == Verdict::shortened) return __real_recv(fd, into, std::min<std::size_t>(size, 1), flags);
  fail();
  const int error = errno;
  if (ends_connection(error)) __real_shutdown(fd, SHUT_RDWR);
  errno = error;
  return -1;
}

ssize_t __real_send(int fd, const void* from, std::size_t size, int flags);
ssize_t __wrap_send(int fd, const void* from, std::size_t size, int flags) {
  const Verdict verdict = meet(Call::send);
  if (verdict == Verdict::pass) return __real_send(fd, from, size, flags);
  if (verdict == Verdict::shortened) return __real_send(fd, from, std::min<std::size_t>(size, 1), flags);
  fail();
  const int error = errno;
  if (ends_connection(error)) __real_shutdown(fd, SHUT_RDWR);
  errno = error;
  return -1;
}

ssize_t __real_read(int fd, void* into, std::size_t size);
ssize_t __wrap_read(int fd, void* into, std::size_t size) {
  return meet(Call::read) == Verdict::pass ? __real_read(fd, into, size) : fail();
}

ssize_t __real_write(int fd, const void* from, std::size_t size);
ssize_t __wrap_write(int fd, const void* from, std::size_t size) {
  if (fd <= 2) return __real_write(fd, from, size);  // the log
  return meet(Call::write) == Verdict::pass ? __real_write(fd, from, size) : fail();
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
