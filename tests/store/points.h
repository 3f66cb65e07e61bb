// Fault points of a store: its own steps and the file operations of SQLite.
#pragma once

#include <cerrno>
#include <set>

#include "faulty_vfs.h"
#include "script.h"

namespace reeltack::store {

// Counts all fault points of both kinds and runs the action of the test at each of them.
struct FaultPoints : FaultInjector {
  explicit FaultPoints(FaultyVfs& vfs) {
    vfs.hook = [this](const FileStep& s) {
      return s.what == "read" && !reads ? SQLITE_OK : visit(s.what, s.before);
    };
  }
  int at(std::string_view step, bool before) override {
    return visit(std::string(step), before) == SQLITE_OK ? 0 : EIO;
  }
  int visit(const std::string& step, bool before) {
    ++count;
    seen.insert(step + (before ? " before" : " after"));
    return act ? act(step, before) : SQLITE_OK;
  }
  bool reads = false;
  int count = 0;
  std::set<std::string> seen;
  std::function<int(const std::string& step, bool before)> act;
};

}  // namespace reeltack::store
