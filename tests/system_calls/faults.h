// Failing system calls, for tests: the n-th call of a kind fails with an errno, or moves one byte only.
//
// Owns: the functions that `ld --wrap` puts in the place of the C library's (faults.cpp), their counts, and
//   the one fault that is armed.
// Must never: fail a call of a test's own thread, which declares itself by TestThread.
//
// Threads: any. One fault is armed at a time.
#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace reeltack::test::faults {

enum class Call {
  socket,
  connect,
  bind,
  listen,
  accept,
  accept4,
  shutdown,
  close,
  setsockopt,
  getsockopt,
  getpeername,
  fcntl,
  ioctl,
  recv,
  recvfrom,
  send,
  sendto,
  read,
  write,
  poll,
  epoll_create1,
  epoll_ctl,
  epoll_wait,
  eventfd,
  pipe2,
  pthread_create,
};
inline constexpr std::size_t kCalls = 26;
const char* name_of(Call call);

inline constexpr int kShort = 0;  // in the place of an errno: one byte is moved
inline constexpr std::uint64_t kForEver = UINT64_MAX / 2;

struct Fault {
  Call call{};
  int error = kShort;
  std::uint64_t first = 1;   // which call of the kind fails first, counted from 1 as it is armed
  std::uint64_t repeat = 1;  // and how many in a row
  int after = 0;             // the one after these fails with this errno; 0: it passes
  int port = 0;              // connect only: of the address; 0: any
};
// Its name for a failed expectation: "recv 7 ETIMEDOUT".
std::string to_text(const Fault& fault);

void arm(const Fault& fault);  // counts begin anew
void count_only();             // counts begin anew, and nothing fails
void disarm();                 // counts stay
std::uint64_t visited(Call call);
std::uint64_t failed();  // how many calls the armed fault has failed

// While it lives, calls of its thread are neither counted nor failed.
class TestThread {
 public:
  TestThread();
  ~TestThread();
  TestThread(const TestThread&) = delete;
  TestThread& operator=(const TestThread&) = delete;
};
// While it lives, they are again: for what a test calls of the program by itself.
class ProgramCalls {
 public:
  ProgramCalls();
  ~ProgramCalls();
  ProgramCalls(const ProgramCalls&) = delete;
  ProgramCalls& operator=(const ProgramCalls&) = delete;
};

// The open descriptors of this process.
std::size_t open_descriptors();

}  // namespace reeltack::test::faults
