// Kills the whole program at a fault point of its store, or makes its disk fail while a given file
// exists. Linked with the program's own sources into a test binary, never into reeltack.
//
// REELTACK_DIES_AT is the number of the point, from 1. The points are before each open, write, second
// half of a write, truncation, removal and sync of the store's files; between two of them nothing
// changes on the disk. REELTACK_FAILS_WHILE is the path of the file whose existence makes the disk
// fail. Without either variable nothing happens.
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "faulty_vfs.h"

namespace reeltack::store {
namespace {

struct KillAtPoint {
  KillAtPoint() {
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
  int points = 0;  // used by one thread at a time: the main thread at the start, then the writing thread
};
KillAtPoint kill_at_point;

struct FailWhileFileExists {
  FailWhileFileExists() {
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
FailWhileFileExists fail_while_file_exists;

}  // namespace
}  // namespace reeltack::store
