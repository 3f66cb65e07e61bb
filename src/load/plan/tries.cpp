#include "load/plan/tries.h"

namespace reeltack::load {

void Tries::placed(Time at, const PlaceTry& placed, std::size_t target) {
  waiting_[placed.id] = records_.size();
  records_.push_back({placed.id, target, placed.call_class, at});
}

TryRecord* Tries::waiting(TryId id) {
  const auto found = waiting_.find(id);
  return found == waiting_.end() ? nullptr : &records_[found->second];
}

void Tries::sent(Time at, TryId id) {
  if (TryRecord* const record = waiting(id)) record->sent = at;
}

void Tries::ended(Time at, TryId id, TryEnd how) {
  TryRecord* const record = waiting(id);
  if (record == nullptr) return;
  record->ended = at;
  record->end = how;
  waiting_.erase(id);
}

}  // namespace reeltack::load
