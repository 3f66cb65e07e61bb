// What this process itself has used so far: a generator says what it cost beside what it measured.
//
// Owns: nothing. Must never: be taken for the target's use.
#pragma once

#include <sys/resource.h>

namespace reeltack::load {

struct OwnUse {
  double cpu_seconds = 0.0;
  double peak_mb = 0.0;
};

inline OwnUse own_use() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return {seconds(used.ru_utime) + seconds(used.ru_stime), static_cast<double>(used.ru_maxrss) / 1024.0};
}

}  // namespace reeltack::load
