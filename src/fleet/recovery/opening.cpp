// The opening's growth by pressure, and where each class stands in it.
//
// Owns: nothing beyond its class. Must never: read a clock.
#include "fleet/recovery/opening.h"

#include <algorithm>
#include <numeric>

#include "fleet/recovery/mix.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr Duration kSaidCounts = 1s;
constexpr double kBack = 0.5;
constexpr Duration kComeLeast = 50ms;
constexpr Duration kComeMost = 2s;
constexpr std::size_t kMostSaid = 2048;
double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
}  // namespace

Opening::Opening(const RecoverySettings& settings, MemberId self)
    : place_(settings.class_worth.size()),
      least_(std::max<Duration>(settings.min_opening_time, 1ms)),
      pressed_(settings.pressed),
      rank_(unit_fraction(mix(static_cast<std::uint64_t>(self)))) {
  std::vector<std::size_t> order(place_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const auto aim = [&](std::size_t c) {
    return c < settings.class_aim.size() ? settings.class_aim[c] : Duration::max();
  };
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    if (settings.class_worth[a] != settings.class_worth[b])
      return settings.class_worth[a] > settings.class_worth[b];
    return aim(a) < aim(b);
  });
  for (std::size_t i = 0; i < order.size(); ++i) place_[order[i]] = i;
}

void Opening::said(Time now, const OfficeLoad& pressure, double capacity) {
  if (!said_.contains(pressure.office) && said_.size() >= kMostSaid) return;
  said_[pressure.office] = {pressure, std::max(capacity, 1.0e-9), now};
}
void Opening::restart(Time now) {
  opening_ = 0.0;
  at_ = now;
}

double Opening::speed(Time now) const {
  double util = 0.0;
  double weight = 0.0;
  double refused = 0.0;
  double answers = 0.0;
  for (const auto& [office, said] : said_) {
    if (now - said.at >= kSaidCounts) continue;
    if (said.last.util >= 0.0) {
      util += said.last.util * said.capacity;
      weight += said.capacity;
    }
    refused += said.last.refused + said.last.failed;
    answers += static_cast<double>(said.last.established) + said.last.refused + said.last.failed;
  }
  const double most = 1.0 / seconds(least_);
  if (answers > 0.0 && refused >= kBack * answers) return -kBack * most;
  if (answers > 0.0 && refused >= (1.0 - pressed_) * answers && refused > 0.0) return 0.0;
  return weight > 0.0 && util >= pressed_ * weight ? 0.0 : most;
}

void Opening::advance(Time now, double room, double most) {
  speed_ = speed(now);
  // A process that stood still for long does not make up for it at once.
  const Duration past = at_ == Time::min() ? Duration{} : std::clamp<Duration>(now - at_, 0ns, 250ms);
  at_ = now;
  const double to = opening_ + speed_ * seconds(past);
  if (speed_ > 0.0 && to > most)
    opening_ = std::max(opening_, std::clamp(most, 0.0, 1.0));
  else
    opening_ = std::clamp(to, 0.0, 1.0);
  opening_ = std::max(opening_, std::clamp(room, 0.0, 1.0));
}

double Opening::place(std::size_t of_class) const {
  if (of_class >= place_.size() || place_[of_class] == 0) return 0.0;
  return (static_cast<double>(place_[of_class]) + rank_) / static_cast<double>(place_.size());
}
bool Opening::open(std::size_t of_class) const { return opening_ >= place(of_class); }
bool Opening::whole() const {
  for (std::size_t c = 0; c < place_.size(); ++c)
    if (!open(c)) return false;
  return true;
}

// While the opening does not grow, as if it grew with a quarter of its speed.
Duration Opening::come_back(std::size_t of_class) const {
  const double most = 1.0 / seconds(least_);
  const double left = std::max(place(of_class) - opening_, 0.0) / (speed_ > 0.0 ? speed_ : most / 4.0);
  const double spread = 0.75 + 0.5 * rank_;
  const auto wait = std::chrono::duration<double>(std::min(left * spread, seconds(kComeMost)));
  return std::clamp<Duration>(std::chrono::duration_cast<std::chrono::milliseconds>(wait), kComeLeast,
                              kComeMost);
}

std::uint64_t Opening::fingerprint(Time now) const {
  Hash hash;
  hash.add(opening_).add(speed(now)).since(std::max(at_, now - Duration(250ms)), now);
  for (const auto& [office, said] : said_)
    if (now - said.at < kSaidCounts) hash.add(static_cast<std::uint64_t>(office)).since(said.at, now);
  return hash.value();
}

}  // namespace reeltack::fleet::recovery
