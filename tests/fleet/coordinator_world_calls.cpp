// The simulation's offices, bulletin and calls: which office a set-up goes to under the terms, and which
// evidence comes back.
#include <algorithm>
#include <cmath>

#include "coordinator_world.h"

namespace reeltack::test {

using OfficeObservation = core::OfficeObserver::OfficeObservation;
using recovery::OfficeState;
using recovery::Verdict;

void World::send_list(std::size_t i) {
  recovery::ListReceived received{list_number_, true, {}};
  if (std::exchange(nodes[i].bulletin_lifetime, bulletin_lifetime_) != bulletin_lifetime_)
    ++nodes[i].restarts;
  received.restarts = nodes[i].restarts;
  const MemberId self = nodes[i].coordinator->members().self().id;
  for (const Office& office : offices) {
    received.offices.push_back({office.identity, recovery::Rank::listed, office.listed, self, Duration{}});
    nodes[i].sightings->track(office.identity);
  }
  nodes[i].list_since = std::min(nodes[i].list_since, now_);
  deliver(i, CoreEvent{received});
  deliver(i, CoreEvent{recovery::ListCaughtUp{}});
}

// The bulletin loses power as well: it numbers from 1 again, with the list unchanged.
void World::restart_bulletin() {
  ++bulletin_lifetime_;
  list_number_ = 1;
  for (std::size_t i = 0; i < nodes.size(); ++i)
    if (nodes[i].coordinator && nodes[i].bulletin) send_list(i);
}

void World::set_bulletin(std::size_t i, bool reachable) {
  nodes[i].bulletin = reachable;
  nodes[i].list_since = Time::max();
  if (!nodes[i].coordinator) return;
  reachable ? send_list(i) : deliver(i, CoreEvent{recovery::SourceUnreachable{}});
}
void World::set_bulletins(bool reachable) {
  for (std::size_t i = 0; i < nodes.size(); ++i) set_bulletin(i, reachable);
}

void World::list(std::size_t office, OfficeState seen) {
  ++list_number_;
  Office& o = offices[office];
  const bool received =
      std::any_of(nodes.begin(), nodes.end(), [](const Node& n) { return n.coordinator && n.bulletin; });
  o.witnesses.clear();
  if (received && o.listed == OfficeState::ready && seen != OfficeState::ready && fully_connected())
    for (const Node& n : nodes) o.witnesses.push_back(n.coordinator != nullptr);
  o.listed = seen;
  o.listed_at = now_;
  for (std::size_t i = 0; i < nodes.size(); ++i)
    if (nodes[i].coordinator && nodes[i].bulletin) send_list(i);
}

void World::replace(std::size_t office) {
  Office& o = offices[office];
  o.identity.start = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now_ - Time{}).count());
  ++o.identity.at.port;
  o.up = true;
  o.started_at = now_;
  o.sent.clear();
  list(office, OfficeState::ready);
}

double World::allowed(const Office& office) const {
  const recovery::RecoverySettings& r = settings_.coordinator.recovery;
  const double age = office.started_at == Time::min()
                         ? 1.0
                         : std::min(std::chrono::duration<double>(now_ - office.started_at) /
                                        std::chrono::duration<double>(r.ramp),
                                    1.0);
  const double n = r.fall_multiple * warm_rate * (r.cold_from + (1.0 - r.cold_from) * age) *
                   std::chrono::duration<double>(r.fall_span).count();
  return n + 3.0 * std::sqrt(n) + 3.0;
}

// Send slots as in the decision module: one per `apart` on average, the first after a random part of it; an
// unused slot lapses.
bool World::take_send_slot(Node& n, const recovery::Terms::Line& line) {
  if (line.max_rate < 0.0) return true;
  const auto apart =
      Duration(static_cast<Duration::rep>(1.0e9 * std::min(60.0, 1.0 / std::max(line.max_rate, 1.0e-6))));
  const auto part = [&](double of) {
    return Duration(static_cast<Duration::rep>(of * static_cast<double>(apart.count())));
  };
  auto [at, added] = n.send_slots.try_emplace(line.office.id, Time::min(), 0);
  auto& [next, start] = at->second;
  if (added || start != line.office.start || now_ > next + std::max<Duration>(apart / 8, 500ms)) {
    start = line.office.start;
    next = now_ + part(uniform());
  }
  next = std::min(next, now_ + 2 * apart);
  if (now_ < next) return false;
  next = now_ + part(0.5 + uniform());
  return true;
}

