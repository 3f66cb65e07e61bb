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
  if (arbiter_ != nullptr && source == Source::platform)
    return pass_platform_list(complete && !restarting, offices);
  offices.insert(offices.end(), left_out.begin(), left_out.end());
  core_.update_offices(false, std::move(offices));
}

// With an arbiter: what ends passes at once. What is ready waits for the arbiter's decision, unless that was
// made before for this instance.
void OfficeList::pass_platform_list(bool complete, const std::vector<OfficeEntry>& offices) {
  platform_listed_ = true;
  arbiter_->listed(followed_, complete, offices);
  std::vector<OfficeEntry> changes;
  withdraw_unlisted(changes);
  for (const OfficeEntry& office : offices) {
    if (office.entry.state != ServerState::ready) {
      changes.push_back(office);
      continue;
    }
    const auto decided = decided_.find(office.entry.server);
    if (decided == decided_.end() || passed_as_ready(office.entry.server)) continue;
    const std::optional<OfficeEntry> limited = limit(decided->second);
    if (limited && limited->entry.state == ServerState::ready) changes.push_back(*limited);
  }
  pass_on(std::move(changes));
}

// Offices that were passed on and that the platform no longer lists. Their calls continue.
void OfficeList::withdraw_unlisted(std::vector<OfficeEntry>& changes) const {
  for (const auto& [id, passed] : passed_) {
    if (passed.entry.state != ServerState::ready || named_by_platform(id) != nullptr) continue;
    changes.push_back(passed);
    changes.back().entry.state = ServerState::draining;
  }
}

const OfficeEntry* OfficeList::named_by_platform(ServerId office) const {
  const auto listed = listed_.find(Source::platform);
  if (listed == listed_.end()) return nullptr;
  const auto entry = listed->second.find(office);
  return entry == listed->second.end() ? nullptr : &entry->second;
}

// What the platform's list leaves of a decision; nothing: it has no effect.
std::optional<OfficeEntry> OfficeList::limit(const OfficeEntry& decision) const {
  const ServerId office = decision.entry.server;
  const OfficeEntry* named = named_by_platform(office);
  if (named == nullptr) {
    if (is_listed_by_other(Source::platform, office)) return std::nullopt;
    if (!platform_listed_ || (decision.entry.state != ServerState::ready && passed_.contains(office)))
      return decision;
    return std::nullopt;
  }
  const bool same_instance = decision.address == named->address && decision.entry.start >= named->entry.start;
  if (same_instance &&
      (decision.entry.state != ServerState::ready || named->entry.state == ServerState::ready))
    return decision;
  OfficeEntry limited = *named;
  const bool gone = decision.entry.state == ServerState::gone;
  limited.entry.state = gone ? ServerState::gone : ServerState::draining;
  return limited;
}

bool OfficeList::passed_as_ready(ServerId office) const {
  const auto passed = passed_.find(office);
  return passed != passed_.end() && passed->second.entry.state == ServerState::ready;
}

bool OfficeList::is_listed_by_other(Source source, ServerId office) const {
  return std::any_of(listed_.begin(), listed_.end(),
                     [&](const auto& n) { return n.first != source && n.second.contains(office); });
}

void OfficeList::pass_on(std::vector<OfficeEntry> changes) {
  if (changes.empty()) return;
  for (const OfficeEntry& office : changes) {
    if (office.entry.state == ServerState::gone)
      passed_.erase(office.entry.server);
    else
      passed_[office.entry.server] = office;
  }
  core_.update_offices(false, std::move(changes));
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
  std::vector<OfficeEntry> changes;
  withdraw_unlisted(changes);
  pass_on(std::move(changes));
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
  std::vector<OfficeEntry> changes;
  for (const OfficeEntry& decision : offices) {
    if (decision.entry.state == ServerState::gone)
      decided_.erase(decision.entry.server);
    else
      decided_[decision.entry.server] = decision;
    if (const std::optional<OfficeEntry> limited = limit(decision)) changes.push_back(*limited);
  }
  pass_on(std::move(changes));
}

bool OfficeList::listed_by_other_source(Source source, ServerId office) {
  const std::lock_guard hold(lock_);
  return is_listed_by_other(source, office);
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
