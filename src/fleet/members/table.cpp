// Merging updates into the table: the higher incarnation wins, then the worse health. Suspicions, refutation.
#include <cmath>
#include <utility>

#include "fleet/members/state.h"

namespace reeltack::fleet::members {
namespace {

bool newer(const Update& a, const Update& b) {
  return std::pair(a.incarnation, a.health) > std::pair(b.incarnation, b.health);
}

const char* reason(Source source) {
  switch (source) {
    case Source::failed_probe:
      return "no answer";
    case Source::suspicion_timeout:
      return "nobody refuted";
    case Source::direct_message:
      return "spoke";
    case Source::gossip:
      return "passed on";
    case Source::table_exchange:
      return "in a table";
  }
  return "";
}

constexpr Duration kMinRunBeforeDuplicateReport = std::chrono::minutes(1);

}  // namespace

std::size_t Members::State::max_transmissions() const {
  const double transmissions = settings.retransmit_multiplier * std::log10(static_cast<double>(live()) + 1.0);
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(transmissions)));
}

Update Members::State::own() const {
  return {self.id, self.incarnation, left ? Health::left : Health::alive, self.at, self.name, self.zone, {}};
}

void Members::State::apply_update(Time now, const Update& update, Source source, MemberId from,
                                  Actions& actions) {
  if (update.member == self.id) return apply_own_update(now, update, actions);
  const auto found = table.find(update.member);
  if (found == table.end()) return add_member(now, update, source, actions);
  Member& member = found->second;
  Update merged = update;
  if (source == Source::table_exchange && merged.health == Health::dead && is_live(member)) {
    merged.health = Health::suspect;
    merged.by = from;
  }
  if (merged.incarnation == member.update.incarnation && merged.health == Health::suspect &&
      member.update.health == Health::suspect) {
    if (!suspicions.at(merged.member).confirm(merged.by)) return;
    member.update.by = merged.by;  // each confirmation is disseminated under the confirming member's id
    broadcasts.put(merged.member);
    return;
  }
  if (newer(merged, member.update)) change_member(now, member, merged, source, actions);
}

void Members::State::add_member(Time now, const Update& update, Source source, Actions& actions) {
  if (update.health >= Health::dead) return;
  if (table.size() + 1 >= kMaxMembers && !make_room()) {
    ++rejections.table_full;
    return;
  }
  Member& member = table[update.member];
  incarnation_sum += update.incarnation - member.update.incarnation;
  member.update = update;
  member.health_since = now;
  probe_order.insert(update.member, random);
  if (update.health == Health::suspect) start_suspicion(now, update);
  // Everyone else already knows what a new member learns from its first tables, so it is not broadcast.
  const bool first_tables =
      source == Source::table_exchange && (!joined_at || now < *joined_at + 10 * settings.period);
  if (!joined_at) {
    joined_at = now;
    exchange_interval = settings.period;
    exchange_at = now + exchange_interval;
  }
  if (!first_tables) broadcasts.put(update.member);
  // Where a table names a new member, another part of it may have been lost.
  if (source == Source::table_exchange) {
    exchange_at = std::min(exchange_at, now + 2 * settings.period);
    table_incomplete = true;
  }
  actions.emplace_back(
      HealthChanged{update.member, std::nullopt, update.health, update.incarnation, reason(source)});
}

void Members::State::change_member(Time now, Member& member, const Update& update, Source source,
                                   Actions& actions) {
  const Health before = member.update.health;
  if (update.incarnation > member.update.incarnation) {
    incarnation_sum += update.incarnation - member.update.incarnation;
    member.update = update;
  } else {  // within one incarnation only its health changes; the other fields are its own statements
    member.update.health = update.health;
    member.update.by = update.by;
  }
  const MemberId id = update.member;
  suspicions.erase(id);
  if (update.health == Health::suspect) start_suspicion(now, update);
  if (is_live(member)) {
    probe_order.insert(id, random);
  } else {
    probe_order.erase(id);
    if (probe && probe->target == id) probe.reset();
  }
  broadcasts.put(id);
  if (before == update.health) return;  // a new incarnation with the same health
  member.health_since = now;
  actions.emplace_back(HealthChanged{id, before, update.health, update.incarnation, reason(source)});
}

