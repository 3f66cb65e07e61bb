// The lock file: see the header.
#include "store/lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace reeltack::store {
namespace {

std::string pid_in(int fd) {
  std::array<char, 24> text{};
  const ::ssize_t got = ::pread(fd, text.data(), text.size(), 0);
  std::string pid;
  for (::ssize_t i = 0;
       i < got && text[static_cast<std::size_t>(i)] >= '0' && text[static_cast<std::size_t>(i)] <= '9'; ++i) {
    pid += text[static_cast<std::size_t>(i)];
  }
  return pid.empty() ? "that has not said its pid" : pid;
}

}  // namespace

Lock::~Lock() {
  if (fd_ >= 0) ::close(fd_);
}

Lock::Got Lock::open_and_lock(const std::string& file, int flags, std::string& reason) {
  const auto failed = [&](const char* what) {
    reason = std::string(what) + " " + file + ": " + std::generic_category().message(errno);
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
    return Got::failed;
  };
  fd_ = ::open(file.c_str(), flags | O_CLOEXEC, 0640);
  if (fd_ < 0) return failed("cannot open");
  if (::flock(fd_, LOCK_EX | LOCK_NB) != 0) {
    if (errno != EWOULDBLOCK) return failed("cannot lock");
    reason = file + " is locked: the store belongs to process " + pid_in(fd_) + " now";
    ::close(fd_);
    fd_ = -1;
    return Got::locked;
  }
  return Got::held;
}

Lock::Got Lock::acquire_read_only(const std::string& file, std::string& reason) {
  return open_and_lock(file, O_RDONLY, reason);
}

Lock::Got Lock::take(const std::string& file, std::string& reason) {
  if (const Got got = open_and_lock(file, O_RDWR | O_CREAT, reason); got != Got::held) return got;
  // The pid is for people; a full disk must not keep the store shut, so a failed write is let be.
  const std::string pid = std::to_string(::getpid()) + "\n";
  if (::ftruncate(fd_, 0) != 0 || ::pwrite(fd_, pid.data(), pid.size(), 0) < 0) errno = 0;
  return Got::held;
}

}  // namespace reeltack::store
