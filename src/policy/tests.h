// What a server takes to answer and may be sent, and whether a call at it would be in time. Keeps the turns
// at cold and unknown servers, and the shares. Sends, queues and answers nothing.
#pragma once

#include "policy/shared.h"

namespace reeltack::policy {

// f, the margin in both tests: a tenth of the aim is left for what the measurement does not see.
constexpr double kMargin = 0.9;
constexpr double kMemory = 2.0;  // half-life of a measurement, in own share intervals. No other measured.
// A server is known to be quick if it answered in this part of the shortest aim; 0.3 lost 0.01 to 0.03.
constexpr double kSoon = 0.2;
// Else it gets so many times this gateway's own share at the most; 1.5 left small quick servers half empty.
constexpr double kShares = 2.5;
constexpr double kColdPart = 0.7;  // of the cold server's told budget, for all gateways together
// A turn there lapses after this part of the told span: 0.7 * (1 + 0.25) of the budget at once at the most.
constexpr double kColdLapse = 0.25;
constexpr double kGoldenRatio = 0.6180339887498949;

struct Tests : Shared {
  // The measured delay, or the age of the unanswered set-up if that is more.
  // EXCEPTION (silent or stuck server): a set-up without answer is itself a measurement.
  [[nodiscard]] Duration delay(const Server& s) const {
    return s.slot ? std::max(aged(s), now_ - s.slot->sent) : aged(s);
  }
  // EXCEPTION (few and old measurements): half of it is forgotten with each own share interval (an aim at the
  // least), so that a server once found slow is tried again, gently.
  [[nodiscard]] Duration aged(const Server& s) const {
    const double life = kMemory * seconds(std::max(shortest_aim_, own_share_interval(s)));
    return part_of(s.measured, std::exp2(-seconds(now_ - s.measured_at) / std::max(life, 1.0e-9)));
  }

  // Would this call, queued at the server, be answered within part f of its aim, before its caller leaves?
  [[nodiscard]] bool has_room(const Call& call, Server& s, double f) {
    if (held(s)) return false;
    const auto ahead = static_cast<double>(s.queue.count_to(call.level) + 1);
    return ahead * seconds(delay(s)) < seconds(std::min(call.aim, call.told.caller_leaves_at - now_)) * f;
  }

  [[nodiscard]] static Time due(const Call& call) {
    return (call.late ? call.arrived : call.first_tried) + part_of(call.aim, kMargin);
  }

  // When a waiting call is refused at the latest: tau f, or (top level) in time for its caller.
  [[nodiscard]] Time last_start(const Call& call) const {
    const Time latest = call.told.caller_leaves_at - 2 * look_again();
    return call.level == kTop ? latest : std::min(latest, due(call));
  }

  // One unanswered set-up per server; not while it rests, nor past a cold server's budget.
  [[nodiscard]] bool may_take(Server& s) { return listed_ready(s) && !s.slot && !held(s); }
  [[nodiscard]] bool held(Server& s) {
    return now_ < s.rests_until || now_ < s.no_lines_until || !has_turn(s);
  }

  [[nodiscard]] bool cold(const Server& s) const {
    return set_.fall_span > Duration{} && s.told.started_at > Time{} && now_ < s.told.started_at + set_.ramp;
  }

  // So many times its share a cold server is sent at its age; below 1 while it can't take a whole one.
  [[nodiscard]] double cold_shares(const Server& s) const {
    const double age = seconds(now_ - s.told.started_at) / std::max(seconds(set_.ramp), 1.0e-9);
    const double warm = set_.cold_from + (1.0 - set_.cold_from) * std::clamp(age, 0.0, 1.0) * 0.5;
    return kColdPart * set_.fall_multiple * warm;
  }

