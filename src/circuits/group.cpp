// States of a circuit, and the calls that this end makes, answers and releases.
#include "circuits/group.h"

#include <stdexcept>

namespace reeltack::circuits {

Group::Group(const GroupSettings& settings)
    : settings_(settings),
      circuits_(settings.size),
      idle_(settings.size),
      own_(settings.size),
      other_(settings.size) {
  if (settings.size == 0 || settings.audit_range == 0 || settings.settle_batch == 0)
    throw std::invalid_argument("a trunk group needs a size, an audit range and a settle batch above 0");
  if (settings.own == settings.far)
    throw std::invalid_argument("both ends of a trunk group have the same point code");
  calls_.reserve(std::size_t{settings.size} * 2);
}

bool Group::can_select(Cic cic) const {
  const Circuit& c = circuits_[cic];
  return up_ && c.state == State::idle && !c.blocked_local && !c.blocked_remote && !c.lost && !c.unaudited &&
         c.mismatches == 0;
}

void Group::update_idle_sets(Cic cic) {
  const bool free = can_select(cic);
  for (IdleSet* set : {&idle_, controls(cic) ? &own_ : &other_}) free ? set->insert(cic) : set->erase(cic);
}

void Group::set_state(Cic cic, State state, std::uint64_t call) {
  Circuit& c = circuits_[cic];
  if (holds_call(c.state)) {
    calls_.erase(key(c.call, is_outgoing(c.state)));
    --busy_;
  }
  c.state = state;
  c.call = state == State::idle || state == State::resetting ? 0 : call;
  c.mismatches = 0;
  if (holds_call(state)) {
    calls_[key(call, is_outgoing(state))] = cic;
    ++busy_;
  }
  update_idle_sets(cic);
}

void Group::send_on(Cic cic, Kind kind, std::uint64_t call, int cause, GroupActions& actions) {
  Circuit& c = circuits_[cic];
  c.mismatches = 0;
  Message m;
  m.kind = kind;
  m.cic = cic;
  m.call = call;
  m.cause = cause;
  m.sequence = ++c.sent;
  m.received = c.received;
  actions.emplace_back(Send{std::move(m)});
}

std::optional<Cic> Group::select() const {
  switch (settings_.hunting) {
    case Hunting::same:
      return idle_.lowest();
    case Hunting::opposite:
      return settings_.own > settings_.far ? idle_.highest() : idle_.lowest();
    case Hunting::priority:
      break;
  }
  if (const auto own = own_.longest_idle()) return own;
  return other_.last_released();
}

void Group::end_call(Cic cic, int cause, bool by_far_end, GroupActions& actions) {
  const Circuit& c = circuits_[cic];
  if (holds_call(c.state))
    actions.emplace_back(Ended{c.call, is_outgoing(c.state), is_established(c.state), cause, by_far_end});
  set_state(cic, State::idle, 0);
}

void Group::await_completion(Time now, Cic cic) {
  release_retries_.push_back({now + settings_.release_again, cic, circuits_[cic].sent, epoch_});
}

void Group::begin_release(Time now, Cic cic, int cause, GroupActions& actions) {
  const std::uint64_t call = circuits_[cic].call;
  if (!up_) {  // the audit after the reconnection tells the far end
    circuits_[cic].unaudited = true;
    return set_state(cic, State::idle, 0);
  }
  set_state(cic, State::releasing, call);
  circuits_[cic].tries = 1;
  send_on(cic, Kind::rel, call, cause, actions);
  await_completion(now, cic);
}

void Group::begin_reset(Time now, Cic cic, GroupActions& actions) {
  set_state(cic, State::resetting, 0);
  ++counts_.resets;
  send_on(cic, Kind::rsc, 0, 0, actions);
  await_completion(now, cic);
}

Refusal Group::seize(Time /*now*/, std::uint64_t call, GroupActions& actions) {
  if (!up_) return Refusal::not_connected;
  if (calls_.contains(key(call, true)) || calls_.contains(key(call, false))) return Refusal::call_known;
  const auto cic = select();
  if (!cic) return Refusal::no_circuit;
  ++counts_.seized;
  set_state(*cic, State::seized_out, call);
  send_on(*cic, Kind::iam, call, 0, actions);
  circuits_[*cic].seized = circuits_[*cic].sent;
  return Refusal::none;
}

void Group::answer(Time /*now*/, std::uint64_t call, GroupActions& actions) {
  const auto found = calls_.find(key(call, false));
  if (found == calls_.end() || circuits_[found->second].state != State::seized_in) return;
  const Cic cic = found->second;
  set_state(cic, State::established_in, call);
  send_on(cic, Kind::anm, call, 0, actions);
}

void Group::release(Time now, std::uint64_t call, bool outgoing, int cause, GroupActions& actions) {
  const auto found = calls_.find(key(call, outgoing));
  if (found != calls_.end()) begin_release(now, found->second, cause, actions);
}

}  // namespace reeltack::circuits
