// Operations on the store's folder.
#include "store/folder.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>

namespace reeltack::store {
namespace {

std::string describe_error(const char* what, const std::string& of, int error) {
  return std::string(what) + " " + of + ": " + std::generic_category().message(error);
}

bool exists(const std::string& path) {
  struct stat s {};
  return ::lstat(path.c_str(), &s) == 0;
}

}  // namespace

bool Folder::make(std::string& reason) const {
  int error = before("make folder");
  if (error == 0 && ::mkdir(dir_.c_str(), 0750) != 0 && errno != EEXIST) error = errno;
  if (error != 0) {
    reason = describe_error("cannot make folder", dir_, error);
    return false;
  }
  after("make folder");
  return true;
}

Lock::Result Folder::lock(Lock& lock, std::string& reason) const {
  if (const int error = before("lock"); error != 0) {
    reason = describe_error("cannot lock", dir_, error);
    return Lock::Result::failed;
  }
  const Lock::Result result = lock.take(dir_ + "/store.lock", reason);
  after("lock");
  return result;
}

bool Folder::sync(std::string& reason) const {
  for (const std::string& folder : {dir_, dir_ + "/.."}) {
    int error = before("sync folder");
    const int fd = error == 0 ? ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC) : -1;
    if (error == 0 && (fd < 0 || ::fsync(fd) != 0)) error = errno;
    if (fd >= 0) ::close(fd);
    if (error != 0) {
      reason = describe_error("cannot sync folder", folder, error);
      return false;
    }
    after("sync folder");
  }
  return true;
}

std::uint64_t Folder::size(std::string_view name) const {
  struct stat s {};
  return ::stat((dir_ + "/" + std::string(name)).c_str(), &s) == 0 ? static_cast<std::uint64_t>(s.st_size)
                                                                   : 0;
}

std::optional<FileId> Folder::id(std::string_view name) const {
  struct stat s {};
  if (::stat((dir_ + "/" + std::string(name)).c_str(), &s) != 0) return std::nullopt;
  return FileId{s.st_dev, s.st_ino};
}

bool Folder::set_aside(std::string& aside_path, std::string& reason) const {
  const std::string file = dir_ + "/store.db";
  int number = 1;
  const auto aside = [&](std::string_view suffix) {
    return file + ".aside-" + std::to_string(number) + std::string(suffix);
  };
  while (exists(aside("")) || exists(aside("-wal")) || exists(aside("-journal"))) ++number;
  for (const std::string_view suffix : {"-journal", "", "-wal"}) {
    const std::string from = file + std::string(suffix);
    if (!exists(from)) continue;
    int error = before("set aside");
    if (error == 0 && ::rename(from.c_str(), aside(suffix).c_str()) != 0) error = errno;
    if (error != 0) {
      reason = describe_error("cannot set aside", from, error);
      return false;
    }
    after("set aside");
  }
  aside_path = aside("");
  return sync(reason);
}

}  // namespace reeltack::store
