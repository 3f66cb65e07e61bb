// Lock of the store's folder: a file that holds the pid of the one process that uses the store.
//
// The lock is flock(2) on the file's descriptor, which is closed on exec, so it ends with the process
// however that ends. The file itself stays; without a holder of the lock it has no meaning. Locking
// never waits for the holder.
#pragma once

#include <string>

namespace reeltack::store {

class Lock {
 public:
  Lock() = default;
  ~Lock();
  Lock(const Lock&) = delete;
  Lock& operator=(const Lock&) = delete;
  enum class Result { held, locked, failed };
  // On failure `reason` tells the cause; for `locked` it names the file and the pid of the holder.
  Result take(const std::string& file, std::string& reason);
  // Locks a file that cannot be written: it is not created and no pid is stored in it.
  Result acquire_read_only(const std::string& file, std::string& reason);

 private:
  Result open_and_lock(const std::string& file, int flags, std::string& reason);
  int fd_ = -1;
};

}  // namespace reeltack::store
