// Has the whole program die at a point of its store, or its disk fail while a file is there: linked to the
// program's own sources in a test binary.
//
// Owns: the count of points at which the store's files are about to change: before each opening, write, the
//   second half of a write, cutting, removal and sync. Between two of them nothing changes on the disk.
// Must never: be linked into reeltack, or do anything without REELTACK_DIES_AT (the point, from 1 on) or
//   REELTACK_FAILS_WHILE (the file's name).
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "faulty_vfs.h"

namespace reeltack::store {
namespace {

struct Dies {
  Dies() {
    const char* text = std::getenv("REELTACK_DIES_AT");
    if (text == nullptr) return;
    vfs.hook = [this, at = std::atoi(text)](const FileStep& step) {
      vfs.trace.clear();
      if (!step.before || step.what == "read" || ++points != at) return SQLITE_OK;
      std::fprintf(stderr, "dies at point %d: %s of %s\n", at, step.what.c_str(),
                   step.file.substr(step.file.rfind('/') + 1).c_str());
      return ::raise(SIGKILL);
    };
  }
  FaultyVfs vfs{true};
  int points = 0;  // on one thread at a time: the program's at the start, then the keeper's
};
Dies dies;

struct Fails {
  Fails() {
    const char* file = std::getenv("REELTACK_FAILS_WHILE");
    if (file == nullptr) return;
    vfs.hook = [this, file = std::string(file)](const FileStep& step) {
      vfs.trace.clear();
      if (!step.before || ::access(file.c_str(), F_OK) != 0) return SQLITE_OK;
      if (step.what == "open") return SQLITE_CANTOPEN;
      return step.what == "write" ? SQLITE_FULL : SQLITE_IOERR;
    };
  }
  FaultyVfs vfs{std::getenv("REELTACK_FAILS_WHILE") != nullptr};
};
Fails fails;

}  // namespace
}  // namespace reeltack::store
