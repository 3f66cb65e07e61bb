// Limit on the number of records.
#include "store/record_bound.h"

#include <algorithm>

namespace reeltack::store {

BatchSplit divide(std::vector<Change> changes, const RecordBound& bound) {
  const auto erases = [&bound](const Change& change) { return !change.value && bound.is_stored(change.key); };
  const auto erased = static_cast<std::size_t>(std::count_if(changes.begin(), changes.end(), erases));
  const std::size_t remaining = bound.stored - erased;
  std::size_t free_records = bound.max > remaining ? bound.max - remaining : 0;
  BatchSplit out;
  for (Change& change : changes) {
    const bool is_new = change.value && !bound.is_stored(change.key);
    if (is_new && free_records == 0) {
      out.deferred.push_back(std::move(change));
      continue;
    }
    if (is_new) --free_records;
    out.fits.push_back(std::move(change));
  }
  return out;
}

}  // namespace reeltack::store
