// Audits: both ends compare their views of the circuits and settle what disagrees (Q.764, 2.8.3).
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
  m.token = ++tokens_;
  actions.emplace_back(Send{std::move(m)});
  return tokens_;
}

void Group::step_audit(Time now, GroupActions& actions) {
  if (audit_next_ == 0) ++counts_.audits;
  const std::uint32_t count = std::min(settings_.audit_range, settings_.size - audit_next_);
  const std::uint32_t token = query(audit_next_, count, actions);
  audit_next_ += count;
  if (audit_urgent_) urgent_token_ = token;
  if (audit_next_ < settings_.size) {
    // Spread over the period, or one after the other where it is urgent.
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
  m.statuses.reserve(query.count);
  for (Cic cic = query.cic; cic < query.cic + query.count; ++cic) {
    const Circuit& c = circuits_[cic];
    CircuitStatus w;
    w.received = c.received;
    w.established = stands(c.state);
    if (holds_call(c.state)) {
      w.state = is_out(c.state) ? CircuitStatus::State::out : CircuitStatus::State::in;
      w.call = c.call;
    } else if (c.state != State::idle) {
      w.state = CircuitStatus::State::changing;
    }
    m.statuses.push_back(w);
  }
  actions.emplace_back(Send{std::move(m)});
}

void Group::compare(Time now, const Message& response, GroupActions& actions) {
  for (std::uint32_t i = 0; i < response.count; ++i) compare_one(now, response.cic + i, response.statuses[i]);
  if (audit_urgent_ && response.token == urgent_token_) step_audit(now, actions);
}

void Group::mark_agreed(Cic cic) {
  Circuit& c = circuits_[cic];
  c.disagreed = 0;
  c.unaudited = false;
  reselect(cic);
}

void Group::compare_one(Time now, Cic cic, const CircuitStatus& report) {
  Circuit& c = circuits_[cic];
  using Reported = CircuitStatus::State;
  // Something of ours had not been heard when this was said: it speaks of a past state. The other way round
  // nothing can be on its way, since what was sent before it has come before it.
  if (report.received != c.sent) return;
  if (report.state == Reported::changing || c.state == State::releasing || c.state == State::resetting)
    return;
  if (c.state == State::idle && report.state == Reported::idle) return mark_agreed(cic);
  const bool same = holds_call(c.state) && report.call == c.call &&
                    report.state == (is_out(c.state) ? Reported::in : Reported::out);
  if (same) return mark_agreed(cic);
  if (c.disagreed == 2) return;  // it waits to be settled
  if (c.disagreed == 1 && c.far_call == report.call) {
    c.disagreed = 2;
    to_settle_.push_back(cic);
    if (settle_at_ == Time::max()) settle_at_ = now;
    return;
  }
  ++counts_.suspects;
  c.disagreed = 1;
  c.far_call = report.call;
  reselect(cic);
  confirmations_.push_back({now + settings_.confirm_after, cic, c.sent, epoch_});
}

// What disagreed twice with nothing in between: our call is known here alone and over, theirs is reset.
void Group::settle(Time now, GroupActions& actions) {
  settle_at_ = Time::max();
  for (std::uint32_t n = 0; n < settings_.settle_batch && !to_settle_.empty();) {
    const Cic cic = to_settle_.front();
    to_settle_.pop_front();
    Circuit& c = circuits_[cic];
    if (c.disagreed != 2) continue;  // a newer message has come
    ++n;
    const std::uint64_t far_call = c.far_call;
    if (holds_call(c.state)) {
      ++counts_.freed;
      c.unaudited = true;
      drop(cic, kTemporaryFailure, false, actions);
    }
    c.disagreed = 0;
    if (far_call != 0) {
      begin_reset(now, cic, actions);
    } else {
      query(cic, 1, actions);
    }
  }
  if (!to_settle_.empty()) settle_at_ = now + settings_.settle_gap;
}

}  // namespace reeltack::circuits
