// Divides a batch by the store's bound on records, so that what fits need not wait for what does not.
//
// Owns: the rule alone. Must never: touch a disk.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "store/store.h"

namespace reeltack::store {

struct RecordBound {
  std::size_t stored = 0;  // records in the store now
  std::size_t most = 0;
  std::function<bool(const std::string& key)> is_stored;
};

// Overwrites and erasures always fit, and an erasure makes room for a new key of the same batch, for they are
// written as one. New keys take what room there is in their order; the others are left over. Each key is in
// `changes` at most once; both parts keep the order.
BatchSplit divide(std::vector<Change> changes, const RecordBound& bound);

}  // namespace reeltack::store
