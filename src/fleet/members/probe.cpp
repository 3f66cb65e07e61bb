// Probing and timing: direct and indirect probes, unanswered probes, table exchanges, and late ticks.
#include "fleet/members/state.h"

namespace reeltack::fleet::members {
namespace {

constexpr std::size_t kFrozenHealthPenalty = 3;  // added to the health multiplier after a suspension

}  // namespace

// Answers missed while this process was suspended must not count against others: the probe in progress is
// dropped without a result, and suspicions are extended by the time of the suspension.
void Members::State::adjust_after_pause(Time now) {
  const Time due = next();
  if (now <= due + settings.late_threshold) return;
  const Duration paused = now - due;
  degrade_health(paused >= settings.frozen_threshold ? kFrozenHealthPenalty : 1);
  probe.reset();
  relays.clear();
  for (auto& [id, s] : suspicions) s.started += paused;
  period_end = now;
  join_at = std::max(join_at, now);
  exchange_at = std::max(exchange_at, now);
}

Time Members::State::next() const {
  if (!started || left) return Time::max();
  Time at = period_end;
  if (!joined_at) at = std::min(at, join_at);
  if (joined_at) at = std::min(at, exchange_at);
  if (probe && !probe->indirect_sent) at = std::min(at, probe->indirect_at);
  for (const auto& [sequence_of, r] : relays) at = std::min(at, r.nacked ? r.expires_at : r.nack_at);
  for (const auto& [id, s] : suspicions) at = std::min(at, s.expires_at());
  return at;
}

void Members::State::tick(Time now, Actions& actions) {
  if (!started || left) return;
  adjust_after_pause(now);
  expire_relays(now, actions);
  expire_suspicions(now, actions);
  if (!joined_at && now >= join_at) {
    join_seeds(actions, 3);
    join_at = now + settings.join_retry_interval;
  }
  if (probe && !probe->indirect_sent && now >= probe->indirect_at) send_indirect_probes(actions);
  if (now >= period_end) start_period(now, actions);
  if (joined_at && now >= exchange_at) exchange_tables(now, actions);
}

// There was no direct answer: other members are asked to probe the target on our behalf.
void Members::State::send_indirect_probes(Actions& actions) {
  probe->indirect_sent = true;
  if (probe->answered) return;
  std::vector<MemberId> others = probe_order.all();
  std::erase(others, probe->target);
  for (std::size_t i = 0; i < settings.indirect_probes && !others.empty(); ++i) {
    const std::size_t drawn = random.below(others.size());
    const MemberId helper = others[drawn];
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(drawn));
    probe->helpers.insert(helper);
    Message m = message(Kind::ping_request, helper);
    m.sequence = probe->sequence;
    m.target = probe->target;
    m.target_at = table.at(probe->target).update.at;
    fill(m);
    send(helper, table.at(helper).update.at, std::move(m), actions);
  }
}

void Members::State::start_period(Time now, Actions& actions) {
  if (probe && !probe->answered) {
    // A nack from every helper shows that this process receives messages well (Lifeguard, LHA-Probe).
    degrade_health(probe->helpers.empty() ? 1 : probe->helpers.size() - probe->nacks.size());
    suspect(now, probe->target, actions);
  }
  probe.reset();
  ++period_count;
  remove_expired(now);
  period_end = now + scaled(settings.period);
  if (settings.dead_probe_periods != 0 && period_count % settings.dead_probe_periods == 0)
    probe_dead(actions);
  const std::optional<MemberId> target = probe_order.next(random);
  if (!target) return;
  probe.emplace();
  probe->target = *target;
  probe->sequence = ++sequence;
  probe->indirect_at = now + scaled(settings.probe_timeout);
  ping(*target, table.at(*target).update.at, probe->sequence, actions);
}

void Members::State::probe_dead(Actions& actions) {
  auto dead = table.upper_bound(last_dead);
  for (std::size_t visited = 0; visited < table.size(); ++visited, ++dead) {
    if (dead == table.end()) dead = table.begin();
    if (is_live(dead->second)) continue;
    last_dead = dead->first;
    ping(dead->first, dead->second.update.at, ++sequence, actions);
    return;
  }
}

// 1 up to 32 live members, then one more for each doubling begun, as memberlist scales its push-pull
// interval: a table grows with the fleet, so it is requested less often.
std::size_t Members::State::exchanges_per_table() const {
  std::size_t count = 1;
  for (std::size_t size = 32; size < live(); size *= 2) ++count;
  return count;
}

// Frequently after joining, then at the settled interval: a lost part of a table comes with the next one. So
// four more tables are requested whatever the size.
void Members::State::exchange_tables(Time now, Actions& actions) {
  exchange_interval = std::min(2 * exchange_interval, settings.table_exchange_interval);
  exchange_at = now + exchange_interval;
  const bool due = !joined_at || now < *joined_at + 4 * settings.table_exchange_interval ||
                   table_incomplete || random.below(exchanges_per_table()) == 0;
  table_incomplete = false;
  if (due && !probe_order.all().empty()) {
    const MemberId other = probe_order.all()[random.below(probe_order.all().size())];
    join(other, table.at(other).update.at, actions);
  }
  if (exchange_interval >= settings.table_exchange_interval || probe_order.all().empty())
    join_seeds(actions, 1);
}

void Members::State::expire_relays(Time now, Actions& actions) {
  for (auto r = relays.begin(); r != relays.end();) {
    Relay& relay = r->second;
    if (!relay.nacked && now >= relay.nack_at) {
      relay.nacked = true;
      Message m = message(Kind::nack, relay.origin);
      m.sequence = relay.origin_sequence;
      m.target = relay.target;
      fill(m);
      send(relay.origin, relay.origin_at, std::move(m), actions);
    }
    r = now >= relay.expires_at ? relays.erase(r) : std::next(r);
  }
}

void Members::State::on_answer(const Message& answer, Actions& actions) {
  if (answer.kind == Kind::nack) {
    if (probe && probe->sequence == answer.sequence && probe->helpers.contains(answer.envelope.from)) {
      probe->nacks.insert(answer.envelope.from);
    }
    return;
  }
  if (probe && probe->sequence == answer.sequence && probe->target == answer.target) {
    if (!probe->answered) improve_health();
    probe->answered = true;
    return;
  }
  const auto found = relays.find(answer.sequence);
  if (found == relays.end() || found->second.target != answer.envelope.from) return;
  const Relay relay = found->second;
  relays.erase(found);
  Message m = message(Kind::ack, relay.origin);
  m.sequence = relay.origin_sequence;
  m.target = relay.target;
  fill(m);
  send(relay.origin, relay.origin_at, std::move(m), actions);
}

}  // namespace reeltack::fleet::members