void World::place_call(std::size_t i) {
  Node& n = nodes[i];
  const double apart = -std::log(1.0 - uniform()) / settings_.calls_per_second;
  after(Duration(static_cast<Duration::rep>(apart * 1.0e9)), [this, i, lifetime = n.lifetime] {
    if (nodes[i].lifetime == lifetime) place_call(i);
  });
  const std::size_t of_class = below(3);
  if (!n.terms || (of_class < n.terms->closed.size() && n.terms->closed[of_class]))
    return ++n.refused, void();
  std::vector<const recovery::Terms::Line*> usable;
  for (const recovery::Terms::Line& line : n.terms->offices) {
    if (line.verdict == Verdict::trusted) usable.push_back(&line);
    if (line.verdict == Verdict::trial && line.ours && n.trying[line.office.id] <= now_)
      usable.push_back(&line);
  }
  while (!usable.empty()) {
    const std::size_t at = below(usable.size());
    if (take_send_slot(n, *usable[at])) return set_up(i, recovery::Terms::Line(*usable[at]));
    usable.erase(usable.begin() + static_cast<std::ptrdiff_t>(at));
  }
  ++n.refused;
}

void World::clear_witnesses() {
  for (Office& office : offices) office.witnesses.clear();
}
bool World::fully_connected() const {
  if (std::find(blocked_.begin(), blocked_.end(), true) != blocked_.end()) return false;
  std::size_t up = 0;
  for (const Node& n : nodes) up += n.coordinator ? 1 : 0;
  return std::all_of(nodes.begin(), nodes.end(),
                     [&](const Node& n) { return !n.coordinator || n.coordinator->members().alive() == up; });
}

void World::record_if_gone(std::size_t i, const Office& office) {
  if (office.listed != OfficeState::gone && office.listed != OfficeState::draining) return;
  Time listed_at = Time::max();  // since when a live and reachable source has listed it so
  for (std::size_t j = 0; j < nodes.size(); ++j)
    if (nodes[j].coordinator && nodes[j].bulletin && !blocked_[i * nodes.size() + j] &&
        !blocked_[j * nodes.size() + i])
      listed_at = std::min(listed_at, std::max({office.listed_at, nodes[j].list_since, nodes[i].started_at}));
  if (listed_at == Time::max()) return;
  if (!office.witnesses.empty() && office.witnesses[i])
    late_by_push = std::max(late_by_push, now_ - office.listed_at);
  late_to_gone = std::max(late_to_gone, now_ - listed_at);
  if (nodes[i].bulletin && now_ - std::max(office.listed_at, nodes[i].list_since) > 250ms) ++sent_to_gone;
}

void World::set_up(std::size_t i, const recovery::Terms::Line& line) {
  Office& o = offices[static_cast<std::uint32_t>(line.office.id)];
  Node& n = nodes[i];
  mix(static_cast<std::uint64_t>(line.office.id) + 7);
  n.trying[line.office.id] = now_ + 10ms;
  const bool reachable = o.up && line.office.at == o.identity.at;
  if (line.office.start >= o.identity.start) record_if_gone(i, o);
  if (reachable) {
    const Duration span = settings_.coordinator.recovery.fall_span;
    while (!o.sent.empty() && o.sent.front() <= now_ - span) o.sent.pop_front();
    o.sent.push_back(now_);
    const bool cold =
        o.started_at != Time::min() && now_ - o.started_at < settings_.coordinator.recovery.ramp;
    const double part = static_cast<double>(o.sent.size()) / allowed(o);
    if (cold) o.max_allowance_used = std::max(o.max_allowance_used, part);
    if (cold && part > 1.0) {
      ++o.falls;
      o.sent.clear();
    }
  }
  ++(reachable ? n.served : n.failed);
  after(2ms, [this, i, lifetime = n.lifetime, reachable, id = line.office.id] {
    if (nodes[i].lifetime == lifetime)
      observe(i, id, reachable ? OfficeObservation::answered : OfficeObservation::unreachable);
  });
}

bool World::all(Stage stage) const {
  return std::all_of(nodes.begin(), nodes.end(), [stage](const Node& n) {
    return !n.coordinator || n.coordinator->recovery().stage() == stage;
  });
}
std::vector<bool> World::usable(std::size_t i) const {
  std::vector<bool> out(offices.size());
  for (const recovery::OfficeAssessment& j : nodes[i].coordinator->recovery().offices(now_))
    out[static_cast<std::uint32_t>(j.office.id)] = j.verdict == Verdict::trusted;
  return out;
}
bool World::agreed() const {
  std::optional<std::vector<bool>> first;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (!nodes[i].coordinator) continue;
    if (!first) first = usable(i);
    if (usable(i) != *first) return false;
  }
  return true;
}
bool World::correct() const {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (!nodes[i].coordinator) continue;
    const std::vector<bool> use = usable(i);
    for (std::size_t k = 0; k < offices.size(); ++k)
      if (use[k] != (offices[k].up && offices[k].listed == OfficeState::ready)) return false;
  }
  return true;
}
void World::reset_counts() {
  for (Node& n : nodes)
    n.recoveries = n.datagram_bytes = n.exchange_bytes = n.served = n.refused = n.failed = 0;
  for (Office& o : offices) o.falls = 0, o.max_allowance_used = 0.0;
  sent_to_gone = suspicions = deaths = 0;
  steps = {};
  late_to_gone = late_by_push = {};
}

}  // namespace reeltack::test
