// Reads the store when its disk can be read but not written.
//
// Verifies and reads a copy in memory in the same way as Store::open(). Never changes a file and
// returns nothing that it cannot verify.
#pragma once

#include "store/store.h"

namespace reeltack::store {

// Like Store::open(). If the system refused to open the store for writing and its content can be
// verified, the result is `read_only` with the records, and `reason` tells what was refused. If another
// process holds the store, or the copy cannot be read or verified, the result stays `failed`, with both
// reasons.
OpenResult open_or_read(const StoreSettings& settings);

}  // namespace reeltack::store
