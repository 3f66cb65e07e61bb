// A store whose disk can be read and not be written: what it holds is read all the same.
//
// Owns: the reading, with the same proof as an opening, of a copy in memory. Must never: change a file, or
//   take what it cannot prove.
#pragma once

#include "store/store.h"

namespace reeltack::store {

// As Store::open(). Where the machine refused to open it for writing and what is there can be proven:
// `read_only`, with the records, and `why` says what was refused. Where another process is found to have it,
// or the copy cannot be read or proven, it stays `failed`, with both reasons.
OpenResult open_or_read(const StoreSettings& settings);

}  // namespace reeltack::store
