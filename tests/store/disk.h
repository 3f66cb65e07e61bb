// Reconstructs the state of the disk after a power loss from the recorded changes to the files.
#pragma once

#include <algorithm>
#include <random>

#include "faulty_vfs.h"
#include "script.h"

namespace reeltack::store {

// Writes the files as a power loss may leave them: everything that was synced, and of the rest all
// (kind 1), nothing (kind 0), or a random part (kinds 2 and 3: each write complete, torn or missing).
inline void build_disk(const std::string& dir, const std::vector<FileChange>& trace, std::size_t end,
                       int kind, std::mt19937& draw) {
  std::map<std::string, std::string> files;
  std::map<std::string, std::vector<const FileChange*>> unsynced;
  const auto carry_out = [&](const FileChange& c, std::size_t bytes) {
    std::string& f = files[c.file];
    const auto at = static_cast<std::size_t>(c.at);
    if (c.kind == FileChange::Kind::remove) files.erase(c.file);
    if (c.kind == FileChange::Kind::truncate) f.resize(std::min(at, f.size()));
    if (c.kind == FileChange::Kind::write) {
      f.resize(std::max(f.size(), at + bytes));
      f.replace(at, bytes, c.bytes, 0, bytes);
    }
  };
  const auto carry_out_first = [&](std::vector<const FileChange*>& waiting, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) carry_out(*waiting[i], waiting[i]->bytes.size());
    waiting.erase(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count));
  };
  // Of the unsynced changes all, none or some reach the disk.
  const auto carry_out_some = [&](const std::vector<const FileChange*>& changes) {
    for (const FileChange* u : changes) {
      const bool complete = kind == 1 || (kind >= 2 && draw() % 2 == 0);
      const bool torn = kind >= 2 && !complete && u->kind == FileChange::Kind::write && draw() % 2 == 0;
      if (complete || torn) carry_out(*u, torn ? u->bytes.size() / 2 : u->bytes.size());
    }
  };
  for (std::size_t i = 0; i < end; ++i) {
    const FileChange& c = trace[i];
    if (c.kind == FileChange::Kind::failed_sync) {  // no later sync writes the rest
      carry_out_some(unsynced[c.file]);
      unsynced[c.file].clear();
      continue;
    }
    if (c.kind == FileChange::Kind::sync &&
        c.file.empty()) {  // of the folder: makes the removals so far durable
      for (auto& [file, waiting] : unsynced) {
        std::size_t count = 0;
        for (std::size_t n = 0; n < waiting.size(); ++n)
          count = waiting[n]->kind == FileChange::Kind::remove ? n + 1 : count;
        carry_out_first(waiting, count);
      }
      continue;
    }
    if (c.kind == FileChange::Kind::mark) continue;
    if (c.kind != FileChange::Kind::sync) unsynced[c.file].push_back(&c);
    if (c.kind != FileChange::Kind::sync && !c.synced) continue;
    carry_out_first(unsynced[c.file], unsynced[c.file].size());
  }
  for (const auto& [file, changes] : unsynced) carry_out_some(changes);
  fs::remove_all(dir);
  fs::create_directory(dir);
  for (const auto& [file, bytes] : files) write_file(dir + "/" + fs::path(file).filename().string(), bytes);
}

}  // namespace reeltack::store
