// Where a store may fail or die, both in its own steps and in those of SQLite on its files.
#pragma once

#include <cerrno>
#include <set>

#include "faulty_vfs.h"
#include "script.h"

namespace reeltack::store {

// Counts every point of both kinds and does at each what the test wants.
struct Points : FaultInjector {
  explicit Points(FaultyVfs& vfs) {
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
