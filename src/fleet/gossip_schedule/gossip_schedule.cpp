#include "fleet/gossip_schedule/gossip_schedule.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace reeltack::fleet::gossip_schedule {
namespace {

constexpr std::size_t kUnproductiveRatio = 8;  // unproductive: under an eighth of the bytes are useful
double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration duration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

GossipSchedule::GossipSchedule(const GossipScheduleSettings& settings, std::uint64_t seed)
    : settings_(settings), draws_(seed ^ 0x70616365ULL), balance_(static_cast<double>(settings.burst)) {}

// A jitter of 0 makes the first exchange due at once.
void GossipSchedule::begin(Time now) { begun_ = last_begun_ = balance_at_ = now, jitter_ = 0.0; }

void GossipSchedule::set_peers(std::span<const Peer> live) {
  auto at = peers_.begin();
  for (const Peer& peer : live) {
    while (at != peers_.end() && at->first < peer.id) at = peers_.erase(at);
    if (at == peers_.end() || at->first != peer.id) {
      at = peers_.emplace_hint(at, peer.id, new_peer(peer, live.size()));
    } else if (peer.incarnation > std::exchange(at->second.incarnation, peer.incarnation)) {
      at->second.restarted = prefers(live.size());
    }
    ++at;
  }
  peers_.erase(at, peers_.end());
  balance_ = std::max(balance_, -max_debt());
}

bool GossipSchedule::prefers(std::size_t members) {
  return draws_.below(std::max(members, kPreferredBy)) < kPreferredBy;
}

// A new peer that is not preferred gets a random position in the round: members that learn of a newcomer at
// the same time must not all begin an exchange with it at once.
GossipSchedule::PeerState GossipSchedule::new_peer(const Peer& peer, std::size_t live) {
  PeerState state{.incarnation = peer.incarnation, .tie_break = draws_.next()};
  if (!peers_.empty() && !prefers(live))
    state.last_exchange = std::next(peers_.begin(), static_cast<std::ptrdiff_t>(draws_.below(peers_.size())))
                              ->second.last_exchange;
  return state;
}

void GossipSchedule::spread_change(Time /*now*/) {
  unproductive_ = 0;
  spread_left_ = static_cast<std::size_t>(std::ceil(log_members()));
}

void GossipSchedule::exchange_ended(Time now, const ExchangeResult& result) {
  if (const auto peer = peers_.find(result.with); peer != peers_.end()) {
    if (result.completed) peer->second.last_exchange = now;
    peer->second.truncated = result.completed && result.truncated;
  }
  if (result.completed) truncated_ = result.truncated;
  if (!result.initiated_here) return;
  if (result.completed)
    unproductive_ = kUnproductiveRatio * result.useful < result.bytes ? unproductive_ + 1 : 0;
  balance_ = std::max(balance(now) - static_cast<double>(result.bytes), -max_debt());
  balance_at_ = now;
}

double GossipSchedule::log_members() const {
  return std::log(std::max(static_cast<double>(peers_.size() + 1), std::exp(1.0)));
}
Duration GossipSchedule::max_pause() const { return duration(seconds(settings_.max_pause) * log_members()); }
double GossipSchedule::max_debt() const {
  return static_cast<double>(settings_.bytes_per_second) * seconds(max_pause());
}

double GossipSchedule::balance(Time now) const {
  const double since = std::max(seconds(now - balance_at_), 0.0);
  return std::min(balance_ + since * static_cast<double>(settings_.bytes_per_second),
                  static_cast<double>(settings_.burst));
}

Time GossipSchedule::paid_at(Duration limit) const {
  if (balance_ >= 0.0) return last_begun_;
  const Time paid =
      balance_at_ +
      duration(-balance_ / static_cast<double>(std::max<std::size_t>(settings_.bytes_per_second, 1)));
  return std::min(paid, last_begun_ + limit);
}

// At most 10 doublings, so that the shift cannot overflow.
Duration GossipSchedule::backed_off(Duration from, Duration to) const {
  return std::min(from * (Duration::rep{1} << std::min<std::size_t>(unproductive_, 10)), std::max(from, to));
}

Time GossipSchedule::next(bool returning) const {
  if (begun_ == Time::max() || peers_.empty()) return Time::max();
  const auto after = [this](Duration mean) { return last_begun_ + duration(jitter_ * seconds(mean)); };
  const bool pressed = spread_left_ > 0 || truncated_;
  const Time urgent = after(settings_.urgent_interval);
  if (returning || in_startup(urgent))
    return pressed ? urgent : after(backed_off(settings_.urgent_interval, settings_.interval));
  if (pressed)
    return std::max(urgent, paid_at(spread_left_ > 0 ? settings_.max_pause_spreading : max_pause()));
  return std::max(after(backed_off(settings_.interval, settings_.max_idle_interval)), paid_at(max_pause()));
}

std::optional<MemberId> GossipSchedule::due(Time now, bool returning, bool has_capacity) {
  if (now < next(returning)) return std::nullopt;
  last_begun_ = now;
  jitter_ = 0.75 + 0.5 * static_cast<double>(draws_.next() >> 11U) * 0x1.0p-53;
  if (!has_capacity) return std::nullopt;
  const std::optional<MemberId> with = select();
  if (!with) return with;
  PeerState& peer = peers_.at(*with);
  peer.last_exchange = now;  // whatever the outcome: a peer that does not answer is not selected repeatedly
  peer.tie_break = draws_.next();
  peer.restarted = peer.truncated = false;
  if (spread_left_ > 0) --spread_left_;
  truncated_ = false;
  return with;
}

std::optional<MemberId> GossipSchedule::select() const {
  const auto order = [](const PeerState& p) {
    return std::tuple(!p.restarted, !p.truncated, p.last_exchange, p.tie_break);
  };
  const auto first = std::min_element(peers_.begin(), peers_.end(), [&](const auto& a, const auto& b) {
    return order(a.second) < order(b.second);
  });
  if (first == peers_.end()) return std::nullopt;
  return first->first;
}

void GossipSchedule::check() const {
  if (balance_ > static_cast<double>(settings_.burst))
    throw std::logic_error("gossip schedule: balance above the burst");
  if (balance_ < -max_debt())
    throw std::logic_error("gossip schedule: debt above what the longest pause pays");
  if (static_cast<double>(spread_left_) > std::ceil(std::log(1.0e6)))
    throw std::logic_error("gossip schedule: more exchanges to spread a change than needed");
}

}  // namespace reeltack::fleet::gossip_schedule
