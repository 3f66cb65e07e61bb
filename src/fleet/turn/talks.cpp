// Talks: the exchanges of facts under way and their steps. When, and with whom: pace.
//
// Owns: what each step carries and what it cost.
// Must never: hold an exchange beyond its time, or begin one for every fact.
#include <algorithm>

#include "fleet/facts/sizes.h"
#include "fleet/turn/turn.h"

namespace reeltack::fleet {

void Turn::begin_exchange(Time now, CoordinatorActions& actions) {
  const std::optional<MemberId> with = pace_.due(now, urgent(), talks_.size() < 2 * settings_.exchanges_in);
  const auto member = with ? members_.table().find(*with) : members_.table().end();
  if (member == members_.table().end()) return;
  const ConnectionId id{++last_talk_ << 1U};
  talks_[id] = {.with = *with, .ours = true, .by = now + settings_.exchange_most};
  ++counts_.exchanges_started;
  actions.emplace_back(Dial{id, member->second.update.at, *with});
}

void Turn::opened(const Opened& opened, CoordinatorActions& actions) {
  const auto found = talks_.find(opened.id);
  if (found == talks_.end()) return actions.emplace_back(CloseConnection{opened.id}), void();
  say(opened.id, found->second, {envelope(), 0, facts_.summary(), {}, {}}, actions);
}

void Turn::accepted(Time now, const Accepted& accepted, CoordinatorActions& actions) {
  const auto in = std::count_if(talks_.begin(), talks_.end(), [](const auto& t) { return !t.second.ours; });
  if (static_cast<std::size_t>(in) >= settings_.exchanges_in) {
    ++counts_.exchanges_refused;
    return actions.emplace_back(CloseConnection{accepted.id}), void();
  }
  talks_[accepted.id] = {.by = now + settings_.exchange_most};
}

void Turn::say(ConnectionId id, Talk& talk, Exchange exchange, CoordinatorActions& actions) {
  talk.step = exchange.step;
  count(talk, exchange);
  actions.emplace_back(SendExchange{id, std::move(exchange)});
}

void Turn::count(Talk& talk, const Exchange& exchange) const {
  const std::size_t facts = exchange.delta.owners.empty() ? 0 : facts::encoded(exchange.delta);
  talk.bytes += encoded_size(exchange);
  talk.useful += facts;
  talk.left = talk.left || facts >= settings_.facts.max_delta_bytes - settings_.facts.max_delta_bytes / 8;
}

void Turn::said(Time now, const Said& said, CoordinatorActions& actions) {
  const auto found = talks_.find(said.id);
  if (found == talks_.end()) return;
  Talk& talk = found->second;
  const Exchange& e = said.exchange;
  if (!ours(e.envelope) || heard_too_often(now, e.envelope.from))
    return end(now, said.id, false, true, actions);
  // The asker says the even steps; a talk stays with whom it began.
  const std::uint32_t due =
      talk.ours ? talk.step + 1 : (talk.step == 0 ? (talk.with == MemberId{} ? 0 : 9) : talk.step + 1);
  const bool known = talk.with == MemberId{} || talk.with == e.envelope.from;
  if (e.step != due || !known || e.envelope.from == members_.self().id) {
    ++counts_.malformed;
    return end(now, said.id, false, true, actions);
  }
  talk.with = e.envelope.from;
  count(talk, e);
  switch (e.step) {
    case 0:
      decide(now, recovery::Asked{talk.with, e.envelope.incarnation}, actions);
      say(said.id, talk, {envelope(), 1, {}, facts_.digest(e.summary), {}}, actions);
      break;
    case 1: {
      facts::Digest wanted = facts_.request(e.digest);
      facts::Delta lacking = facts_.delta(now, e.digest);
      const bool more = !wanted.entries.empty();
      if (more || !lacking.owners.empty())
        say(said.id, talk, {envelope(), 2, {}, std::move(wanted), std::move(lacking)}, actions);
      if (!more) end(now, said.id, true, true, actions);
      break;
    }
    case 2: {
      take(now, talk.with, e.delta, actions);  // first: who is asking gets the own word with this answer
      if (!e.digest.entries.empty())
        say(said.id, talk, {envelope(), 3, {}, {}, facts_.delta(now, e.digest)}, actions);
      end(now, said.id, true, true, actions);
      break;
    }
    default:
      take(now, talk.with, e.delta, actions);
      end(now, said.id, true, true, actions);
  }
}

// What an exchange has brought and what changes a verdict here is told on; what came as news is not.
void Turn::take(Time now, MemberId from, const facts::Delta& delta, CoordinatorActions& actions) {
  const std::uint64_t before = verdicts_;
  if (facts_.bytes() <= settings_.strangers_room) {
    take(now, facts_.apply(now, from, delta), actions);
  } else {
    facts::Delta known;
    for (const facts::OwnerDelta& part : delta.owners) {
      if (part.owner == members_.self().id || members_.table().contains(part.owner)) {
        known.owners.push_back(part);
      } else {
        counts_.over_bound += part.facts.size();
      }
    }
    take(now, facts_.apply(now, from, known), actions);
  }
  if (verdicts_ != before) pace_.changed(now);
}

// Who answered and hears the end before its own last word has had nothing to say.
void Turn::end(Time now, ConnectionId id, bool well, bool hang_up, CoordinatorActions& actions) {
  const auto found = talks_.find(id);
  if (found == talks_.end()) return;
  const Talk talk = found->second;
  talks_.erase(found);
  ++(well ? counts_.exchanges_completed : counts_.exchanges_failed);
  if (hang_up) actions.emplace_back(CloseConnection{id});
  const bool heard = well || (!talk.ours && talk.step > 0);
  pace_.ended(now, {talk.with, talk.ours, heard, talk.left, talk.bytes, talk.useful});
}

void Turn::end_late(Time now, CoordinatorActions& actions) {
  std::vector<ConnectionId> late;
  for (const auto& [id, talk] : talks_) {
    if (talk.by <= now) late.push_back(id);
  }
  for (const ConnectionId id : late) end(now, id, false, true, actions);
}

// As the link encodes it, without its own few bytes a message: see link/codec.
std::size_t encoded_size(const Exchange& e) {
  return 48 + facts::encoded(e.summary) + facts::encoded(e.digest) + facts::encoded(e.delta);
}

}  // namespace reeltack::fleet
