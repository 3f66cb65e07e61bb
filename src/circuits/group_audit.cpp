// Audits: both ends compare their views of the circuits and resolve mismatches (Q.764, 2.8.3).
#include <algorithm>

#include "circuits/group.h"

namespace reeltack::circuits {
namespace {

std::uint32_t ranges_of(const GroupSettings& s) { return (s.size + s.audit_range - 1) / s.audit_range; }

}  // namespace

void Group::audit_now(Time now, GroupActions& actions) {
  if (!up_) return;
  audit_urgent_ = true;
  audit_next_ = 0;
  audit_due_ = now + settings_.audit_period;
  step_audit(now, actions);
}

std::uint32_t Group::query(Cic first, std::uint32_t count, GroupActions& actions) {
  Message m;
  m.kind = Kind::cqm;
  m.cic = first;
  m.count = count;
  m.token = ++last_token_;
  actions.emplace_back(Send{std::move(m)});
  return last_token_;
}

void Group::step_audit(Time now, GroupActions& actions) {
  if (audit_next_ == 0) ++counts_.audits;
  const std::uint32_t count = std::min(settings_.audit_range, settings_.size - audit_next_);
  const std::uint32_t token = query(audit_next_, count, actions);
  audit_next_ += count;
  if (audit_urgent_) urgent_token_ = token;
  if (audit_next_ < settings_.size) {
    // Queries are spread over the period, or follow each other without pauses if the audit is urgent.
    if (!audit_urgent_) audit_due_ = now + settings_.audit_period / static_cast<int>(ranges_of(settings_));
    return;
  }
  audit_next_ = 0;
  audit_urgent_ = false;
  audit_due_ = now + settings_.audit_period / static_cast<int>(ranges_of(settings_));
}

void Group::respond(const Message& query, GroupActions& actions) const {
  Message m;
  m.kind = Kind::cqr;
  m.cic = query.cic;
  m.count = query.count;
  m.token = query.token;
  m.status.reserve(query.count);
  for (Cic cic = query.cic; cic < query.cic + query.count; ++cic) {
    const Circuit& c = circuits_[cic];
    CircuitStatus status;
    status.received = c.received;
    status.established = is_established(c.state);
    if (holds_call(c.state)) {
      status.state = is_outgoing(c.state) ? CircuitStatus::State::out : CircuitStatus::State::in;
      status.call = c.call;
    } else if (c.state != State::idle) {
      status.state = CircuitStatus::State::changing;
    }
    m.status.push_back(status);
  }
  actions.emplace_back(Send{std::move(m)});
}

void Group::compare(Time now, const Message& response, GroupActions& actions) {
  for (std::uint32_t i = 0; i < response.count; ++i)
    compare_circuit(now, response.cic + i, response.status[i]);
  if (audit_urgent_ && response.token == urgent_token_) step_audit(now, actions);
}

void Group::mark_agreed(Cic cic) {
  Circuit& c = circuits_[cic];
  c.mismatches = 0;
  c.unaudited = false;
  update_idle_sets(cic);
}

void Group::compare_circuit(Time now, Cic cic, const CircuitStatus& report) {
  Circuit& c = circuits_[cic];
  using Reported = CircuitStatus::State;
  // The response was sent before our last message was received, so it describes a past state. In the
  // other direction nothing can be in flight: whatever the far end sent before this response has
  // arrived before it.
  if (report.received != c.sent) return;
  if (report.state == Reported::changing || c.state == State::releasing || c.state == State::resetting)
    return;
  if (c.state == State::idle && report.state == Reported::idle) return mark_agreed(cic);
  const bool same = holds_call(c.state) && report.call == c.call &&
                    report.state == (is_outgoing(c.state) ? Reported::in : Reported::out);
  if (same) return mark_agreed(cic);
  if (c.mismatches == 2) return;  // it is already queued for settle()
  if (c.mismatches == 1 && c.far_call == report.call) {
    c.mismatches = 2;
    to_settle_.push_back(cic);
    if (settle_due_ == Time::max()) settle_due_ = now;
    return;
  }
  ++counts_.suspects;
  c.mismatches = 1;
  c.far_call = report.call;
  update_idle_sets(cic);
  confirmations_.push_back({now + settings_.confirm_after, cic, c.sent, epoch_});
}

// Resolves circuits that mismatched twice without a change in between. A call that only this end knows
// is ended; if the far end knows another call, the circuit is reset.
void Group::settle(Time now, GroupActions& actions) {
  settle_due_ = Time::max();
  for (std::uint32_t n = 0; n < settings_.settle_batch && !to_settle_.empty();) {
    const Cic cic = to_settle_.front();
    to_settle_.pop_front();
    Circuit& c = circuits_[cic];
    if (c.mismatches != 2) continue;  // a message has changed the circuit since
    ++n;
    const std::uint64_t far_call = c.far_call;
    if (holds_call(c.state)) {
      ++counts_.freed;
      c.unaudited = true;
      end_call(cic, kTemporaryFailure, false, actions);
    }
    c.mismatches = 0;
    if (far_call != 0) {
      begin_reset(now, cic, actions);
    } else {
      query(cic, 1, actions);
    }
  }
  if (!to_settle_.empty()) settle_due_ = now + settings_.settle_gap;
}

}  // namespace reeltack::circuits
