// Stand in the place of the calls that move bytes.
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "system_calls/meet.h"

using reeltack::test::faults::Call;
using reeltack::test::faults::ends_connection;
using reeltack::test::faults::fail;
using reeltack::test::faults::meet;
using reeltack::test::faults::Verdict;

// The names are the linker's.
extern "C" {

int __real_shutdown(int fd, int how);

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

ssize_t __real_recvfrom(int fd, void* into, std::size_t size, int flags, sockaddr* from, socklen_t* length);
ssize_t __wrap_recvfrom(int fd, void* into, std::size_t size, int flags, sockaddr* from, socklen_t* length) {
  return meet(Call::recvfrom) == Verdict::pass ? __real_recvfrom(fd, into, size, flags, from, length)
                                               : fail();
}

ssize_t __real_sendto(int fd, const void* from, std::size_t size, int flags, const sockaddr* to,
                      socklen_t length);
ssize_t __wrap_sendto(int fd, const void* from, std::size_t size, int flags, const sockaddr* to,
                      socklen_t length) {
  return meet(Call::sendto) == Verdict::pass ? __real_sendto(fd, from, size, flags, to, length) : fail();
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

}  // extern "C"