void Members::State::start_suspicion(Time now, const Update& update) {
  Suspicion s;
  s.started = now;
  const double size = std::max(1.0, std::log10(static_cast<double>(live())));
  s.min_duration = Duration(static_cast<Duration::rep>(settings.suspicion_multiplier * size *
                                                       static_cast<double>(settings.period.count())));
  s.max_duration = Duration(static_cast<Duration::rep>(static_cast<double>(s.min_duration.count()) *
                                                       std::max(1.0, settings.suspicion_max_multiplier)));
  // This member, the suspect and the first member to suspect cannot confirm.
  s.max_confirmations = std::min(settings.max_confirmations, live() - std::min<std::size_t>(live(), 3));
  s.first_by = update.by;
  suspicions[update.member] = std::move(s);
}

void Members::State::suspect(Time now, MemberId member, Actions& actions) {
  const auto found = table.find(member);
  if (found == table.end() || !is_live(found->second)) return;
  Update update = found->second.update;
  update.health = Health::suspect;
  update.by = self.id;
  apply_update(now, update, Source::failed_probe, self.id, actions);
}

void Members::State::expire_suspicions(Time now, Actions& actions) {
  std::vector<MemberId> expired;
  for (const auto& [id, s] : suspicions) {
    if (now >= s.expires_at()) expired.push_back(id);
  }
  for (const MemberId id : expired) {
    Update update = table.at(id).update;
    update.health = Health::dead;
    update.by = self.id;
    apply_update(now, update, Source::suspicion_timeout, self.id, actions);
  }
}

// A report about ourselves that is newer or worse than our own state is refuted by a higher incarnation.
void Members::State::apply_own_update(Time now, const Update& update, Actions& actions) {
  if (left || std::pair(update.incarnation, update.health) <= std::pair(self.incarnation, Health::alive))
    return;
  if (update.health == Health::alive && update.at != self.at &&
      now > started_at + kMinRunBeforeDuplicateReport) {
    report_duplicate(now, update.incarnation, update.at, actions);
  }
  if (update.incarnation < pending_incarnation) return;
  if (update.health != Health::alive && update.incarnation == self.incarnation) degrade_health(1);
  raise_incarnation(update.incarnation, actions);
}

void Members::State::raise_incarnation(Incarnation above, Actions& actions) {
  if (above + 1 >= kMaxIncarnation) return;
  pending_incarnation = std::max(pending_incarnation, above + 1);
  if (pending_incarnation <= persisted) {
    self.incarnation = pending_incarnation;
    pending_incarnation = 0;
    broadcasts.put(self.id);
  }
  // The next block is requested when half of this one is used.
  const Incarnation used = std::max(pending_incarnation, self.incarnation);
  const Incarnation reserved = std::max(persisted, requested);
  if (used <= reserved && reserved - used >= settings.incarnation_block / 2) return;
  requested = used + settings.incarnation_block;
  actions.emplace_back(PersistIncarnation{requested});
}

void Members::State::remove_expired(Time now) {
  for (auto m = table.begin(); m != table.end();) {
    if (is_live(m->second) || now < m->second.health_since + settings.dead_retention) {
      ++m;
      continue;
    }
    broadcasts.drop(m->first);
    outdated.erase(m->first);
    incarnation_sum -= m->second.update.incarnation;
    m = table.erase(m);
  }
}

bool Members::State::make_room() {
  auto oldest = table.end();
  for (auto m = table.begin(); m != table.end(); ++m) {
    if (is_live(m->second)) continue;
    if (oldest == table.end() || m->second.health_since < oldest->second.health_since) oldest = m;
  }
  if (oldest == table.end()) return false;
  broadcasts.drop(oldest->first);
  outdated.erase(oldest->first);
  incarnation_sum -= oldest->second.update.incarnation;
  table.erase(oldest);
  return true;
}

}  // namespace reeltack::fleet::members
