// The lock of a store's folder: one process at a time, by a file that holds its pid.
//
// Owns: the lock file's descriptor and flock(2) on it. The lock goes with the last descriptor, so with the
//   process however it ends; the file stays, for it says nothing once nobody holds the lock.
// Must never: be passed to a child (close-on-exec), or wait for the holder.
#pragma once

#include <string>

namespace reeltack::store {

class Lock {
 public:
  Lock() = default;
  ~Lock();
  Lock(const Lock&) = delete;
  Lock& operator=(const Lock&) = delete;
  enum class Got { held, locked, failed };
  // `why` says what went wrong: for `disputed` it names the file and the pid that has it.
  Got take(const std::string& file, std::string& reason);
  // The same where the file cannot be written: nothing is made and no pid is left in it.
  Got acquire_read_only(const std::string& file, std::string& reason);

 private:
  Got open_and_lock(const std::string& file, int flags, std::string& reason);
  int fd_ = -1;
};

}  // namespace reeltack::store
