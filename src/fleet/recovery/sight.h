// How pieces of evidence compare: by which part of their source, and which is the worse.
//
// Owns: nothing. Must never: be included outside this room.
#pragma once

#include "fleet/recovery/offices.h"

namespace reeltack::fleet::recovery {

enum class Part : std::uint8_t { list, eyes, store };
inline Part part_of(const Evidence& e) {
  if (e.rank == Rank::listed) return Part::list;
  return e.rank == Rank::stored ? Part::store : Part::eyes;
}
// Of equal age the higher counts.
inline int worse(OfficeState seen) {
  switch (seen) {
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
inline bool up(OfficeState seen) { return seen == OfficeState::ready || seen == OfficeState::answered; }
inline bool over(OfficeState seen) { return seen == OfficeState::draining || seen == OfficeState::gone; }
inline Time of(std::optional<Time> as_of) { return as_of.value_or(Time::min()); }
inline Duration since(Time now, Time at) { return at == Time::min() ? Duration::max() : now - at; }

}  // namespace reeltack::fleet::recovery
