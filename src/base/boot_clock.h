// The machine's clock since its boot, with the name of the boot.
//
// Owns: the reading of both. For what is written to disk and read by a later process; a span within a process
//   is measured with base::now().
// Must never: throw; where the boot's name cannot be read, it is given as not known.
#pragma once

#include "clocks/boot_time.h"

namespace reeltack::base {

clocks::BootTime boot_now();

}  // namespace reeltack::base
