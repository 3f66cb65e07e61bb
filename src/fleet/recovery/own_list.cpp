#include "fleet/recovery/own_list.h"

namespace reeltack::fleet::recovery {

void OwnList::restore(const std::vector<Evidence>& stored) {
  if (received_) return;
  for (const Evidence& office : stored) apply(office);
}

void OwnList::receive(bool complete, const std::vector<Evidence>& offices) {
  if (complete || !received_) entries_.clear();
  received_ = true;
  for (const Evidence& office : offices) apply(office);
}

void OwnList::apply(const Evidence& office) {
  const ServerId id = office.office.id;
  if (office.state == OfficeState::gone || office.state == OfficeState::absent) {
    entries_.erase(id);
    return;
  }
  if (!entries_.contains(id) && entries_.size() >= max_offices_) return;
  const bool draining = office.state == OfficeState::draining;
  entries_[id] = {office.office, draining ? OfficeState::draining : OfficeState::ready};
}

const OwnList::Entry* OwnList::find(ServerId office) const {
  const auto entry = entries_.find(office);
  return entry == entries_.end() ? nullptr : &entry->second;
}

bool OwnList::allows(const Office& office) const {
  const Entry* entry = find(office.id);
  return entry != nullptr && entry->state == OfficeState::ready && entry->office.at == office.at;
}

}  // namespace reeltack::fleet::recovery