  // EXCEPTION (cold server): sends are paced so that all gateways together stay under the told budget. This
  // one's part is its own long-run first tries, spread over the servers. It grows at half of a straight ramp;
  // a turn not taken lapses, or those saved up by hundreds would be spent in one blow. EXCEPTION (server not
  // known to be quick): without an answer of late that came soon, some times the own share, less by the
  // delay.
  [[nodiscard]] Duration turn_interval(const Server& s) const {
    const double over = seconds(delay(s)) / std::max(kSoon * seconds(shortest_aim_), 1.0e-9);
    double shares = kShares / std::max(over * over, 1.0);
    if (cold(s)) shares = std::min(shares, cold_shares(s));
    // Of the first tries no more count than servers of its size answered, also those that have gone since: a
    // fleet that cannot take them all is no measure.
    double share_interval = seconds(own_share_interval(s));
    if (cold(s)) share_interval = std::max(share_interval, 1.0 / (size(s) * stood_by_size_a_second_));
    const Duration own = from_seconds(share_interval / std::max(shares, 1.0e-9));
    return cold(s) ? std::max(own, s.pace) : own;
  }
  [[nodiscard]] bool quick_of_late(const Server& s) const {
    return now_ < s.measured_at + shortest_aim_ && s.measured < part_of(shortest_aim_, kSoon);
  }
  bool has_turn(Server& s) {
    if (!cold(s) && quick_of_late(s)) return true;
    const Duration interval = turn_interval(s);
    const Duration lapse = cold(s) ? part_of(set_.fall_span, kColdLapse) : interval;
    const bool fresh = s.turn_of != s.told.started_at;
    if (fresh || now_ > s.turn_at + lapse) {
      s.turn_of = s.told.started_at;
      s.turn_at = now_ + part_of(interval, uniform()) - (fresh && cold(s) ? Duration{} : lapse);
    }
    // What was drawn when less was known of arrivals, or the delay was worse, is cut down.
    if (s.turn_at > now_ + 2 * interval) s.turn_at = now_ + spread(interval);
    return now_ >= s.turn_at;
  }
  // EXCEPTION (cold server, classes that differ in work): its budget is one of work, which is not told. So of
  // each class it gets no larger a part than is answered; by the mix of arrivals it would get what the others
  // refuse. The golden ratio picks calls evenly without a random number.
  [[nodiscard]] bool suits(const Call& call, const Server& s) const {
    if (!cold(s)) return true;
    const auto part = class_parts_.find(call.told.call_class);
    return part == class_parts_.end() ||
           std::fmod(static_cast<double>(call.order) * kGoldenRatio, 1.0) < part->second;
  }
  // The part of each class that is answered, compared with the class answered best.
  void note_class_parts() {
    double most = 0.0;
    for (const auto& [id, tries] : class_tries_) {
      const auto stood = class_stood_.find(id);
      const double answered = stood == class_stood_.end() ? 0.0 : fade(stood->second);
      class_parts_[id] = answered / std::max(fade(tries), 1.0e-9);
      most = std::max(most, class_parts_[id]);
    }
    for (auto& [id, part] : class_parts_) part = most > 0.0 ? part / most : 1.0;
  }
  // The mean time between this gateway's first tries to a server, were they spread by size.
  [[nodiscard]] Duration own_share_interval(const Server& s) const {
    return from_seconds(std::max(total_size_ / size(s), 1.0) / tries_a_second_);
  }
  // What a server can take, compared with others: its told capacity and, where they are told, its lines.
  [[nodiscard]] double size(const Server& s) const {
    return std::max(s.told.capacity, 1.0e-6) * (s.lines > 0.0 ? s.lines : usual_lines_);
  }
  void note_shares() {
    total_size_ = 0.0;
    able_size_ = 0.0;
    bool any_cold = false;
    for (const auto& [id, s] : servers_) {
      if (!listed_ready(s)) continue;
      total_size_ += size(s);
      any_cold = any_cold || cold(s);
      able_size_ += size(s) * (cold(s) ? std::min(cold_shares(s), 1.0) : 1.0);
    }
    if (any_cold) note_class_parts();
    tries_a_second_ = a_second(first_tries_);
    stood_by_size_a_second_ = a_second(stood_by_size_, 1.0 / std::max(able_size_, 1.0e-6));
  }

  double usual_lines_ = 1.0;
  std::map<std::uint32_t, double> class_parts_;  // by class, as last noted while a server was cold
  double tries_a_second_ = 0.0;
  double stood_by_size_a_second_ = 0.0;
};

}  // namespace reeltack::policy
