// Expected delays of servers, whether a server would answer a call in time, and how much a server may be
// sent: send slots at cold and unknown servers, and shares of the load. This layer sends, queues and answers
// nothing.
#pragma once

#include "policy/shared_state.h"

namespace reeltack::policy {

// "f" of the paper, the margin in both tests: leaves a tenth of the aim for what is not measured.
constexpr double kAimMargin = 0.9;
constexpr double kDelayHalfLife = 2.0;  // of a measured delay, in this gateway's own share intervals
// A server that answered within this fraction of the shortest aim is known to be quick. A value of 0.3 lost
// 0.01 to 0.03.
constexpr double kQuickFraction = 0.2;
// Any other server gets at most this multiple of this gateway's own share. A value of 1.5 left small quick
// servers half empty.
constexpr double kMaxShares = 2.5;
// Fraction of the budget of a cold server that all gateways together may use.
constexpr double kColdFraction = 0.7;
// A send slot at a cold server expires after this fraction of fall_span, so that at most 0.7 * (1 + 0.25) of
// the budget is sent at once.
constexpr double kColdSlotLifetime = 0.25;
constexpr double kGoldenRatio = 0.6180339887498949;

struct Eligibility : SharedState {
  // The measured delay, or the age of the unanswered set-up if that is greater.
  // EXCEPTION (silent or stuck server): an unanswered set-up is itself a measurement.
  [[nodiscard]] Duration delay(const Server& s) const {
    return s.pending ? std::max(decayed_delay(s), now_ - s.pending->sent_at) : decayed_delay(s);
  }
  // EXCEPTION (few and old measurements): the measured delay halves every kDelayHalfLife own share intervals
  // (each at least an aim), so that a server once found slow is tried again, gradually.
  [[nodiscard]] Duration decayed_delay(const Server& s) const {
    const double half_life = kDelayHalfLife * seconds(std::max(shortest_aim_, own_share_interval(s)));
    return scaled(s.mean_delay, std::exp2(-seconds(now_ - s.measured_at) / std::max(half_life, 1.0e-9)));
  }

  // Whether the call, queued at the server, would be answered within this fraction of its aim and before its
  // caller leaves.
  [[nodiscard]] bool would_be_in_time(const Call& call, Server& s, double fraction) {
    if (held_back(s)) return false;
    const auto ahead = static_cast<double>(s.queue.count_through(call.level) + 1);
    return ahead * seconds(delay(s)) <
           seconds(std::min(call.aim, call.request.caller_leaves_at - now_)) * fraction;
  }

  [[nodiscard]] static Time aim_ends_at(const Call& call) {
    return (call.late ? call.arrived_at : call.first_tried_at) + scaled(call.aim, kAimMargin);
  }

  // When a waiting call is refused at the latest: at tau * f, or (top level) in time for its caller.
  [[nodiscard]] Time latest_send(const Call& call) const {
    const Time before_leaving = call.request.caller_leaves_at - 2 * recheck_interval();
    return call.level == kTopLevel ? before_leaving : std::min(before_leaving, aim_ends_at(call));
  }

  // One unanswered set-up per server; none during a back-off or beyond a cold server's budget.
  [[nodiscard]] bool can_accept(Server& s) { return is_ready(s) && !s.pending && !held_back(s); }
  [[nodiscard]] bool held_back(Server& s) {
    return now_ < s.backoff_until || now_ < s.no_lines_until || !has_send_slot(s);
  }

  [[nodiscard]] bool is_cold(const Server& s) const {
    return settings_.fall_span > Duration{} && s.entry.started_at > Time{} &&
           now_ < s.entry.started_at + settings_.ramp;
  }

  // Multiple of its share that a cold server is sent at its age; below 1 while it cannot take a full share.
  [[nodiscard]] double cold_shares(const Server& s) const {
    const double age = seconds(now_ - s.entry.started_at) / std::max(seconds(settings_.ramp), 1.0e-9);
    const double warmth = settings_.cold_from + (1.0 - settings_.cold_from) * std::clamp(age, 0.0, 1.0) * 0.5;
    return kColdFraction * settings_.fall_multiple * warmth;
  }

