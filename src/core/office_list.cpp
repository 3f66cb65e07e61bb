#include "core/office_list.h"

#include <algorithm>

namespace reeltack::core {

void OfficeList::update(Source source, bool complete, std::vector<OfficeEntry> offices) {
  const std::lock_guard hold(lock_);  // held while passing on too: changes must not overtake each other
  using Origin = clocks::StartTimes::Origin;
  fill_started_at(source == Source::platform ? Origin::discovery : Origin::endpoint, offices);
  auto& listed = listed_[source];
  const bool restarting =
      source == Source::platform && !unconfirmed_.empty();  // its list is complete once it has caught up
  std::vector<OfficeEntry> left_out;
  if (complete && !restarting) {
    for (const auto& [id, entry] : listed) {
      const bool still_listed = std::any_of(offices.begin(), offices.end(),
                                            [id = id](const OfficeEntry& o) { return o.entry.server == id; });
      if (still_listed || entry.entry.state == ServerState::gone) continue;
      left_out.push_back(entry);
      left_out.back().entry.state = ServerState::gone;
    }
  }
  for (const OfficeEntry& o : left_out) listed.erase(o.entry.server);
  for (const OfficeEntry& o : offices) {
    listed[o.entry.server] = o;
    if (source == Source::platform) unconfirmed_.erase(o.entry.server);
  }
  std::erase_if(listed, [](const auto& n) { return n.second.entry.state == ServerState::gone; });
  if (arbiter_ != nullptr && source == Source::platform) {
    arbiter_->listed(followed_, complete, offices);
    for (const OfficeEntry& o : offices) {
      if (o.entry.state == ServerState::ready) {
        withdrawn_.erase(o.entry.server);
      } else {
        withdrawn_[o.entry.server] = o;
      }
    }
    std::erase_if(offices, [](const OfficeEntry& o) { return o.entry.state == ServerState::ready; });
    if (offices.empty()) return;
  } else {
    offices.insert(offices.end(), left_out.begin(), left_out.end());
  }
  core_.update_offices(false, std::move(offices));
}

void OfficeList::fill_started_at(clocks::StartTimes::Origin origin, std::vector<OfficeEntry>& offices) {
  std::vector<ServerEntry*> entries;
  entries.reserve(offices.size());
  for (OfficeEntry& o : offices) entries.push_back(&o.entry);
  start_times_.fill(origin, read_clocks_(), entries);
}

void OfficeList::confirm_current() {
  const std::lock_guard hold(lock_);
  start_times_.mark_followed(read_clocks_().steady);
}

void OfficeList::set_list_number(std::uint64_t number) {
  const std::lock_guard hold(lock_);
  if (arbiter_ != nullptr) arbiter_->set_list_number(number);
}

void OfficeList::source_restarted() {
  const std::lock_guard hold(lock_);
  if (arbiter_ == nullptr) return;
  for (const auto& [id, entry] : listed_[Source::platform]) unconfirmed_.insert(id);
  arbiter_->source_restarted();
}

void OfficeList::source_caught_up() {
  const std::lock_guard hold(lock_);
  for (const ServerId id : unconfirmed_) listed_[Source::platform].erase(id);
  unconfirmed_.clear();
  change_followed(true);
  if (arbiter_ != nullptr) arbiter_->source_caught_up();
}

void OfficeList::set_followed(bool followed) {
  const std::lock_guard hold(lock_);
  if (unconfirmed_.empty() || !followed) change_followed(followed);
}

void OfficeList::change_followed(bool followed) {
  if (followed == followed_) return;
  followed_ = followed;
  if (arbiter_ == nullptr) return;
  if (!followed) return arbiter_->source_lost();
  std::vector<OfficeEntry> all;
  for (const auto& [id, entry] : listed_[Source::platform]) all.push_back(entry);
  arbiter_->listed(true, true, all);
}

void OfficeList::apply_decision(std::vector<OfficeEntry> offices) {
  const std::lock_guard hold(lock_);
  fill_started_at(clocks::StartTimes::Origin::controllers, offices);
  for (OfficeEntry& o : offices) {
    const auto withdrawn = withdrawn_.find(o.entry.server);
    if (withdrawn == withdrawn_.end() || withdrawn->second.entry.start < o.entry.start) continue;
    const bool gone =
        o.entry.state == ServerState::gone || withdrawn->second.entry.state == ServerState::gone;
    o.entry.state = gone ? ServerState::gone : ServerState::draining;
  }
  core_.update_offices(false, std::move(offices));
}

bool OfficeList::listed_by_other_source(Source source, ServerId office) {
  const std::lock_guard hold(lock_);
  return std::any_of(listed_.begin(), listed_.end(),
                     [&](const auto& n) { return n.first != source && n.second.contains(office); });
}

OfficeBackend& OfficeRouter::backend_of(ServerId office) {
  for (const Route& route : routes_) {
    if (route.owns(office)) return *route.backend;
  }
  return default_backend_;
}

void OfficeRouter::listed(bool complete, const std::vector<OfficeEntry>& offices) {
  std::vector<OfficeEntry> dialled;
  for (const OfficeEntry& o : offices) {
    if (&backend_of(o.entry.server) == &default_backend_) dialled.push_back(o);
  }
  default_backend_.listed(complete, dialled);
}

}  // namespace reeltack::core
