// What is believed of whom: the higher incarnation, then the worse health. Suspicions and refutation.
#include <cmath>
#include <utility>

#include "fleet/members/state.h"

namespace reeltack::fleet::members {
namespace {

bool newer(const Update& a, const Update& b) {
  return std::pair(a.incarnation, a.health) > std::pair(b.incarnation, b.health);
}

const char* reason(Way way) {
  switch (way) {
    case Way::own_probe:
      return "no answer";
    case Way::own_time:
      return "nobody refuted";
    case Way::spoke:
      return "spoke";
    case Way::passed_on:
      return "passed on";
    case Way::table:
      return "in a table";
  }
  return "";
}

constexpr Duration kOldSelf = std::chrono::minutes(1);

}  // namespace

std::size_t Members::State::times() const {
  const double times = settings.spread * std::log10(static_cast<double>(live()) + 1.0);
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(times)));
}

Update Members::State::own() const {
  return {self.id, self.incarnation, left ? Health::left : Health::alive, self.at, self.name, self.zone, {}};
}

void Members::State::learn(Time now, const Update& update, Way way, MemberId from, Actions& actions) {
  if (update.member == self.id) return own_news(now, update, actions);
  const auto found = table.find(update.member);
  if (found == table.end()) return stranger(now, update, way, actions);
  Member& member = found->second;
  Update told = update;
  if (way == Way::table && told.health == Health::dead && is_live(member)) {
    told.health = Health::suspect;
    told.by = from;
  }
  if (told.incarnation == member.told.incarnation && told.health == Health::suspect &&
      member.told.health == Health::suspect) {
    if (!suspected.at(told.member).confirm(told.by)) return;
    member.told.by = told.by;  // each confirmation travels under its own name
    spread.put(told.member);
    return;
  }
  if (newer(told, member.told)) become(now, member, told, way, actions);
}

void Members::State::stranger(Time now, const Update& update, Way way, Actions& actions) {
  if (update.health >= Health::dead) return;
  if (table.size() + 1 >= kMaxMembers && !make_room()) {
    ++refused.full;
    return;
  }
  Member& member = table[update.member];
  incarnations += update.incarnation - member.told.incarnation;
  member.told = update;
  member.since = now;
  order.insert(update.member, draws);
  if (update.health == Health::suspect) suspicion(now, update);
  // A newcomer's first tables are known to everyone else.
  const bool first_tables = way == Way::table && (!joined || now < *joined + 10 * settings.period);
  if (!joined) {
    joined = now;
    exchange_after = settings.period;
    exchange_at = now + exchange_after;
  }
  if (!first_tables) spread.put(update.member);
  // A table that brings somebody new may have a part that was lost.
  if (way == Way::table) {
    exchange_at = std::min(exchange_at, now + 2 * settings.period);
    part_lacks = true;
  }
  actions.emplace_back(
      HealthChanged{update.member, std::nullopt, update.health, update.incarnation, reason(way)});
}

void Members::State::become(Time now, Member& member, const Update& told, Way way, Actions& actions) {
  const Health before = member.told.health;
  if (told.incarnation > member.told.incarnation) {
    incarnations += told.incarnation - member.told.incarnation;
    member.told = told;
  } else {  // of one incarnation only its health changes: the rest are the member's own words
    member.told.health = told.health;
    member.told.by = told.by;
  }
  const MemberId id = told.member;
  suspected.erase(id);
  if (told.health == Health::suspect) suspicion(now, told);
  if (is_live(member)) {
    order.insert(id, draws);
  } else {
    order.erase(id);
    if (probe && probe->target == id) probe.reset();
  }
  spread.put(id);
  if (before == told.health) return;  // a new incarnation of it, no other health
  member.since = now;
  actions.emplace_back(HealthChanged{id, before, told.health, told.incarnation, reason(way)});
}

void Members::State::suspicion(Time now, const Update& told) {
  Suspicion s;
  s.started = now;
  const double size = std::max(1.0, std::log10(static_cast<double>(live())));
  s.least = Duration(static_cast<Duration::rep>(settings.suspicion_least * size *
                                                static_cast<double>(settings.period.count())));
  s.most = Duration(static_cast<Duration::rep>(static_cast<double>(s.least.count()) *
                                               std::max(1.0, settings.suspicion_most)));
  // Oneself, the suspect and the first to suspect cannot confirm.
  s.wanted = std::min(settings.confirmations, live() - std::min<std::size_t>(live(), 3));
  s.first = told.by;
  suspected[told.member] = std::move(s);
}

void Members::State::suspect(Time now, MemberId member, Actions& actions) {
  const auto found = table.find(member);
  if (found == table.end() || !is_live(found->second)) return;
  Update told = found->second.told;
  told.health = Health::suspect;
  told.by = self.id;
  learn(now, told, Way::own_probe, self.id, actions);
}

void Members::State::suspicions(Time now, Actions& actions) {
  std::vector<MemberId> over;
  for (const auto& [id, s] : suspected) {
    if (now >= s.ends()) over.push_back(id);
  }
  for (const MemberId id : over) {
    Update told = table.at(id).told;
    told.health = Health::dead;
    told.by = self.id;
    learn(now, told, Way::own_time, self.id, actions);
  }
}

// Of oneself one knows better: what is told of an own incarnation not yet taken is outbid.
void Members::State::own_news(Time now, const Update& update, Actions& actions) {
  if (left || std::pair(update.incarnation, update.health) <= std::pair(self.incarnation, Health::alive))
    return;
  if (update.health == Health::alive && update.at != self.at && now > began + kOldSelf) {
    namesake(now, update.incarnation, update.at, actions);
  }
  if (update.incarnation < wanted) return;
  if (update.health != Health::alive && update.incarnation == self.incarnation) worse(1);
  raise(update.incarnation, actions);
}

void Members::State::raise(Incarnation above, Actions& actions) {
  if (above + 1 >= kMaxIncarnation) return;
  wanted = std::max(wanted, above + 1);
  if (wanted <= kept) {
    self.incarnation = wanted;
    wanted = 0;
    spread.put(self.id);
  }
  // The next block is asked for when half of this one is used.
  const Incarnation used = std::max(wanted, self.incarnation);
  const Incarnation held = std::max(kept, asked);
  if (used <= held && held - used >= settings.ahead / 2) return;
  asked = used + settings.ahead;
  actions.emplace_back(PersistIncarnation{asked});
}

void Members::State::forget(Time now) {
  for (auto m = table.begin(); m != table.end();) {
    if (is_live(m->second) || now < m->second.since + settings.dead_kept) {
      ++m;
      continue;
    }
    spread.drop(m->first);
    behind.erase(m->first);
    incarnations -= m->second.told.incarnation;
    m = table.erase(m);
  }
}

bool Members::State::make_room() {
  auto oldest = table.end();
  for (auto m = table.begin(); m != table.end(); ++m) {
    if (is_live(m->second)) continue;
    if (oldest == table.end() || m->second.since < oldest->second.since) oldest = m;
  }
  if (oldest == table.end()) return false;
  spread.drop(oldest->first);
  behind.erase(oldest->first);
  incarnations -= oldest->second.told.incarnation;
  table.erase(oldest);
  return true;
}

}  // namespace reeltack::fleet::members
