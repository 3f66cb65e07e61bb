// The store's folder: creates it, locks it, makes its directory entries durable, and sets unreadable
// files aside.
//
// Defines the names of the files in it and passes each step to the FaultInjector, if there is one.
// Never deletes a file and never overwrites one that was set aside.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "store/fault_injector.h"
#include "store/lock.h"

namespace reeltack::store {

struct FileId {
  std::uint64_t device = 0, inode = 0;
  bool operator==(const FileId&) const = default;
};

class Folder {
 public:
  Folder(std::string dir, FaultInjector* faults) : dir_(std::move(dir)), faults_(faults) {}
  // False on failure, with the reason in `reason`; likewise below.
  bool make(std::string& reason) const;
  Lock::Result lock(Lock& lock, std::string& reason) const;
  bool sync(std::string& reason) const;
  [[nodiscard]] std::uint64_t size(std::string_view name) const;  // 0 if the file is missing
  // Identity of the file under a name, which distinguishes files that exist at the same time. Empty if
  // there is none.
  [[nodiscard]] std::optional<FileId> id(std::string_view name) const;
  // Renames the journal, the database and the log, in this order. If that is interrupted, what is left
  // is a log without its database, which is recognized as such. In another order a database without its
  // log could be left and be read as an older state.
  bool set_aside(std::string& aside_path, std::string& reason) const;

 private:
  // 0, or the errno that a test injects.
  int before(std::string_view step) const { return faults_ == nullptr ? 0 : faults_->at(step, true); }
  void after(std::string_view step) const {
    if (faults_ != nullptr) faults_->at(step, false);
  }
  const std::string dir_;
  FaultInjector* const faults_;
};

}  // namespace reeltack::store
