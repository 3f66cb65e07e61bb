#include "core/office_list.h"

#include <algorithm>

namespace reeltack::core {

void OfficeList::told(Source source, bool complete, std::vector<OfficeEntry> offices) {
  const std::lock_guard hold(lock_);  // over the hand-on too: changes must not overtake each other
  using From = clocks::StartTimes::From;
  fill_started(source == Source::platform ? From::discovery : From::endpoint, offices);
  auto& named = named_[source];
  const bool begun_anew =
      source == Source::platform && !unnamed_.empty();  // the whole is there once it caught up
  std::vector<OfficeEntry> left_out;
  if (complete && !begun_anew) {
    for (const auto& [id, entry] : named) {
      const bool kept = std::any_of(offices.begin(), offices.end(),
                                    [id = id](const OfficeEntry& o) { return o.entry.server == id; });
      if (kept || entry.entry.state == ServerState::gone) continue;
      left_out.push_back(entry);
      left_out.back().entry.state = ServerState::gone;
    }
  }
  for (const OfficeEntry& o : left_out) named.erase(o.entry.server);
  for (const OfficeEntry& o : offices) {
    named[o.entry.server] = o;
    if (source == Source::platform) unnamed_.erase(o.entry.server);
  }
  std::erase_if(named, [](const auto& n) { return n.second.entry.state == ServerState::gone; });
  if (governor_ != nullptr && source == Source::platform) {
    governor_->listed(live_, complete, offices);
    for (const OfficeEntry& o : offices) {
      if (o.entry.state == ServerState::ready) {
        ended_.erase(o.entry.server);
      } else {
        ended_[o.entry.server] = o;
      }
    }
    std::erase_if(offices, [](const OfficeEntry& o) { return o.entry.state == ServerState::ready; });
    if (offices.empty()) return;
  } else {
    offices.insert(offices.end(), left_out.begin(), left_out.end());
  }
  core_.told(false, std::move(offices));
}

void OfficeList::fill_started(clocks::StartTimes::From from, std::vector<OfficeEntry>& offices) {
  std::vector<ServerEntry*> entries;
  entries.reserve(offices.size());
  for (OfficeEntry& o : offices) entries.push_back(&o.entry);
  start_times_.fill(from, read_clocks_(), entries);
}

void OfficeList::followed() {
  const std::lock_guard hold(lock_);
  start_times_.followed(read_clocks_().steady);
}

void OfficeList::numbered(std::uint64_t number) {
  const std::lock_guard hold(lock_);
  if (governor_ != nullptr) governor_->numbered(number);
}

void OfficeList::restarted() {
  const std::lock_guard hold(lock_);
  if (governor_ == nullptr) return;
  for (const auto& [id, entry] : named_[Source::platform]) unnamed_.insert(id);
  governor_->restarted();
}

void OfficeList::caught_up() {
  const std::lock_guard hold(lock_);
  for (const ServerId id : unnamed_) named_[Source::platform].erase(id);
  unnamed_.clear();
  follow(true);
  if (governor_ != nullptr) governor_->caught_up();
}

void OfficeList::live(bool followed) {
  const std::lock_guard hold(lock_);
  if (unnamed_.empty() || !followed) follow(followed);
}

void OfficeList::follow(bool followed) {
  if (followed == live_) return;
  live_ = followed;
  if (governor_ == nullptr) return;
  if (!followed) return governor_->silent();
  std::vector<OfficeEntry> all;
  for (const auto& [id, entry] : named_[Source::platform]) all.push_back(entry);
  governor_->listed(true, true, all);
}

void OfficeList::settled(std::vector<OfficeEntry> offices) {
  const std::lock_guard hold(lock_);
  fill_started(clocks::StartTimes::From::controllers, offices);
  for (OfficeEntry& o : offices) {
    const auto ended = ended_.find(o.entry.server);
    if (ended == ended_.end() || ended->second.entry.start < o.entry.start) continue;
    const bool gone = o.entry.state == ServerState::gone || ended->second.entry.state == ServerState::gone;
    o.entry.state = gone ? ServerState::gone : ServerState::draining;
  }
  core_.told(false, std::move(offices));
}

bool OfficeList::listed_by_other_source(Source source, ServerId office) {
  const std::lock_guard hold(lock_);
  return std::any_of(named_.begin(), named_.end(),
                     [&](const auto& n) { return n.first != source && n.second.contains(office); });
}

OfficeBackend& OfficeRouter::side(ServerId office) {
  for (const Side& s : sides_) {
    if (s.owns(office)) return *s.side;
  }
  return dialled_;
}

void OfficeRouter::listed(bool complete, const std::vector<OfficeEntry>& offices) {
  std::vector<OfficeEntry> dialled;
  for (const OfficeEntry& o : offices) {
    if (&side(o.entry.server) == &dialled_) dialled.push_back(o);
  }
  dialled_.listed(complete, dialled);
}

}  // namespace reeltack::core
