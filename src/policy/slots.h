// Steps 4 and 5: one unanswered set-up a server. Who is shed from a queue, who is moved, who is sent next.
// Every send passes send(), which holds the five rules.
#pragma once

#include "policy/arrival.h"

namespace reeltack::policy {

// f of EQ 4: low, so that a long queue of little worth holds up no call of more; see the journal.
constexpr double kDrain = 0.2;
constexpr double kSpare = 0.5;     // of that: no lines to spare for late callers; not measured
constexpr std::size_t kCrowd = 5;  // gateways a server: many; own tries misjudged small skewed fleets
// Where delays are known to be short, an attempt is lost after so many of them and of their mean deviations
// (as RFC 6298 has it), twice as long in a row, this part of the aim at the least. Elsewhere an aim at the
// least.
constexpr double kPatience = 4.0;
constexpr double kQuickPatience = 2.0;
constexpr double kDeviations = 4.0;
constexpr double kPatiencePart = 0.1;

struct Slots : Arrival {
  // EQ 3: refuse below the top who cannot be answered in time any more: delta t measured + queued >= tau f.
  void shed(Queue& queue, Duration took) {
    while (!queue.due.empty() && queue.due.begin()->first <= now_ + took)
      refuse(calls_.at(by_order_.at(queue.due.begin()->second)));
  }

  // EXCEPTION (long or stuck queue beside an idle server): step 3 again for the oldest past the spill test.
  void relieve(Server& s) {
    while (!s.queue.empty()) {
      const std::optional<CallId> id = next(s.queue, Duration{});
      if (!id) return;
      Call& call = calls_.at(*id);
      const auto drain = static_cast<double>(s.queue.count_to(kLowest)) * seconds(delay(s));
      if (!held(s) && drain < seconds(call.aim) * kSpill) return;
      Server* other = nullptr;
      for (auto& [oid, o] : servers_) {
        if (&o == &s || !open_to(call, o) || !suits(call, o) || !o.queue.empty() || !may_take(o)) continue;
        if (other == nullptr || o.measured < other->measured) other = &o;
      }
      if (other == nullptr || !has_room(call, *other, kSpill)) return;
      take_out(call);
      enqueue(call, *other);
      if (!dispatch(*other)) return;
    }
  }

  // EQ 4: the oldest at or above the least urgent level whose queue, summed from the top, drains in tau f.
  std::optional<CallId> next(const Queue& queue, Duration took) {
    std::size_t sum = 0;
    std::optional<std::pair<std::uint64_t, CallId>> oldest;
    for (const auto& level : queue.levels) {
      if (level.empty()) continue;
      sum += level.size();
      const Call& head = calls_.at(level.begin()->second);
      if (oldest && static_cast<double>(sum) * seconds(took) >= seconds(head.aim) * kDrain) break;
      if (!oldest || level.begin()->first < oldest->first) oldest = *level.begin();
    }
    return oldest ? std::optional{oldest->second} : std::nullopt;
  }

  bool dispatch(Server& s) {
    if (!may_take(s)) return false;
    const std::optional<CallId> id = next(s.queue, delay(s));
    if (!id) return false;
    Call& call = calls_.at(*id);
    // EXCEPTION (late callers, with many gateways a server): a call that earns little must not take the turn
    // or line of one that still can be in time, here or elsewhere.
    const bool spare = quick_of_late(s) || set_.gateways < kCrowd * servers_.size();
    if (call.level >= kLate && (!spare || s.free_part < kFewLines * kSpare)) return false;
    take_out(call);
    if (!send(call, s)) refuse(call);
    return true;
  }

  // The five rules, each on this gateway's own knowledge.
  bool send(Call& call, Server& s) {
    if (call.told.caller_leaves_at <= now_) return false;     // 1: answer in time
    if (call.state == State::sent || s.slot) return false;    // 2: one attempt out at a time
    if (!listed_ready(s) || !open_to(call, s)) return false;  // 3: drains kept
    if (!has_turn(s)) return false;                           // 4: cold servers spared
    if (now_ < call.not_before) return false;                 // 5: release awaited
    if (call.attempts >= set_.attempts_cap || call.may_have_run) return false;
    s.turn_at = (cold(s) ? s.turn_at : now_) + spread(turn_interval(s));

    s.slot = Slot{call.told.call, call.attempts, now_};
    call.bound = s.told.server;
    call.state = State::sent;
    ++call.attempts;
    out_->emplace_back(SendSetUp{call.told.call, s.told.server, give_up(call, s)});
    return true;
  }

  // EXCEPTION (lost or stuck set-up): where answers come soon, an attempt far beyond the measured delay is
  // given up, so that its call may be sent again. Elsewhere it waits in a queue that is not seen from here.
  [[nodiscard]] Time give_up(const Call& call, const Server& s) const {
    const Duration usual = part_of(s.measured, kQuickPatience) + part_of(s.deviation, kDeviations);
    const Duration quick = std::max(usual, part_of(call.aim, kPatiencePart));
    const Duration slow = std::max(part_of(s.measured, kPatience), call.aim);
    const Duration patience = std::min(part_of(quick, std::exp2(std::min(s.missed, 16U))), slow);
    return std::min(now_ + (quick_of_late(s) ? patience : slow), call.told.caller_leaves_at);
  }
};

}  // namespace reeltack::policy
