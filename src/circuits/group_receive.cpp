// Messages of the far end and their effect on the circuits.
#include "circuits/group.h"

namespace reeltack::circuits {
namespace {

constexpr int kCircuitNotAvailable = 44;  // Q.850 cause

}  // namespace

bool Group::receive(Time now, const Message& m, GroupActions& actions) {
  if (!up_ || m.cic >= settings_.size || m.count == 0 || m.count > settings_.size - m.cic) return false;
  if (m.kind >= Kind::blo) return receive_group(now, m, actions);
  Circuit& c = circuits_[m.cic];
  // Messages arrive in order and once each, and cannot acknowledge a message that was not sent;
  // otherwise the ends do not share one connection.
  if (m.count != 1 || m.sequence != c.received + 1 || m.received > c.sent) return false;
  c.received = m.sequence;
  c.mismatches = 0;
  update_idle_sets(m.cic);
  const bool outdated = is_older(m.received, c.sent);  // sent before this end's last message was received
  switch (m.kind) {
    case Kind::iam:
      return receive_iam(now, m, outdated, actions);
    case Kind::anm:
      return receive_anm(m, actions), true;
    case Kind::rel:
      return receive_rel(m, actions), true;
    case Kind::rlc:
      if (c.state == State::releasing ? c.call == m.call : c.state == State::resetting && m.call == 0)
        set_state(m.cic, State::idle, 0);
      return true;
    case Kind::rsc:
      return receive_rsc(m, outdated, actions), true;
    default:
      return false;
  }
}

void Group::receive_anm(const Message& m, GroupActions& actions) {
  const Circuit& c = circuits_[m.cic];
  if (c.state != State::seized_out || c.call != m.call) {
    ++counts_.stale;  // it crossed our release; otherwise an audit resolves it
    return;
  }
  set_state(m.cic, State::established_out, m.call);
  actions.emplace_back(Answered{m.call});
}

bool Group::receive_iam(Time now, const Message& m, bool outdated, GroupActions& actions) {
  const Circuit& c = circuits_[m.cic];
  const bool known = calls_.contains(key(m.call, false)) || calls_.contains(key(m.call, true));
  if (is_older(m.received, c.seized)) {
    // Both ends have seized the circuit before receiving the other's message; our call may have ended
    // again by now. The far end concludes the same when our iam arrives, whatever else has happened
    // meanwhile.
    ++counts_.collisions;
    if (wins(m.cic)) return true;
    if (c.state == State::seized_out) {
      ++counts_.glare_lost;
      actions.emplace_back(SeizureLost{c.call});
    }
    set_state(m.cic, State::idle, 0);
  } else if (c.state == State::resetting || c.state == State::releasing) {
    if (!outdated) return false;  // the far end would have completed our reset or release first
    ++counts_.stale;  // our reset or release is the outdated message, and the far end concludes the same
    set_state(m.cic, State::idle, 0);
  } else if (c.state != State::idle) {
    return false;  // protocol violation: both ends know of a call here
  }
  // A block that the far end has not acknowledged does not reject a seizure, which may cross it; a lost
  // circuit does.
  if (c.lost || (c.blocked_local && c.block_acknowledged) || known) {
    set_state(m.cic, State::releasing, m.call);
    circuits_[m.cic].tries = 1;
    send_on(m.cic, Kind::rel, m.call, known ? kTemporaryFailure : kCircuitNotAvailable, actions);
    await_completion(now, m.cic);
    return true;
  }
  ++counts_.offered;
  set_state(m.cic, State::seized_in, m.call);
  actions.emplace_back(Offered{m.call, m.cic});
  return true;
}

void Group::receive_rel(const Message& m, GroupActions& actions) {
  const Circuit& c = circuits_[m.cic];
  if (holds_call(c.state) && c.call != m.call) {
    // The release of a call that lost to ours: the far end learns of ours and needs no completion.
    ++counts_.stale;
    return;
  }
  if (holds_call(c.state)) end_call(m.cic, m.cause, true, actions);
  if (c.state == State::resetting) set_state(m.cic, State::idle, 0);
  // While releasing, the two releases have crossed: theirs is completed here, ours still awaits its
  // completion.
  send_on(m.cic, Kind::rlc, m.call, 0, actions);
}

void Group::receive_rsc(const Message& m, bool outdated, GroupActions& actions) {
  const Circuit& c = circuits_[m.cic];
  if (outdated && holds_call(c.state)) {
    ++counts_.stale;  // decided before our last message was received: the newer one wins
    return;
  }
  end_call(m.cic, kTemporaryFailure, false, actions);
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
        update_idle_sets(cic);
      }
      Message acknowledgement;
      acknowledgement.kind = blocked ? Kind::bla : Kind::uba;
      acknowledgement.cic = m.cic;
      acknowledgement.count = m.count;
      actions.emplace_back(Send{std::move(acknowledgement)});
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
      if (m.status.size() != m.count) return false;
      compare(now, m, actions);
      return true;
    default:
      return false;
  }
}

}  // namespace reeltack::circuits
