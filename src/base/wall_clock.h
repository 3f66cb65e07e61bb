// The one reading of the machine's wall clock.
//
// Owns: the only call that reads Unix time; .ci/clocks refuses any other. For what the wire, the store or a
// log
//   line gives in Unix time. A span is measured with base::now().
// Must never: be waited on, or turned into a Time but by one Reading of both clocks.
#pragma once

#include "clocks/wall_time.h"

namespace reeltack::base {

using clocks::WallTime;

WallTime wall_now();
// Both clocks, within a few microseconds of each other.
clocks::ClockReading read_clocks();

}  // namespace reeltack::base
