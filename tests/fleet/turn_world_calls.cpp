// The world's offices, bulletin and calls: who is asked by the terms, and what comes back as evidence.
#include <algorithm>
#include <cmath>

#include "turn_world.h"

namespace reeltack::test {

using OfficeObservation = core::OfficeObserver::OfficeObservation;
using recovery::OfficeState;
using recovery::Verdict;

void World::tell_list(std::size_t i) {
  recovery::ListReceived heard{list_number_, true, {}};
  if (std::exchange(nodes[i].bulletin_life, bulletin_life_) != bulletin_life_) ++nodes[i].restarts;
  heard.restarts = nodes[i].restarts;
  const MemberId self = nodes[i].turn->members().self().id;
  for (const Office& office : offices) {
    heard.offices.push_back({office.is, recovery::Rank::listed, office.listed, self, Duration{}});
    nodes[i].sightings->name(office.is);
  }
  nodes[i].told_gone = std::min(nodes[i].told_gone, now_);
  give(i, CoreEvent{heard});
  give(i, CoreEvent{recovery::ListCaughtUp{}});
}

// Its power is lost too: it counts from 1 again, with the list as it is.
void World::restart_bulletin() {
  ++bulletin_life_;
  list_number_ = 1;
  for (std::size_t i = 0; i < nodes.size(); ++i)
    if (nodes[i].turn && nodes[i].bulletin) tell_list(i);
}

void World::reach(std::size_t i, bool bulletin) {
  nodes[i].bulletin = bulletin;
  nodes[i].told_gone = Time::max();
  if (!nodes[i].turn) return;
  bulletin ? tell_list(i) : give(i, CoreEvent{recovery::SourceUnreachable{}});
}
void World::reach_all(bool bulletin) {
  for (std::size_t i = 0; i < nodes.size(); ++i) reach(i, bulletin);
}

void World::list(std::size_t office, OfficeState seen) {
  ++list_number_;
  Office& o = offices[office];
  const bool heard =
      std::any_of(nodes.begin(), nodes.end(), [](const Node& n) { return n.turn && n.bulletin; });
  o.watched.clear();
  if (heard && o.listed == OfficeState::ready && seen != OfficeState::ready && whole())
    for (const Node& n : nodes) o.watched.push_back(n.turn != nullptr);
  o.listed = seen;
  o.told = now_;
  for (std::size_t i = 0; i < nodes.size(); ++i)
    if (nodes[i].turn && nodes[i].bulletin) tell_list(i);
}

void World::replace(std::size_t office) {
  Office& o = offices[office];
  o.is.start = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now_ - Time{}).count());
  ++o.is.at.port;
  o.up = true;
  o.born = now_;
  o.sent.clear();
  list(office, OfficeState::ready);
}

double World::allowed(const Office& office) const {
  const recovery::RecoverySettings& r = settings_.turn.recovery;
  const double age = office.born == Time::min() ? 1.0
                                                : std::min(std::chrono::duration<double>(now_ - office.born) /
                                                               std::chrono::duration<double>(r.ramp),
                                                           1.0);
  const double n = r.fall_multiple * rate * (r.cold_from + (1.0 - r.cold_from) * age) *
                   std::chrono::duration<double>(r.fall_span).count();
  return n + 3.0 * std::sqrt(n) + 3.0;
}

// As the module paces: a turn each `apart` in the mean, the first at a random part of it; one not taken
// lapses.
bool World::turn_of(Node& n, const recovery::Terms::Line& line) {
  if (line.max_rate < 0.0) return true;
  const auto apart =
      Duration(static_cast<Duration::rep>(1.0e9 * std::min(60.0, 1.0 / std::max(line.max_rate, 1.0e-6))));
  const auto part = [&](double of) {
    return Duration(static_cast<Duration::rep>(of * static_cast<double>(apart.count())));
  };
  auto [at, fresh] = n.paced.try_emplace(line.office.id, Time::min(), 0);
  auto& [next, start] = at->second;
  if (fresh || start != line.office.start || now_ > next + std::max<Duration>(apart / 8, 500ms)) {
    start = line.office.start;
    next = now_ + part(uniform());
  }
  next = std::min(next, now_ + 2 * apart);
  if (now_ < next) return false;
  next = now_ + part(0.5 + uniform());
  return true;
}

