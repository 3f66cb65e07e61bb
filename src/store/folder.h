// The store's folder: making it, its lock, its names made durable, and setting aside what cannot be read.
//
// Owns: the names of the files in it, each step told to Faults where one is given.
// Must never: delete a file, or overwrite one that was set aside.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "store/faults.h"
#include "store/lock.h"

namespace reeltack::store {

struct FileId {
  std::uint64_t device = 0, inode = 0;
  bool operator==(const FileId&) const = default;
};

class Folder {
 public:
  Folder(std::string dir, FaultInjector* faults) : dir_(std::move(dir)), faults_(faults) {}
  // False with the reason in `why`, as below.
  bool make(std::string& reason) const;
  Lock::Got lock(Lock& lock, std::string& reason) const;
  bool sync(std::string& reason) const;
  [[nodiscard]] std::uint64_t size(std::string_view name) const;  // 0 where there is none
  // Which file stands under a name; two files that are there at once differ. Nothing where there is none.
  [[nodiscard]] std::optional<FileId> id(std::string_view name) const;
  // Renames the journal, the file and the log, in this order: cut off between, what is left is a log without
  // its file, which is known for what it is. The other way a file without its log could be read as older than
  // it is.
  bool set_aside(std::string& where, std::string& reason) const;

 private:
  // 0, or the errno that a test wants.
  int before(std::string_view step) const { return faults_ == nullptr ? 0 : faults_->at(step, true); }
  void after(std::string_view step) const {
    if (faults_ != nullptr) faults_->at(step, false);
  }
  const std::string dir_;
  FaultInjector* const faults_;
};

}  // namespace reeltack::store
