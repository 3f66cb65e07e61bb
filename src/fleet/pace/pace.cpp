#include "fleet/pace/pace.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace reeltack::fleet::pace {
namespace {

constexpr std::size_t kLittle = 8;  // an eighth of the bytes
double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration duration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

Pace::Pace(const GossipScheduleSettings& settings, std::uint64_t seed)
    : settings_(settings), draws_(seed ^ 0x70616365ULL), bytes_(static_cast<double>(settings.burst)) {}

void Pace::begin(Time now) { begun_ = last_ = filled_ = now, part_ = 0.0; }

void Pace::partners(std::span<const Partner> live) {
  auto at = partners_.begin();
  for (const Partner& partner : live) {
    while (at != partners_.end() && at->first < partner.id) at = partners_.erase(at);
    if (at == partners_.end() || at->first != partner.id) {
      at = partners_.emplace_hint(at, partner.id, fresh(partner, live.size()));
    } else if (partner.incarnation > std::exchange(at->second.incarnation, partner.incarnation)) {
      at->second.anew = few(live.size());
    }
    ++at;
  }
  partners_.erase(at, partners_.end());
  bytes_ = std::max(bytes_, -owed_most());
}

bool Pace::few(std::size_t of) { return draws_.below(std::max(of, kFan)) < kFan; }

// At a place in the round by lot: all who hear of a newcomer at once must not talk to it at once.
Pace::Known Pace::fresh(const Partner& partner, std::size_t live) {
  Known known{.incarnation = partner.incarnation, .lot = draws_.next()};
  if (!partners_.empty() && !few(live))
    known.talked = std::next(partners_.begin(), static_cast<std::ptrdiff_t>(draws_.below(partners_.size())))
                       ->second.talked;
  return known;
}

void Pace::changed(Time /*now*/) {
  barren_ = 0;
  telling_ = static_cast<std::size_t>(std::ceil(log()));
}

void Pace::ended(Time now, const Ended& what) {
  if (const auto with = partners_.find(what.with); with != partners_.end()) {
    if (what.well) with->second.talked = now;
    with->second.left = what.well && what.left;
  }
  if (what.well) left_ = what.left;
  if (!what.ours) return;
  if (what.well) barren_ = kLittle * what.useful < what.bytes ? barren_ + 1 : 0;
  bytes_ = std::max(full(now) - static_cast<double>(what.bytes), -owed_most());
  filled_ = now;
}

double Pace::log() const {
  return std::log(std::max(static_cast<double>(partners_.size() + 1), std::exp(1.0)));
}
Duration Pace::longest() const { return duration(seconds(settings_.longest) * log()); }
double Pace::owed_most() const { return static_cast<double>(settings_.bytes) * seconds(longest()); }

double Pace::full(Time now) const {
  const double since = std::max(seconds(now - filled_), 0.0);
  return std::min(bytes_ + since * static_cast<double>(settings_.bytes),
                  static_cast<double>(settings_.burst));
}

Time Pace::paid(Duration longest) const {
  if (bytes_ >= 0.0) return last_;
  const Time paid =
      filled_ + duration(-bytes_ / static_cast<double>(std::max<std::size_t>(settings_.bytes, 1)));
  return std::min(paid, last_ + longest);
}

Duration Pace::grown(Duration from, Duration to) const {
  return std::min(from * (Duration::rep{1} << std::min<std::size_t>(barren_, 10)), std::max(from, to));
}

Time Pace::next(bool returning) const {
  if (begun_ == Time::max() || partners_.empty()) return Time::max();
  const auto after = [this](Duration mean) { return last_ + duration(part_ * seconds(mean)); };
  const bool pressed = telling_ > 0 || left_;
  const Time urgent = after(settings_.urgent);
  if (returning || young(urgent)) return pressed ? urgent : after(grown(settings_.urgent, settings_.every));
  if (pressed) return std::max(urgent, paid(telling_ > 0 ? settings_.longest_telling : longest()));
  return std::max(after(grown(settings_.every, settings_.idlest)), paid(longest()));
}

std::optional<MemberId> Pace::due(Time now, bool returning, bool room) {
  if (now < next(returning)) return std::nullopt;
  last_ = now;
  part_ = 0.75 + 0.5 * static_cast<double>(draws_.next() >> 11U) * 0x1.0p-53;
  if (!room) return std::nullopt;
  const std::optional<MemberId> with = whom();
  if (!with) return with;
  Known& known = partners_.at(*with);
  known.talked = now;  // whatever comes of it: who does not answer must not be asked again and again
  known.lot = draws_.next();
  known.anew = known.left = false;
  if (telling_ > 0) --telling_;
  left_ = false;
  return with;
}

std::optional<MemberId> Pace::whom() const {
  const auto order = [](const Known& k) { return std::tuple(!k.anew, !k.left, k.talked, k.lot); };
  const auto first = std::min_element(partners_.begin(), partners_.end(), [&](const auto& a, const auto& b) {
    return order(a.second) < order(b.second);
  });
  if (first == partners_.end()) return std::nullopt;
  return first->first;
}

void Pace::check() const {
  if (bytes_ > static_cast<double>(settings_.burst))
    throw std::logic_error("pace: more saved than the burst");
  if (bytes_ < -owed_most()) throw std::logic_error("pace: more owed than the longest pause pays");
  if (static_cast<double>(telling_) > std::ceil(std::log(1.0e6)))
    throw std::logic_error("pace: more to tell than a rumour needs");
}

}  // namespace reeltack::fleet::pace
