// Changes of the connection of a trunk group, and its timers.
#include <algorithm>

#include "circuits/group.h"

namespace reeltack::circuits {

void Group::connected(Time now, GroupActions& actions) {
  if (up_) disconnected(now, actions);
  up_ = true;
  ++epoch_;
  release_retries_.clear();
  confirmations_.clear();
  to_settle_.clear();
  settle_due_ = silence_ends_at_ = Time::max();
  for (Cic cic = 0; cic < settings_.size; ++cic) {
    Circuit& c = circuits_[cic];
    c.sent = c.received = c.seized = 0;
    c.mismatches = 0;
    c.blocked_remote = c.block_acknowledged = false;
    c.unaudited = true;
    update_idle_sets(cic);
  }
  for (Cic cic = 0; cic < settings_.size;) {
    const auto is_blocked = [this](Cic at) { return circuits_[at].blocked_local || circuits_[at].lost; };
    const Cic begin = cic;
    while (cic < settings_.size && is_blocked(cic)) ++cic;
    send_blocking(true, begin, cic - begin, actions);
    if (cic == begin) ++cic;
  }
  audit_now(now, actions);
}

void Group::disconnected(Time now, GroupActions& actions, std::optional<Time> silent_since) {
  if (!up_) return;
  up_ = false;
  audit_due_ = settle_due_ = Time::max();
  audit_urgent_ = false;
  silence_ends_at_ = silent_since.value_or(now) + settings_.max_silence;
  for (Cic cic = 0; cic < settings_.size; ++cic) {
    Circuit& c = circuits_[cic];
    c.unaudited = true;
    c.mismatches = 0;
    // An established call does not depend on a connection. An unanswered one ends at both ends, whatever was
    // in flight.
    if (is_established(c.state)) {
      update_idle_sets(cic);
    } else {
      end_call(cic, kTemporaryFailure, false, actions);
    }
  }
}

Time Group::next_due() const {
  Time out = std::min({settle_due_, audit_due_, silence_ends_at_});
  if (!release_retries_.empty()) out = std::min(out, release_retries_.front().at);
  if (!confirmations_.empty()) out = std::min(out, confirmations_.front().at);
  return out;
}

void Group::retry_due_releases(Time now, GroupActions& actions) {
  while (!release_retries_.empty() && release_retries_.front().at <= now) {
    const Timer due = release_retries_.front();
    release_retries_.pop_front();
    Circuit& c = circuits_[due.cic];
    if (!up_ || due.epoch != epoch_ || c.sent != due.sent) continue;  // something was sent since
    if (c.state == State::releasing && c.tries < settings_.max_releases) {
      ++c.tries;
      ++counts_.releases_again;
      send_on(due.cic, Kind::rel, c.call, kNormalClearing, actions);
      await_completion(now, due.cic);
    } else if (c.state == State::releasing || c.state == State::resetting) {
      begin_reset(now, due.cic, actions);
    }
  }
}

void Group::confirm_suspects(Time now, GroupActions& actions) {
  while (!confirmations_.empty() && confirmations_.front().at <= now) {
    const Timer due = confirmations_.front();
    confirmations_.pop_front();
    const Circuit& c = circuits_[due.cic];
    if (up_ && due.epoch == epoch_ && c.sent == due.sent && c.mismatches == 1) query(due.cic, 1, actions);
  }
}

void Group::drop_established_calls(GroupActions& actions) {
  for (Cic cic = 0; cic < settings_.size; ++cic) {
    if (is_established(circuits_[cic].state)) end_call(cic, kTemporaryFailure, false, actions);
  }
}

void Group::fire(Time now, GroupActions& actions) {
  retry_due_releases(now, actions);
  confirm_suspects(now, actions);
  if (settle_due_ <= now) settle(now, actions);
  if (audit_due_ <= now) step_audit(now, actions);
  if (silence_ends_at_ <= now) {
    silence_ends_at_ = Time::max();
    drop_established_calls(actions);
  }
}

}  // namespace reeltack::circuits
