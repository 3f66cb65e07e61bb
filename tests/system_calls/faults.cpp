#include "system_calls/faults.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <mutex>

#include "system_calls/meet.h"

namespace reeltack::test::faults {
namespace {

constexpr std::array<const char*, kCalls> kNames = {
    "socket",    "connect",    "bind",       "listen",      "accept",        "accept4", "shutdown",
    "close",     "setsockopt", "getsockopt", "getpeername", "fcntl",         "ioctl",   "recv",
    "recvfrom",  "send",       "sendto",     "read",        "write",         "poll",    "epoll_create1",
    "epoll_ctl", "epoll_wait", "eventfd",    "pipe2",       "pthread_create"};

std::mutex lock;  // guards what follows
Fault armed;
bool is_armed = false;
std::uint64_t failures = 0;
std::array<std::uint64_t, kCalls> counts{};

thread_local int exempt = 0;
thread_local int error_now = 0;  // of the call that was met last

}  // namespace

Verdict meet(Call call, int port) {
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

bool ends_connection(int error) {
  return error == ECONNRESET || error == EPIPE || error == ETIMEDOUT || error == EHOSTUNREACH;
}

bool exempt_now() { return exempt > 0; }

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
