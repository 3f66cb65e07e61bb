// Plays a fixed exchange again and again, each time with another of its system calls failing.
//
// Owns: which call fails with which errno, and the count of what was visited, which it prints.
// Must never: know the exchange.
#pragma once

#include <functional>
#include <vector>

#include "system_calls/faults.h"

namespace reeltack::test {

struct Kind {
  faults::Call call{};
  std::vector<int> transient;  // everybody gets what they get where nothing fails
  std::vector<int> final;      // one connection or attempt may be lost
};

// Plays once; calls `begin` where the calls begin to count. `undisturbed`: nothing may be lost.
using Play = std::function<void(const std::function<void()>& begin, bool undisturbed)>;

// The n-th call of the kind with each errno, for every n that the exchange visits.
void fail_each_call(const Kind& kind, const Play& play);

}  // namespace reeltack::test
