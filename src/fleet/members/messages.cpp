// What is sent, and what comes: bounds first, then the news in it, then the answer.
#include "fleet/members/bounds.h"
#include "fleet/members/state.h"

namespace reeltack::fleet::members {
namespace {

constexpr Duration kNamesakeAgain = std::chrono::minutes(1);

const Update* of_sender(const Message& message) {
  for (const Update& u : message.updates) {
    if (u.member == message.envelope.from) return &u;
  }
  return nullptr;
}

}  // namespace

bool Members::State::taken(const Message& message) {
  if (message.envelope.fleet != self.fleet) return ++refused.stranger, false;
  if (message.envelope.version < kOldestVersion || message.envelope.version > kNewestVersion) {
    return ++refused.version, false;
  }
  if (!well_formed(message)) return ++refused.malformed, false;
  const bool meant = message.target == self.id;
  if (message.kind == Kind::ping && !meant) return ++refused.not_meant, false;
  if (message.kind == Kind::ping_request && meant) return ++refused.not_meant, false;
  return true;
}

void Members::State::heard(Time now, const Message& message, Actions& actions) {
  if (!begun || left) return;
  woke(now);
  if (!taken(message)) return;
  const MemberId from = message.envelope.from;
  const Update* sender = of_sender(message);
  if (from == self.id) {  // the own words, come back by a seed's address that is the own, or another process
    ++refused.own_name;
    const bool elsewhere = sender != nullptr && sender->at != self.at;
    if (elsewhere || message.envelope.incarnation > self.incarnation) {
      namesake(now, message.envelope.incarnation, elsewhere ? sender->at : Endpoint{}, actions);
    }
    return;
  }
  auto known = table.find(from);
  const bool was_dead = known != table.end() && !is_live(known->second);
  for (const Update& u : message.updates) {
    learn(now, u, message.kind == Kind::table && u.member != from ? Way::table : Way::passed_on, from,
          actions);
  }
  known = table.find(from);
  if (known != table.end()) {
    Member& member = known->second;
    if (message.envelope.incarnation > member.told.incarnation) {
      Update spoke = member.told;
      spoke.incarnation = message.envelope.incarnation;
      spoke.health = Health::alive;
      learn(now, spoke, Way::spoke, from, actions);
    }
    if (message.envelope.incarnation < member.told.incarnation) {
      behind.insert(from);
    } else {
      behind.erase(from);
    }
    member.heard = now;
    member.epoch = message.envelope.epoch;
  }
  if (sender == nullptr && known == table.end()) {  // nobody to answer; an answer in another's name may count
    if (message.kind == Kind::ack || message.kind == Kind::nack) answered(message, actions);
    return;
  }
  const Endpoint at = sender != nullptr ? sender->at : known->second.told.at;
  // Back from the dead: there may be a whole side of the fleet behind it.
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
      return answered(message, actions);
    case Kind::join:
      return answer_table(from, at, actions);
    case Kind::table:
      return;
  }
}

void Members::State::relay(Time now, const Message& heard, const Endpoint& at, Actions& actions) {
  if (relays.size() >= kMostRelays) return;
  Relay r;
  r.origin = heard.envelope.from;
  r.origin_at = at;
  r.origin_sequence = heard.sequence;
  r.target = heard.target;
  r.nack_at = now + settings.probe_timeout;
  r.ends = now + 2 * settings.period;
  const std::uint64_t own_sequence = ++sequence;
  relays.emplace(own_sequence, r);
  ping(heard.target, heard.target_at, own_sequence, actions);
}

// The start of a message: its envelope, oneself where an answer may be wanted, and what is held of the
// receiver where it should know (it is suspected or dead, or lives under an incarnation that it has lost).
Message Members::State::message(Kind kind, MemberId to) {
  Message m;
  m.kind = kind;
  m.envelope.version = kNewestVersion;
  m.envelope.fleet = self.fleet;
  m.envelope.epoch = self.epoch;
  m.envelope.from = self.id;
  m.envelope.incarnation = self.incarnation;
  if (kind != Kind::ack && kind != Kind::nack) add(m, own());
  const auto held = table.find(to);
  if (held == table.end()) return m;
  const Health health = held->second.told.health;
  const bool tell =
      behind.contains(to) || health > Health::suspect || (health == Health::suspect && settings.buddy);
  if (tell && held->second.told.incarnation != 0) add(m, held->second.told);
  return m;
}

void Members::State::add(Message& message, const Update& update) const { message.updates.push_back(update); }

void Members::State::fill(Message& message) {
  std::size_t size = encoded_size(message);
  spread.each(times(), [&](MemberId member) -> std::optional<bool> {
    if (message.updates.size() >= kMaxUpdates) return std::nullopt;
    const bool there = std::any_of(message.updates.begin(), message.updates.end(),
                                   [&](const Update& u) { return u.member == member; });
    if (there) return true;
    const Update update = member == self.id ? own() : table.at(member).told;
    if (size + encoded_size(update) > kMostBytes) return std::nullopt;
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

// Those seeds and remembered members at whose address nobody known lives.
void Members::State::ask_seeds(Actions& actions, std::size_t most) {
  std::set<Endpoint> lived{self.at};
  std::vector<Endpoint> from = seeds;
  for (const auto& [id, m] : table) {
    if (is_live(m)) lived.insert(m.told.at);
    if (m.told.incarnation == 0 && !joined) from.push_back(m.told.at);
  }
  std::erase_if(from, [&](const Endpoint& at) { return lived.contains(at); });
  for (std::size_t i = 0; i < std::min(most, from.size()); ++i) {
    join({}, from[next_seed++ % from.size()], actions);
  }
}

void Members::State::answer_table(MemberId to, const Endpoint& at, Actions& actions) {
  Message m = message(Kind::table, to);
  std::size_t size = encoded_size(m);
  for (const auto& [id, member] : table) {
    if (id == to || member.told.incarnation == 0) continue;
    if (size + encoded_size(member.told) > kMostBytes || m.updates.size() >= kMostTable) {
      send(to, at, std::move(m), actions);
      m = message(Kind::table, to);
      size = encoded_size(m);
    }
    size += encoded_size(member.told);
    add(m, member.told);
  }
  send(to, at, std::move(m), actions);
}

void Members::State::namesake(Time now, Incarnation incarnation, const Endpoint& at, Actions& actions) {
  if (namesake_told && now < *namesake_told + kNamesakeAgain) return;
  namesake_told = now;
  actions.emplace_back(DuplicateName{incarnation, at});
}

}  // namespace reeltack::fleet::members
