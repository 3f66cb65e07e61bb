// Where a test may make the store fail or die: its own steps on files, each told before and after.
//
// Owns: the interface. What SQLite does to its files is reached by StoreSettings::vfs.
// Must never: be given in service.
#pragma once

#include <string_view>

namespace reeltack::store {

class FaultInjector {
 public:
  virtual ~FaultInjector() = default;
  // Called before and after each step ("make folder", "lock", "sync folder", "set aside"). A number other
  // than 0 before a step is the errno that it fails with, without being tried; after it, it is ignored.
  virtual int at(std::string_view step, bool before) = 0;
};

}  // namespace reeltack::store
