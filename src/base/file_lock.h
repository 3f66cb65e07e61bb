// An advisory lock that one process at a time holds (flock(2)), by a file that is left in place afterwards.
// It ends with the object, and with the process.
//
// Threads: any. acquire() sleeps between its tries, up to its deadline.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace reeltack::base {

class FileLock {
 public:
  using Time = std::chrono::steady_clock::time_point;
  // Nothing: another process held it until `deadline`, or the file can't be opened; the reason is in `why`.
  static std::optional<FileLock> acquire(const std::string& path, Time deadline, std::string& why);
  FileLock(FileLock&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileLock& operator=(FileLock&&) = delete;
  ~FileLock();

 private:
  explicit FileLock(int fd) : fd_(fd) {}
  int fd_;
};

}  // namespace reeltack::base
