// Test hook that can make the store's own steps on files fail, or end the process at them. SQLite's
// file operations are intercepted through StoreSettings::vfs instead. Never set in production.
#pragma once

#include <string_view>

namespace reeltack::store {

class FaultInjector {
 public:
  virtual ~FaultInjector() = default;
  // Called before and after each step ("make folder", "lock", "sync folder", "set aside"). A non-zero
  // result before a step is the errno that it fails with, without being attempted. The result after a
  // step is ignored.
  virtual int at(std::string_view step, bool before) = 0;
};

}  // namespace reeltack::store
