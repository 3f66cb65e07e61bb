// Splits a batch by the store's limit on records, so that changes that fit need not wait for those that
// do not. Does no I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "store/store.h"

namespace reeltack::store {

struct RecordBound {
  std::size_t stored = 0;  // records in the store now
  std::size_t max = 0;
  std::function<bool(const std::string& key)> is_stored;
};

// Overwrites and erasures always fit, and an erasure makes room for a new key of the same batch, as
// both are written in one transaction. New keys use the remaining capacity in their order; the others
// are deferred. Each key occurs at most once in `changes`. Both parts keep the order.
BatchSplit divide(std::vector<Change> changes, const RecordBound& bound);

}  // namespace reeltack::store
