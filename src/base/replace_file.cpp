// A file replaced as a whole: see the header.
#include "base/replace_file.h"

#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>

namespace reeltack::base {
namespace {

constexpr mode_t kMode = 0666;  // as the process's mask leaves it

bool failed(const char* what, const std::string& of, std::string& why) {
  why = std::string(what) + " " + of + ": " + std::generic_category().message(errno);
  return false;
}

// Also where the close alone fails: some file systems report a full disk there.
bool close_after(bool done, int fd, const char* what, const std::string& of, std::string& why,
                 FileCalls& calls) {
  if (!done) failed(what, of, why);
  if (calls.close(fd) == 0) return done;
  return done ? failed("cannot close", of, why) : false;
}

bool write_all(int fd, std::string_view content, FileCalls& calls) {
  while (!content.empty()) {
    const ::ssize_t written = calls.write(fd, content.data(), content.size());
    if (written < 0 && errno == EINTR) continue;
    if (written == 0) errno = ENOSPC;
    if (written <= 0) return false;
    content.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

bool write_file(const std::string& path, std::string_view content, std::string& why, FileCalls& calls) {
  const int fd = calls.open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kMode);
  if (fd < 0) return failed("cannot open", path, why);
  const bool done = write_all(fd, content, calls) && calls.sync(fd) == 0;
  return close_after(done, fd, "cannot write", path, why, calls);
}

bool sync_folder_of(const std::string& path, std::string& why, FileCalls& calls) {
  const std::size_t slash = path.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : path.substr(0, slash + 1);
  const int fd = calls.open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC, 0);
  if (fd < 0) return failed("cannot open folder", folder, why);
  return close_after(calls.sync(fd) == 0, fd, "cannot sync folder", folder, why, calls);
}

}  // namespace

int FileCalls::open(const char* path, int flags, mode_t mode) { return ::open(path, flags, mode); }
::ssize_t FileCalls::write(int fd, const char* bytes, std::size_t size) { return ::write(fd, bytes, size); }
int FileCalls::sync(int fd) { return ::fsync(fd); }
int FileCalls::close(int fd) { return ::close(fd); }
int FileCalls::rename(const char* from, const char* to) { return ::rename(from, to); }
int FileCalls::unlink(const char* path) { return ::unlink(path); }

bool replace_file(const std::string& path, std::string_view content, std::string& why) {
  FileCalls calls;
  return replace_file(path, content, why, calls);
}

bool replace_file(const std::string& path, std::string_view content, std::string& why, FileCalls& calls) {
  const std::string fresh = path + ".new";
  bool done = write_file(fresh, content, why, calls);
  if (done && calls.rename(fresh.c_str(), path.c_str()) != 0) done = failed("cannot rename", fresh, why);
  if (done) return sync_folder_of(path, why, calls);
  static_cast<void>(calls.unlink(fresh.c_str()));  // the space is wanted; the next call writes it anew anyway
  return false;
}

}  // namespace reeltack::base
