// Ordering of pieces of evidence: by the kind of their source and by severity. Internal to this module.
#pragma once

#include "fleet/recovery/offices.h"

namespace reeltack::fleet::recovery {

enum class SourceKind : std::uint8_t { list, observation, store };
inline SourceKind source_kind(const Evidence& e) {
  if (e.rank == Rank::listed) return SourceKind::list;
  return e.rank == Rank::stored ? SourceKind::store : SourceKind::observation;
}
// Among evidence of equal age the more severe state counts.
inline int severity(OfficeState state) {
  switch (state) {
    case OfficeState::answered:
      return 0;
    case OfficeState::ready:
      return 1;
    case OfficeState::silent:
      return 2;
    case OfficeState::refused:
      return 3;
    case OfficeState::absent:
      return 4;
    case OfficeState::draining:
      return 5;
    case OfficeState::gone:
      return 6;
  }
  return 6;
}
inline bool is_up(OfficeState state) { return state == OfficeState::ready || state == OfficeState::answered; }
inline bool is_ended(OfficeState state) {
  return state == OfficeState::draining || state == OfficeState::gone;
}
// An unknown time sorts before every known one.
inline Time or_earliest(std::optional<Time> observed_at) { return observed_at.value_or(Time::min()); }
inline Duration elapsed_since(Time now, Time at) { return at == Time::min() ? Duration::max() : now - at; }

}  // namespace reeltack::fleet::recovery