void World::call(std::size_t i) {
  Node& n = nodes[i];
  const double apart = -std::log(1.0 - uniform()) / settings_.calls_a_second;
  after(Duration(static_cast<Duration::rep>(apart * 1.0e9)), [this, i, life = n.life] {
    if (nodes[i].life == life) call(i);
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
    if (turn_of(n, *usable[at])) return set_up(i, recovery::Terms::Line(*usable[at]));
    usable.erase(usable.begin() + static_cast<std::ptrdiff_t>(at));
  }
  ++n.refused;
}

void World::unwatch() {
  for (Office& office : offices) office.watched.clear();
}
bool World::whole() const {
  if (std::find(cut_.begin(), cut_.end(), true) != cut_.end()) return false;
  std::size_t up = 0;
  for (const Node& n : nodes) up += n.turn ? 1 : 0;
  return std::all_of(nodes.begin(), nodes.end(),
                     [&](const Node& n) { return !n.turn || n.turn->members().alive() == up; });
}

void World::watch_gone(std::size_t i, const Office& office) {
  if (office.listed != OfficeState::gone && office.listed != OfficeState::draining) return;
  Time told = Time::max();  // since when a source that is live and reached has said so
  for (std::size_t j = 0; j < nodes.size(); ++j)
    if (nodes[j].turn && nodes[j].bulletin && !cut_[i * nodes.size() + j] && !cut_[j * nodes.size() + i])
      told = std::min(told, std::max({office.told, nodes[j].told_gone, nodes[i].began}));
  if (told == Time::max()) return;
  if (!office.watched.empty() && office.watched[i]) late_by_news = std::max(late_by_news, now_ - office.told);
  late_to_gone = std::max(late_to_gone, now_ - told);
  if (nodes[i].bulletin && now_ - std::max(office.told, nodes[i].told_gone) > 250ms) ++sent_to_gone;
}

void World::set_up(std::size_t i, const recovery::Terms::Line& line) {
  Office& o = offices[static_cast<std::uint32_t>(line.office.id)];
  Node& n = nodes[i];
  mix(static_cast<std::uint64_t>(line.office.id) + 7);
  n.trying[line.office.id] = now_ + 10ms;
  const bool there = o.up && line.office.at == o.is.at;
  if (line.office.start >= o.is.start) watch_gone(i, o);
  if (there) {
    const Duration span = settings_.turn.recovery.fall_span;
    while (!o.sent.empty() && o.sent.front() <= now_ - span) o.sent.pop_front();
    o.sent.push_back(now_);
    const bool cold = o.born != Time::min() && now_ - o.born < settings_.turn.recovery.ramp;
    const double part = static_cast<double>(o.sent.size()) / allowed(o);
    if (cold) o.most = std::max(o.most, part);
    if (cold && part > 1.0) {
      ++o.falls;
      o.sent.clear();
    }
  }
  ++(there ? n.served : n.failed);
  after(2ms, [this, i, life = n.life, there, id = line.office.id] {
    if (nodes[i].life == life)
      saw(i, id, there ? OfficeObservation::answered : OfficeObservation::unreachable);
  });
}

bool World::all(Stage stage) const {
  return std::all_of(nodes.begin(), nodes.end(),
                     [stage](const Node& n) { return !n.turn || n.turn->recovery().stage() == stage; });
}
std::vector<bool> World::usable(std::size_t i) const {
  std::vector<bool> out(offices.size());
  for (const recovery::OfficeAssessment& j : nodes[i].turn->recovery().offices(now_))
    out[static_cast<std::uint32_t>(j.office.id)] = j.verdict == Verdict::trusted;
  return out;
}
bool World::agreed() const {
  std::optional<std::vector<bool>> first;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (!nodes[i].turn) continue;
    if (!first) first = usable(i);
    if (usable(i) != *first) return false;
  }
  return true;
}
bool World::correct() const {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (!nodes[i].turn) continue;
    const std::vector<bool> use = usable(i);
    for (std::size_t k = 0; k < offices.size(); ++k)
      if (use[k] != (offices[k].up && offices[k].listed == OfficeState::ready)) return false;
  }
  return true;
}
void World::forget_counts() {
  for (Node& n : nodes)
    n.recoveries = n.datagram_bytes = n.exchange_bytes = n.served = n.refused = n.failed = 0;
  for (Office& o : offices) o.falls = 0, o.most = 0.0;
  sent_to_gone = suspicions = deaths = 0;
  steps = {};
  late_to_gone = late_by_news = {};
}

}  // namespace reeltack::test
