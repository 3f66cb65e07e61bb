#include "fleet/recovery/opening.h"

#include <algorithm>
#include <numeric>

#include "fleet/recovery/mix.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr Duration kReportValidity = 1s;
// Share of refusals from which the opening shrinks, and the speed at which it does, relative to its growth.
constexpr double kShrink = 0.5;
constexpr Duration kMinRetryAfter = 50ms;
constexpr Duration kMaxRetryAfter = 2s;
constexpr std::size_t kMaxReports = 2048;
double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
}  // namespace

Opening::Opening(const RecoverySettings& settings, MemberId self)
    : position_(settings.class_worth.size()),
      min_opening_time_(std::max<Duration>(settings.min_opening_time, 1ms)),
      saturation_(settings.saturation),
      stagger_(unit_fraction(mix(static_cast<std::uint64_t>(self)))) {
  std::vector<std::size_t> order(position_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const auto aim = [&](std::size_t c) {
    return c < settings.class_aim.size() ? settings.class_aim[c] : Duration::max();
  };
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    if (settings.class_worth[a] != settings.class_worth[b])
      return settings.class_worth[a] > settings.class_worth[b];
    return aim(a) < aim(b);
  });
  for (std::size_t i = 0; i < order.size(); ++i) position_[order[i]] = i;
}

void Opening::report(Time now, const OfficeLoad& load, double capacity) {
  if (!reports_.contains(load.office) && reports_.size() >= kMaxReports) return;
  reports_[load.office] = {load, std::max(capacity, 1.0e-9), now};
}
void Opening::restart(Time now) {
  opening_ = 0.0;
  advanced_at_ = now;
}

double Opening::speed(Time now) const {
  double util = 0.0;
  double weight = 0.0;
  double refused = 0.0;
  double answers = 0.0;
  for (const auto& [office, entry] : reports_) {
    if (now - entry.at >= kReportValidity) continue;
    if (entry.load.util >= 0.0) {
      util += entry.load.util * entry.capacity;
      weight += entry.capacity;
    }
    refused += entry.load.refused + entry.load.failed;
    answers += static_cast<double>(entry.load.established) + entry.load.refused + entry.load.failed;
  }
  const double growth = 1.0 / seconds(min_opening_time_);
  if (answers > 0.0 && refused >= kShrink * answers) return -kShrink * growth;
  if (answers > 0.0 && refused >= (1.0 - saturation_) * answers && refused > 0.0) return 0.0;
  return weight > 0.0 && util >= saturation_ * weight ? 0.0 : growth;
}

void Opening::advance(Time now, double min, double max) {
  speed_ = speed(now);
  // A process that was suspended does not catch up at once.
  const Duration elapsed =
      advanced_at_ == Time::min() ? Duration{} : std::clamp<Duration>(now - advanced_at_, 0ns, 250ms);
  advanced_at_ = now;
  const double next = opening_ + speed_ * seconds(elapsed);
  if (speed_ > 0.0 && next > max)
    opening_ = std::max(opening_, std::clamp(max, 0.0, 1.0));
  else
    opening_ = std::clamp(next, 0.0, 1.0);
  opening_ = std::max(opening_, std::clamp(min, 0.0, 1.0));
}

double Opening::threshold(std::size_t of_class) const {
  if (of_class >= position_.size() || position_[of_class] == 0) return 0.0;
  return (static_cast<double>(position_[of_class]) + stagger_) / static_cast<double>(position_.size());
}
bool Opening::is_open(std::size_t of_class) const { return opening_ >= threshold(of_class); }
bool Opening::fully_open() const {
  for (std::size_t c = 0; c < position_.size(); ++c)
    if (!is_open(c)) return false;
  return true;
}

// While the opening does not grow, the estimate assumes a quarter of its growth.
Duration Opening::retry_after(std::size_t of_class) const {
  const double growth = 1.0 / seconds(min_opening_time_);
  const double left = std::max(threshold(of_class) - opening_, 0.0) / (speed_ > 0.0 ? speed_ : growth / 4.0);
  const double spread = 0.75 + 0.5 * stagger_;
  const auto wait = std::chrono::duration<double>(std::min(left * spread, seconds(kMaxRetryAfter)));
  return std::clamp<Duration>(std::chrono::duration_cast<std::chrono::milliseconds>(wait), kMinRetryAfter,
                              kMaxRetryAfter);
}

std::uint64_t Opening::fingerprint(Time now) const {
  Hash hash;
  hash.add(opening_).add(speed(now)).add_elapsed(std::max(advanced_at_, now - Duration(250ms)), now);
  for (const auto& [office, entry] : reports_)
    if (now - entry.at < kReportValidity)
      hash.add(static_cast<std::uint64_t>(office)).add_elapsed(entry.at, now);
  return hash.value();
}

}  // namespace reeltack::fleet::recovery
