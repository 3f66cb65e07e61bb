#include "base/file_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <thread>

namespace reeltack::base {
namespace {

constexpr mode_t kMode = 0666;  // as the process's mask leaves it
constexpr auto kRetryInterval = std::chrono::milliseconds(2);

}  // namespace

std::optional<FileLock> FileLock::acquire(const std::string& path, Time deadline, std::string& why) {
  const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kMode);
  if (fd < 0) {
    why = "cannot open " + path + ": " + std::generic_category().message(errno);
    return std::nullopt;
  }
  FileLock out(fd);
  while (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
    const bool held = errno == EWOULDBLOCK || errno == EINTR;
    if (!held || std::chrono::steady_clock::now() >= deadline) {
      why = held ? path + " is held by another process"
                 : "cannot lock " + path + ": " + std::generic_category().message(errno);
      return std::nullopt;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  return out;
}

FileLock::~FileLock() {
  if (fd_ >= 0) ::close(fd_);
}

}  // namespace reeltack::base
