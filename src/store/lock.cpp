// Lock file of the store.
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
  const ::ssize_t length = ::pread(fd, text.data(), text.size(), 0);
  std::string pid;
  for (::ssize_t i = 0;
       i < length && text[static_cast<std::size_t>(i)] >= '0' && text[static_cast<std::size_t>(i)] <= '9';
       ++i) {
    pid += text[static_cast<std::size_t>(i)];
  }
  return pid.empty() ? "(pid unknown)" : pid;
}

}  // namespace

Lock::~Lock() {
  if (fd_ >= 0) ::close(fd_);
}

Lock::Result Lock::open_and_lock(const std::string& file, int flags, std::string& reason) {
  const auto failed = [&](const char* what) {
    reason = std::string(what) + " " + file + ": " + std::generic_category().message(errno);
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
    return Result::failed;
  };
  fd_ = ::open(file.c_str(), flags | O_CLOEXEC, 0640);
  if (fd_ < 0) return failed("cannot open");
  if (::flock(fd_, LOCK_EX | LOCK_NB) != 0) {
    if (errno != EWOULDBLOCK) return failed("cannot lock");
    reason = file + " is locked: the store belongs to process " + pid_in(fd_) + " now";
    ::close(fd_);
    fd_ = -1;
    return Result::locked;
  }
  return Result::held;
}

Lock::Result Lock::acquire_read_only(const std::string& file, std::string& reason) {
  return open_and_lock(file, O_RDONLY, reason);
}

Lock::Result Lock::take(const std::string& file, std::string& reason) {
  if (const Result result = open_and_lock(file, O_RDWR | O_CREAT, reason); result != Result::held)
    return result;
  // The pid only informs operators. A full disk must not keep the store from opening, so a failed write
  // is ignored.
  const std::string pid = std::to_string(::getpid()) + "\n";
  if (::ftruncate(fd_, 0) != 0 || ::pwrite(fd_, pid.data(), pid.size(), 0) < 0) errno = 0;
  return Result::held;
}

}  // namespace reeltack::store
