#include "platform/offices.h"

#include <algorithm>

#include "platform/link.h"

namespace reeltack::platform {

using core::OfficeEntry;
using core::SetUp;

Offices::Offices(core::Core& core, std::vector<std::string> class_names, Duration dial_limit)
    : core_(core), class_names_(std::move(class_names)), dial_limit_(dial_limit) {
  loop_.start();
}
Offices::~Offices() = default;

std::shared_ptr<OfficeLink> Offices::link(ServerId office) {
  const std::lock_guard hold(lock_);
  const auto found = links_.find(office);
  return found == links_.end() ? nullptr : found->second;
}

void Offices::listed(bool complete, const std::vector<OfficeEntry>& offices) {
  const std::lock_guard hold(lock_);
  for (const OfficeEntry& office : offices) {
    auto& link = links_[office.entry.server];
    const bool known = link != nullptr;
    if (!known && office.entry.state != ServerState::gone)
      link = std::make_shared<OfficeLink>(core_, loop_, office.entry.server, dial_limit_);
    if (!known && link) link->begin();
    if (!known && link && finishing_) link->finish();
    if (link) link->listed(office);
    if (office.entry.state == ServerState::gone) links_.erase(office.entry.server);
  }
  if (!complete) return;
  std::erase_if(links_, [&offices](const auto& l) {
    const bool listed_still = std::any_of(offices.begin(), offices.end(),
                                          [&l](const OfficeEntry& o) { return o.entry.server == l.first; });
    if (!listed_still) l.second->listed({{.server = l.first, .state = ServerState::gone}, ""});
    return !listed_still;
  });
}

void Offices::start(const SetUp& set_up) {
  const auto to = link(set_up.office);
  if (!to) return core_.attempt_failed(set_up.call, set_up.attempt, AttemptOutcome::not_sent);
  const std::string name = set_up.call_class < class_names_.size() ? class_names_[set_up.call_class] : "";
  if (!to->start(set_up, name)) core_.attempt_failed(set_up.call, set_up.attempt, AttemptOutcome::not_sent);
}
void Offices::cancel(ServerId office, CallId call, std::uint32_t attempt) {
  if (const auto to = link(office)) to->give_up(call, attempt);
}
void Offices::release(ServerId office, CallId call) {
  if (const auto to = link(office)) to->release(call);
}
void Offices::keep_connection(ServerId office, bool calls_established) {
  if (const auto to = link(office)) to->keep(calls_established);
}
void Offices::earliest_connection_changed(ServerId office, core::ConnectionNumber earliest) {
  if (const auto to = link(office)) to->earliest_connection_changed(earliest);
}
core::ConnectionNumber Offices::last_before_restart(ServerId office) {
  const auto to = link(office);
  return to ? to->last_before_restart() : core::kAnyConnection;
}

void Offices::finish() {
  const std::lock_guard hold(lock_);
  finishing_ = true;
  for (const auto& [id, link] : links_) link->finish();
}
bool Offices::has_pending_releases() {
  const std::lock_guard hold(lock_);
  return std::any_of(links_.begin(), links_.end(),
                     [](const auto& l) { return l.second->has_pending_releases(); });
}
bool Offices::finished() {
  const std::lock_guard hold(lock_);
  return std::all_of(links_.begin(), links_.end(), [](const auto& l) { return l.second->finished(); });
}

}  // namespace reeltack::platform
