// Replaces a file as a whole, durably: a reader, and the next start after a power loss, finds the old content
// or the new, and after success the new.
//
// Owns: the temporary file NAME.new beside it. Must never: leave the file torn, or say that it is durable
//   before the content and the name are synced. After a failed sync the content is written anew at the next
//   call; nothing is taken for written.
// Threads: any, one a file at a time. It waits for the disk.
#pragma once

#include <fcntl.h>
#include <sys/types.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace reeltack::base {

// The system's calls, to be replaced in tests. Each returns what the system's does and sets errno.
class FileCalls {
 public:
  virtual ~FileCalls() = default;
  virtual int open(const char* path, int flags, mode_t mode);
  virtual ::ssize_t write(int fd, const char* bytes, std::size_t size);
  virtual int sync(int fd);
  virtual int close(int fd);
  virtual int rename(const char* from, const char* to);
  virtual int unlink(const char* path);
};

// False with the reason in `why`. Where the name alone could not be synced the new content is there already,
// and may be gone after a power loss.
bool replace_file(const std::string& path, std::string_view content, std::string& why);
bool replace_file(const std::string& path, std::string_view content, std::string& why, FileCalls& calls);

}  // namespace reeltack::base
