// Steps 4 and 5 (listed in policy.cpp): one unanswered set-up per server. Decides which calls are refused
// from a queue, moved to another server or sent next. Every set-up passes send(), which checks five rules.
#pragma once

#include "policy/admission.h"

namespace reeltack::policy {

// "f" of EQ 4. Low, so that a long queue of calls of little worth does not delay a call of more worth.
constexpr double kDrainFraction = 0.2;
// Fraction of kFewLinesFraction below which a server has no lines to spare for late calls.
constexpr double kSpareLinesFraction = 0.5;
// Late calls are restricted where there are at least this many gateways per server. Deciding by this
// gateway's own tries instead misjudged small fleets with uneven traffic.
constexpr std::size_t kManyGateways = 5;
// At a server known to be quick, an attempt is considered lost after kQuickPatience mean delays plus
// kDeviations mean deviations (as in RFC 6298), at least kMinPatience aims, doubled with each consecutive
// loss. Elsewhere, and at most, it is considered lost after kSlowPatience mean delays, at least an aim.
constexpr double kSlowPatience = 4.0;
constexpr double kQuickPatience = 2.0;
constexpr double kDeviations = 4.0;
constexpr double kMinPatience = 0.1;

struct Dispatch : Admission {
  // EQ 3: refuses calls that can no longer be answered in time: delta t measured (`expected`) + time in the
  // queue >= tau * f, or, at the top level, too late for the caller (see latest_send()).
  void shed(Queue& queue, Duration expected) {
    while (!queue.by_latest_send.empty() && queue.by_latest_send.begin()->first <= now_ + expected)
      refuse(calls_.at(waiting_.at(queue.by_latest_send.begin()->second)));
  }

  // EXCEPTION (long or stuck queue beside an idle server): while the server is held back or its queue fails
  // the spill test, moves the oldest call to the quickest server with an empty queue that can send it now.
  void relieve(Server& s) {
    while (!s.queue.empty()) {
      const std::optional<CallId> id = next_call(s.queue, Duration{});
      if (!id) return;
      Call& call = calls_.at(*id);
      const auto drain = static_cast<double>(s.queue.count_through(kLowestLevel)) * seconds(delay(s));
      if (!held_back(s) && drain < seconds(call.aim) * kSpillFraction) return;
      Server* other = nullptr;
      for (auto& [oid, o] : servers_) {
        if (&o == &s || !is_open_to(call, o) || !fits_class_mix(call, o) || !o.queue.empty() ||
            !can_accept(o))
          continue;
        if (other == nullptr || o.mean_delay < other->mean_delay) other = &o;
      }
      if (other == nullptr || !would_be_in_time(call, *other, kSpillFraction)) return;
      remove(call);
      enqueue(call, *other);
      if (!dispatch(*other)) return;
    }
  }

  // EQ 4: the oldest call among the levels, from the top down, whose calls together are sent within tau * f.
  std::optional<CallId> next_call(const Queue& queue, Duration expected) {
    std::size_t sum = 0;
    std::optional<std::pair<std::uint64_t, CallId>> oldest;
    for (const auto& level : queue.levels) {
      if (level.empty()) continue;
      sum += level.size();
      const Call& head = calls_.at(level.begin()->second);
      if (oldest && static_cast<double>(sum) * seconds(expected) >= seconds(head.aim) * kDrainFraction) break;
      if (!oldest || level.begin()->first < oldest->first) oldest = *level.begin();
    }
    return oldest ? std::optional{oldest->second} : std::nullopt;
  }

  // Takes the next call from the queue and sends or refuses it; false: none was taken.
  bool dispatch(Server& s) {
    if (!can_accept(s)) return false;
    const std::optional<CallId> id = next_call(s.queue, delay(s));
    if (!id) return false;
    Call& call = calls_.at(*id);
    // EXCEPTION (late calls, with many gateways per server): a call that earns little must not take the send
    // slot or the line of one that can still be in time, here or at another gateway.
    const bool spare = recently_quick(s) || settings_.gateways < kManyGateways * servers_.size();
    if (call.level >= kLateLevel && (!spare || s.free_fraction < kFewLinesFraction * kSpareLinesFraction))
      return false;
    remove(call);
    if (!send(call, s)) refuse(call);
    return true;
  }

  // Checks the five rules, each on this gateway's own knowledge, and sends. A call that may have had an
  // effect is not sent again.
  bool send(Call& call, Server& s) {
    if (call.request.caller_leaves_at <= now_) return false;       // 1: answer in time
    if (call.state == CallState::sent || s.pending) return false;  // 2: one pending attempt at a time
    if (!is_ready(s) || !is_open_to(call, s)) return false;        // 3: nothing to a draining server
    if (!has_send_slot(s)) return false;                           // 4: no overload of a cold server
    if (now_ < call.not_before) return false;                      // 5: wait for the release guard
    if (call.attempts >= settings_.attempts_cap || call.may_have_run) return false;
    s.next_send_at = (is_cold(s) ? s.next_send_at : now_) + jittered(send_interval(s));

    s.pending = PendingSetUp{call.request.call, call.attempts, now_};
    call.bound_to = s.entry.server;
    call.state = CallState::sent;
    ++call.attempts;
    actions_->emplace_back(SendSetUp{call.request.call, s.entry.server, expiry(call, s)});
    return true;
  }

  // EXCEPTION (lost or stuck set-up): where answers come quickly, an attempt far beyond the measured delay is
  // abandoned, so that its call may be sent again. Elsewhere it may be waiting in a queue that is not visible
  // from here.
  [[nodiscard]] Time expiry(const Call& call, const Server& s) const {
    const Duration usual = scaled(s.mean_delay, kQuickPatience) + scaled(s.mean_deviation, kDeviations);
    const Duration quick = std::max(usual, scaled(call.aim, kMinPatience));
    const Duration slow = std::max(scaled(s.mean_delay, kSlowPatience), call.aim);
    const Duration patience = std::min(scaled(quick, std::exp2(std::min(s.unanswered, 16U))), slow);
    return std::min(now_ + (recently_quick(s) ? patience : slow), call.request.caller_leaves_at);
  }
};

}  // namespace reeltack::policy
