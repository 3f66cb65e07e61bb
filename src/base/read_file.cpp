#include "base/read_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace reeltack::base {
namespace {

constexpr std::size_t kChunkBytes = std::size_t{16} * 1024;

bool read_rest(int fd, std::string& content) {
  for (;;) {
    const std::size_t size = content.size();
    content.resize(size + kChunkBytes);
    const ::ssize_t n = ::read(fd, content.data() + size, kChunkBytes);
    content.resize(size + static_cast<std::size_t>(n > 0 ? n : 0));
    if (n == 0) return true;
    if (n < 0 && errno != EINTR) return false;
  }
}

FileRead failed(const std::string& path, std::string& why) {
  const int error = errno;
  why = "cannot read " + path + ": " + std::generic_category().message(error);
  return error == ENOENT ? FileRead::missing : FileRead::failed;
}

}  // namespace

FileRead read_file(const std::string& path, std::string& content, std::string& why) {
  content.clear();
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return failed(path, why);
  const bool whole = read_rest(fd, content);
  const FileRead out = whole ? FileRead::whole : failed(path, why);
  ::close(fd);
  return out;
}

}  // namespace reeltack::base
