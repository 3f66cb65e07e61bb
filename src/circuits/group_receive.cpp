// The messages of the far end, as they change the circuits of this one.
#include "circuits/group.h"

namespace reeltack::circuits {
namespace {

constexpr int kCircuitNotAvailable = 44;

}  // namespace

bool Group::receive(Time now, const Message& m, GroupActions& actions) {
  if (!up_ || m.cic >= settings_.size || m.count == 0 || m.count > settings_.size - m.cic) return false;
  if (m.kind >= Kind::blo) return receive_group(now, m, actions);
  Circuit& c = circuits_[m.cic];
  // In order, each once, and nothing heard that was not said: else these are not two ends of one connection.
  if (m.count != 1 || m.sequence != c.received + 1 || m.received > c.sent) return false;
  c.received = m.sequence;
  c.disagreed = 0;
  reselect(m.cic);
  const bool older = is_older(m.received, c.sent);  // it was sent before this end's last message was heard
  switch (m.kind) {
    case Kind::iam:
      return receive_iam(now, m, older, actions);
    case Kind::anm:
      return receive_anm(m, actions), true;
    case Kind::rel:
      return receive_rel(m, actions), true;
    case Kind::rlc:
      if (c.state == State::releasing ? c.call == m.call : c.state == State::resetting && m.call == 0)
        enter(m.cic, State::idle, 0);
      return true;
    case Kind::rsc:
      return receive_rsc(m, older, actions), true;
    default:
      return false;
  }
}

void Group::receive_anm(const Message& m, GroupActions& actions) {
  const Circuit& c = circuits_[m.cic];
  if (c.state != State::seized_out || c.call != m.call) {
    ++counts_.stale;  // it crossed our release; or an audit settles it
    return;
  }
  enter(m.cic, State::established_out, m.call);
  actions.emplace_back(Answered{m.call});
}

bool Group::receive_iam(Time now, const Message& m, bool older, GroupActions& actions) {
  const Circuit& c = circuits_[m.cic];
  const bool known = calls_.contains(key(m.call, false)) || calls_.contains(key(m.call, true));
  if (is_older(m.received, c.seized)) {
    // Both have seized it, and neither had heard the other; ours may be over again by now. The far end finds
    // the same when ours gets there, whatever else has happened on the way.
    ++counts_.collisions;
    if (wins(m.cic)) return true;
    if (c.state == State::seized_out) {
      ++counts_.glare_lost;
      actions.emplace_back(SeizureLost{c.call});
    }
    enter(m.cic, State::idle, 0);
  } else if (c.state == State::resetting || c.state == State::releasing) {
    if (!older) return false;
    ++counts_.stale;  // the reset or release is the older message: the far end will find so too
    enter(m.cic, State::idle, 0);
  } else if (c.state != State::idle) {
    return false;  // both know of a call here
  }
  // A block that the far end had not heard of does not turn away what crosses it; a lost circuit does.
  if (c.lost || (c.blocked_local && c.block_acknowledged) || known) {
    enter(m.cic, State::releasing, m.call);
    circuits_[m.cic].tries = 1;
    send_on(m.cic, Kind::rel, m.call, known ? kTemporaryFailure : kCircuitNotAvailable, actions);
    await_completion(now, m.cic);
    return true;
  }
  ++counts_.offered;
  enter(m.cic, State::seized_in, m.call);
  actions.emplace_back(Offered{m.call, m.cic});
  return true;
}

void Group::receive_rel(const Message& m, GroupActions& actions) {
  const Circuit& c = circuits_[m.cic];
  if (holds_call(c.state) && c.call != m.call) {
    // Of a call that lost against ours: the far end learns of ours and needs no completion.
    ++counts_.stale;
    return;
  }
  if (holds_call(c.state)) drop(m.cic, m.cause, true, actions);
  if (c.state == State::resetting) enter(m.cic, State::idle, 0);
  // In releasing the two releases have crossed: theirs is completed, and ours still awaits its completion.
  send_on(m.cic, Kind::rlc, m.call, 0, actions);
}

void Group::receive_rsc(const Message& m, bool older, GroupActions& actions) {
  const Circuit& c = circuits_[m.cic];
  if (older && holds_call(c.state)) {
    ++counts_.stale;  // decided before our last message was heard: the newer one wins
    return;
  }
  drop(m.cic, kTemporaryFailure, false, actions);
  send_on(m.cic, Kind::rlc, 0, 0, actions);
}

bool Group::receive_group(Time now, const Message& m, GroupActions& actions) {
  if (m.sequence != 0) return false;
  switch (m.kind) {
    case Kind::blo:
    case Kind::ubl: {
      const bool blocked = m.kind == Kind::blo;
      for (Cic cic = m.cic; cic < m.cic + m.count; ++cic) {
        circuits_[cic].blocked_remote = blocked;
        reselect(cic);
      }
      Message answer;
      answer.kind = blocked ? Kind::bla : Kind::uba;
      answer.cic = m.cic;
      answer.count = m.count;
      actions.emplace_back(Send{std::move(answer)});
      return true;
    }
    case Kind::bla:
      for (Cic cic = m.cic; cic < m.cic + m.count; ++cic)
        circuits_[cic].block_acknowledged = circuits_[cic].blocked_local || circuits_[cic].lost;
      return true;
    case Kind::uba:
      return true;
    case Kind::cqm:
      if (m.count > settings_.audit_range) return false;
      respond(m, actions);
      return true;
    case Kind::cqr:
      if (m.statuses.size() != m.count) return false;
      compare(now, m, actions);
      return true;
    default:
      return false;
  }
}

}  // namespace reeltack::circuits
