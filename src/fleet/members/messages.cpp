// Receiving and composing messages. A received message is validated first, then its updates are merged, then
// it is answered.
#include "fleet/members/bounds.h"
#include "fleet/members/state.h"

namespace reeltack::fleet::members {
namespace {

constexpr Duration kDuplicateReportInterval = std::chrono::minutes(1);

const Update* of_sender(const Message& message) {
  for (const Update& u : message.updates) {
    if (u.member == message.envelope.from) return &u;
  }
  return nullptr;
}

}  // namespace

bool Members::State::accept(const Message& message) {
  if (message.envelope.fleet != self.fleet) return ++rejections.other_fleet, false;
  if (message.envelope.version < kOldestVersion || message.envelope.version > kNewestVersion) {
    return ++rejections.version, false;
  }
  if (!well_formed(message)) return ++rejections.malformed, false;
  const bool for_us = message.target == self.id;
  if (message.kind == Kind::ping && !for_us) return ++rejections.wrong_target, false;
  if (message.kind == Kind::ping_request && for_us) return ++rejections.wrong_target, false;
  return true;
}

void Members::State::receive(Time now, const Message& message, Actions& actions) {
  if (!started || left) return;
  adjust_after_pause(now);
  if (!accept(message)) return;
  const MemberId from = message.envelope.from;
  const Update* sender = of_sender(message);
  if (from == self.id) {  // our own message, returned by a seed whose address is ours, or another process
    ++rejections.own_id;
    const bool elsewhere = sender != nullptr && sender->at != self.at;
    if (elsewhere || message.envelope.incarnation > self.incarnation) {
      report_duplicate(now, message.envelope.incarnation, elsewhere ? sender->at : Endpoint{}, actions);
    }
    return;
  }
  auto known = table.find(from);
  const bool was_dead = known != table.end() && !is_live(known->second);
  for (const Update& u : message.updates) {
    apply_update(now, u,
                 message.kind == Kind::table && u.member != from ? Source::table_exchange : Source::gossip,
                 from, actions);
  }
  known = table.find(from);
  if (known != table.end()) {
    Member& member = known->second;
    if (message.envelope.incarnation > member.update.incarnation) {
      Update updated = member.update;
      updated.incarnation = message.envelope.incarnation;
      updated.health = Health::alive;
      apply_update(now, updated, Source::direct_message, from, actions);
    }
    if (message.envelope.incarnation < member.update.incarnation) {
      outdated.insert(from);
    } else {
      outdated.erase(from);
    }
    member.last_received = now;
    member.epoch = message.envelope.epoch;
  }
  if (sender == nullptr && known == table.end()) {
    // There is no address to answer, but an ack or nack may still count.
    if (message.kind == Kind::ack || message.kind == Kind::nack) on_answer(message, actions);
    return;
  }
  const Endpoint at = sender != nullptr ? sender->at : known->second.update.at;
  // A member held dead is back: a whole partition of the fleet may be behind it.
  if (was_dead && known != table.end() && is_live(known->second)) join(from, at, actions);
  switch (message.kind) {
    case Kind::ping: {
      if (sender != nullptr && sender->health == Health::left) return;
      Message m = this->message(Kind::ack, from);
      m.sequence = message.sequence;
      m.target = self.id;
      fill(m);
      send(from, at, std::move(m), actions);
      return;
    }
    case Kind::ping_request:
      return relay(now, message, at, actions);
    case Kind::ack:
    case Kind::nack:
      return on_answer(message, actions);
    case Kind::join:
      return send_table(from, at, actions);
    case Kind::table:
      return;
  }
}

void Members::State::relay(Time now, const Message& request, const Endpoint& at, Actions& actions) {
  if (relays.size() >= kMaxRelays) return;
  Relay r;
  r.origin = request.envelope.from;
  r.origin_at = at;
  r.origin_sequence = request.sequence;
  r.target = request.target;
  r.nack_at = now + settings.probe_timeout;
  r.expires_at = now + 2 * settings.period;
  const std::uint64_t own_sequence = ++sequence;
  relays.emplace(own_sequence, r);
  ping(request.target, request.target_at, own_sequence, actions);
}

// The start of a message: its envelope; this member where an answer may be expected; and what is recorded of
// the receiver where it should know (it is suspected or dead, or recorded under an incarnation that it lost).
Message Members::State::message(Kind kind, MemberId to) {
  Message m;
  m.kind = kind;
  m.envelope.version = kNewestVersion;
  m.envelope.fleet = self.fleet;
  m.envelope.epoch = self.epoch;
  m.envelope.from = self.id;
  m.envelope.incarnation = self.incarnation;
  if (kind != Kind::ack && kind != Kind::nack) add(m, own());
  const auto recorded = table.find(to);
  if (recorded == table.end()) return m;
  const Health health = recorded->second.update.health;
  const bool include_receiver =
      outdated.contains(to) || health > Health::suspect || (health == Health::suspect && settings.buddy);
  if (include_receiver && recorded->second.update.incarnation != 0) add(m, recorded->second.update);
  return m;
}

void Members::State::add(Message& message, const Update& update) const { message.updates.push_back(update); }

void Members::State::fill(Message& message) {
  std::size_t size = encoded_size(message);
  broadcasts.for_each(max_transmissions(), [&](MemberId member) -> std::optional<bool> {
    if (message.updates.size() >= kMaxUpdates) return std::nullopt;
    const bool included = std::any_of(message.updates.begin(), message.updates.end(),
                                      [&](const Update& u) { return u.member == member; });
    if (included) return true;
    const Update update = member == self.id ? own() : table.at(member).update;
    if (size + encoded_size(update) > kMaxMessageBytes) return std::nullopt;
    size += encoded_size(update);
    add(message, update);
    return true;
  });
}

void Members::State::send(MemberId member, const Endpoint& at, Message message, Actions& actions) {
  actions.emplace_back(Send{at, member, std::move(message)});
}

void Members::State::ping(MemberId member, const Endpoint& at, std::uint64_t with, Actions& actions) {
  Message m = message(Kind::ping, member);
  m.sequence = with;
  m.target = member;
  fill(m);
  send(member, at, std::move(m), actions);
}

void Members::State::join(MemberId member, const Endpoint& at, Actions& actions) {
  send(member, at, message(Kind::join, member), actions);
}

// Asks those seeds and restored members at whose address no live member is known.
void Members::State::join_seeds(Actions& actions, std::size_t max_seeds) {
  std::set<Endpoint> in_use{self.at};
  std::vector<Endpoint> from = seeds;
  for (const auto& [id, m] : table) {
    if (is_live(m)) in_use.insert(m.update.at);
    if (m.update.incarnation == 0 && !joined_at) from.push_back(m.update.at);
  }
  std::erase_if(from, [&](const Endpoint& at) { return in_use.contains(at); });
  for (std::size_t i = 0; i < std::min(max_seeds, from.size()); ++i) {
    join({}, from[next_seed++ % from.size()], actions);
  }
}

void Members::State::send_table(MemberId to, const Endpoint& at, Actions& actions) {
  Message m = message(Kind::table, to);
  std::size_t size = encoded_size(m);
  for (const auto& [id, member] : table) {
    if (id == to || member.update.incarnation == 0) continue;
    if (size + encoded_size(member.update) > kMaxMessageBytes || m.updates.size() >= kMaxTableUpdates) {
      send(to, at, std::move(m), actions);
      m = message(Kind::table, to);
      size = encoded_size(m);
    }
    size += encoded_size(member.update);
    add(m, member.update);
  }
  send(to, at, std::move(m), actions);
}

void Members::State::report_duplicate(Time now, Incarnation incarnation, const Endpoint& at,
                                      Actions& actions) {
  if (duplicate_reported_at && now < *duplicate_reported_at + kDuplicateReportInterval) return;
  duplicate_reported_at = now;
  actions.emplace_back(DuplicateName{incarnation, at});
}

}  // namespace reeltack::fleet::members