  // EXCEPTION (cold server): sends are spaced so that all gateways together stay under the configured budget.
  // This gateway's part follows from its own long-run rate of first tries, spread over the servers. It grows
  // at half the slope of a linear ramp. An unused send slot expires, since slots saved up by hundreds of
  // gateways would all be used at the same moment.
  //
  // EXCEPTION (server not known to be quick): without a recent quick answer it gets a few times the own
  // share, and less the longer its delay.
  [[nodiscard]] Duration send_interval(const Server& s) const {
    const double slowness = seconds(delay(s)) / std::max(kQuickFraction * seconds(shortest_aim_), 1.0e-9);
    double shares = kMaxShares / std::max(slowness * slowness, 1.0);
    if (is_cold(s)) shares = std::min(shares, cold_shares(s));
    // At a cold server, first tries count only up to the rate of calls that servers of its size established,
    // including servers that have gone since: a fleet that cannot take all first tries is no measure.
    double share_interval = seconds(own_share_interval(s));
    if (is_cold(s))
      share_interval = std::max(share_interval, 1.0 / (relative_size(s) * established_per_size_));
    const Duration own = from_seconds(share_interval / std::max(shares, 1.0e-9));
    return is_cold(s) ? std::max(own, s.min_send_interval) : own;
  }
  [[nodiscard]] bool recently_quick(const Server& s) const {
    return now_ < s.measured_at + shortest_aim_ && s.mean_delay < scaled(shortest_aim_, kQuickFraction);
  }
  bool has_send_slot(Server& s) {
    if (!is_cold(s) && recently_quick(s)) return true;
    const Duration interval = send_interval(s);
    const Duration lifetime = is_cold(s) ? scaled(settings_.fall_span, kColdSlotLifetime) : interval;
    const bool restarted = s.send_slot_start != s.entry.started_at;
    if (restarted || now_ > s.next_send_at + lifetime) {
      s.send_slot_start = s.entry.started_at;
      s.next_send_at = now_ + scaled(interval, uniform()) - (restarted && is_cold(s) ? Duration{} : lifetime);
    }
    // A slot drawn when fewer arrivals were known or the delay was longer is moved to an earlier time.
    if (s.next_send_at > now_ + 2 * interval) s.next_send_at = now_ + jittered(interval);
    return now_ >= s.next_send_at;
  }
  // EXCEPTION (cold server, classes that differ in work): the budget is one of work, but the work of a class
  // is not known here. So of each class the server gets no larger a fraction than is answered elsewhere; by
  // the mix of arrivals it would get mainly what the other servers refuse. Multiples of the golden ratio
  // select calls evenly without a random number.
  [[nodiscard]] bool fits_class_mix(const Call& call, const Server& s) const {
    if (!is_cold(s)) return true;
    const auto fraction = class_fractions_.find(call.request.call_class);
    return fraction == class_fractions_.end() ||
           std::fmod(static_cast<double>(call.arrival_order) * kGoldenRatio, 1.0) < fraction->second;
  }
  // The fraction of each class that is answered, relative to the class answered best.
  void update_class_fractions() {
    double best = 0.0;
    for (const auto& [id, tries] : class_tries_) {
      const auto established = class_established_.find(id);
      const double answered = established == class_established_.end() ? 0.0 : decayed(established->second);
      class_fractions_[id] = answered / std::max(decayed(tries), 1.0e-9);
      best = std::max(best, class_fractions_[id]);
    }
    for (auto& [id, fraction] : class_fractions_) fraction = best > 0.0 ? fraction / best : 1.0;
  }
  // The mean time between this gateway's first tries to a server if they were distributed by size.
  [[nodiscard]] Duration own_share_interval(const Server& s) const {
    return from_seconds(std::max(total_size_ / relative_size(s), 1.0) / first_tries_per_second_);
  }
  // What a server can take, compared with others: its listed capacity times its lines, as far as reported.
  [[nodiscard]] double relative_size(const Server& s) const {
    return std::max(s.entry.capacity, 1.0e-6) * (s.lines > 0.0 ? s.lines : mean_lines_);
  }
  void update_shares() {
    total_size_ = 0.0;
    usable_size_ = 0.0;
    answerable_per_second_ = 0.0;
    bool any_cold = false;
    all_measured_ = true;
    for (const auto& [id, s] : servers_) {
      if (!is_ready(s)) continue;
      all_measured_ = all_measured_ && s.mean_delay != Duration{};
      if (s.mean_delay != Duration{}) answerable_per_second_ += 1.0 / std::max(seconds(s.mean_delay), 1.0e-6);
      total_size_ += relative_size(s);
      any_cold = any_cold || is_cold(s);
      usable_size_ += relative_size(s) * (is_cold(s) ? std::min(cold_shares(s), 1.0) : 1.0);
    }
    if (any_cold) update_class_fractions();
    first_tries_per_second_ = per_second(first_tries_);
    established_per_size_ = per_second(established_by_size_, 1.0 / std::max(usable_size_, 1.0e-6));
  }

  // "r" of EQ 1: the calls that the ready servers can answer for this gateway, one set-up at a time at each,
  // as far as they have been measured.
  double answerable_per_second_ = 0.0;
  bool all_measured_ = true;                         // of the ready servers
  double mean_lines_ = 1.0;                          // of the servers that reported theirs
  std::map<std::uint32_t, double> class_fractions_;  // by class, as of the last step with a cold server
  double first_tries_per_second_ = 0.0;
  double established_per_size_ = 0.0;  // calls per second and unit of size
};

}  // namespace reeltack::policy
