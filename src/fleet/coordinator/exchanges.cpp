// Running exchanges of facts: what each step carries and costs. The gossip schedule decides when one begins
// and with whom. No exchange outlives its deadline, and a single new fact does not begin one.
#include <algorithm>

#include "fleet/coordinator/coordinator.h"
#include "fleet/facts/sizes.h"

namespace reeltack::fleet {

void Coordinator::begin_exchange(Time now, CoordinatorActions& actions) {
  const std::optional<MemberId> with =
      gossip_.due(now, returning(), exchanges_.size() < 2 * settings_.max_inbound_exchanges);
  const auto member = with ? members_.table().find(*with) : members_.table().end();
  if (member == members_.table().end()) return;
  const ConnectionId id{++last_exchange_ << 1U};
  exchanges_[id] = {.with = *with, .initiated_here = true, .deadline = now + settings_.exchange_timeout};
  ++counts_.exchanges_started;
  actions.emplace_back(Dial{id, member->second.update.at, *with});
}

void Coordinator::on_opened(const Opened& opened, CoordinatorActions& actions) {
  const auto found = exchanges_.find(opened.id);
  if (found == exchanges_.end()) return actions.emplace_back(CloseConnection{opened.id}), void();
  send_step(opened.id, found->second, {envelope(), 0, facts_.summary(), {}, {}}, actions);
}

void Coordinator::on_accepted(Time now, const Accepted& accepted, CoordinatorActions& actions) {
  const auto inbound = std::count_if(exchanges_.begin(), exchanges_.end(),
                                     [](const auto& e) { return !e.second.initiated_here; });
  if (static_cast<std::size_t>(inbound) >= settings_.max_inbound_exchanges) {
    ++counts_.exchanges_refused;
    return actions.emplace_back(CloseConnection{accepted.id}), void();
  }
  exchanges_[accepted.id] = {.deadline = now + settings_.exchange_timeout};
}

void Coordinator::send_step(ConnectionId id, RunningExchange& running, Exchange message,
                            CoordinatorActions& actions) {
  running.step = message.step;
  count(running, message);
  actions.emplace_back(SendExchange{id, std::move(message)});
}

void Coordinator::count(RunningExchange& running, const Exchange& message) const {
  const std::size_t facts = message.delta.owners.empty() ? 0 : facts::encoded(message.delta);
  running.bytes += encoded_size(message);
  running.useful += facts;
  running.truncated =
      running.truncated || facts >= settings_.facts.max_delta_bytes - settings_.facts.max_delta_bytes / 8;
}

void Coordinator::on_exchange(Time now, const ExchangeReceived& received, CoordinatorActions& actions) {
  const auto found = exchanges_.find(received.id);
  if (found == exchanges_.end()) return;
  RunningExchange& running = found->second;
  const Exchange& e = received.exchange;
  if (!acceptable(e.envelope) || rate_exceeded(now, e.envelope.from))
    return end(now, received.id, false, true, actions);
  // The initiator sends the even steps; an exchange stays with the member that it began with.
  const std::uint32_t expected =
      running.initiated_here ? running.step + 1
                             : (running.step == 0 ? (running.with == MemberId{} ? 0 : 9) : running.step + 1);
  const bool same_peer = running.with == MemberId{} || running.with == e.envelope.from;
  if (e.step != expected || !same_peer || e.envelope.from == members_.self().id) {
    ++counts_.malformed;
    return end(now, received.id, false, true, actions);
  }
  running.with = e.envelope.from;
  count(running, e);
  switch (e.step) {
    case 0:
      decide(now, recovery::ExchangeStarted{running.with, e.envelope.incarnation}, actions);
      send_step(received.id, running, {envelope(), 1, {}, facts_.digest(e.summary), {}}, actions);
      break;
    case 1: {
      facts::Digest wanted = facts_.request(e.digest);
      facts::Delta lacking = facts_.delta(now, e.digest);
      const bool more = !wanted.entries.empty();
      if (more || !lacking.owners.empty())
        send_step(received.id, running, {envelope(), 2, {}, std::move(wanted), std::move(lacking)}, actions);
      if (!more) end(now, received.id, true, true, actions);
      break;
    }
    case 2: {
      // First, so that the answer includes the facts written here as a result.
      apply(now, running.with, e.delta, actions);
      if (!e.digest.entries.empty())
        send_step(received.id, running, {envelope(), 3, {}, {}, facts_.delta(now, e.digest)}, actions);
      end(now, received.id, true, true, actions);
      break;
    }
    default:
      apply(now, running.with, e.delta, actions);
      end(now, received.id, true, true, actions);
  }
}

// Facts from an exchange that change a verdict here are spread on; pushed facts are not, eager push forwards
// them.
void Coordinator::apply(Time now, MemberId from, const facts::Delta& delta, CoordinatorActions& actions) {
  const std::uint64_t before = verdicts_;
  if (facts_.bytes() <= settings_.max_bytes_with_non_members) {
    apply(now, facts_.apply(now, from, delta), actions);
  } else {
    facts::Delta of_members;
    for (const facts::OwnerDelta& part : delta.owners) {
      if (part.owner == members_.self().id || members_.table().contains(part.owner)) {
        of_members.owners.push_back(part);
      } else {
        counts_.over_bound += part.facts.size();
      }
    }
    apply(now, facts_.apply(now, from, of_members), actions);
  }
  if (verdicts_ != before) gossip_.spread_change(now);
}

// An answering side whose peer closes before the last step has completed too: the peer lacked nothing more.
void Coordinator::end(Time now, ConnectionId id, bool completed, bool close, CoordinatorActions& actions) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  const RunningExchange ended = found->second;
  exchanges_.erase(found);
  ++(completed ? counts_.exchanges_completed : counts_.exchanges_failed);
  if (close) actions.emplace_back(CloseConnection{id});
  const bool answered = completed || (!ended.initiated_here && ended.step > 0);
  gossip_.exchange_ended(
      now, {ended.with, ended.initiated_here, answered, ended.truncated, ended.bytes, ended.useful});
}

void Coordinator::end_overdue(Time now, CoordinatorActions& actions) {
  std::vector<ConnectionId> overdue;
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange.deadline <= now) overdue.push_back(id);
  }
  for (const ConnectionId id : overdue) end(now, id, false, true, actions);
}

// As the link encodes it, without the few bytes that the link adds to each message; see link/codec.
std::size_t encoded_size(const Exchange& e) {
  return 48 + facts::encoded(e.summary) + facts::encoded(e.digest) + facts::encoded(e.delta);
}

}  // namespace reeltack::fleet
