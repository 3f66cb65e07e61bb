#include "fleet/drift/views.h"

#include <algorithm>

namespace reeltack::fleet::drift {
namespace {

constexpr std::size_t kMostChanges = 64;

}  // namespace

const char* name_of(View view) {
  constexpr const char* kNames[] = {"unknown", "unreachable", "stale",  "ahead",    "adopting",
                                    "pending", "in_step",     "behind", "diverged", "flapping"};
  return kNames[static_cast<int>(view)];
}

void Seen::said(Time now, const Word& word, Duration age) {
  // Facts come in the order in which their owner wrote them; by its age alone an older one may look younger.
  const bool other = !word_ || word_->by != word.by || word_->governed != word.governed;
  if (other) changed_at_ = now;
  // A change of what governs changes the digest as well: that is adopting, not flapping.
  if (word_ && word_->by == word.by && word_->governed != word.governed) {
    changes_.push_back(now);
    if (changes_.size() > kMostChanges) changes_.pop_front();
  }
  word_ = word;
  word_at_ = now - age;
}

void Seen::started(Time now) { started_at_ = now; }
void Seen::lives(Time now, bool alive) {
  if (alive && !alive_) started_at_ = now;  // seen anew: what it says now may be on its way
  alive_ = alive;
}

View Seen::view(Time now, const ViewSettings& settings, const Name& by, rules::Digest wanted, Time since,
                Duration stale) const {
  if (!alive_) return View::unreachable;
  if (!word_) return View::unknown;
  if (now - word_at_ > stale) return View::stale;
  const auto recent = std::count_if(changes_.begin(), changes_.end(),
                                    [&](Time at) { return now - at < settings.flap_window; });
  if (static_cast<std::size_t>(recent) >= settings.flaps) return View::flapping;
  if (word_->by.epoch > by.epoch) return View::ahead;
  if (word_->by == by && word_->governed == wanted) return View::in_step;
  if (word_->by == by && word_->pending) return View::pending;
  const Time from = std::max({since, changed_at_, started_at_});
  const bool older = word_->by.epoch < by.epoch;
  if (from != Time::min() && now - from < (older ? settings.spread : settings.grace)) return View::adopting;
  return older ? View::behind : View::diverged;
}

bool Seen::alarm(Time now, const ViewSettings& settings, View view) {
  // Of one that is not heard nothing is known: what stood stands.
  if (view == View::unreachable || view == View::stale || view == View::unknown) return false;
  if (alarms(view)) {
    good_since_.reset();
    if (!bad_since_) bad_since_ = now;
    if (alarmed_ || now - *bad_since_ < settings.confirm) return false;
    return alarmed_ = true;
  }
  bad_since_.reset();
  if (!good_since_) good_since_ = now;
  if (!alarmed_ || now - *good_since_ < settings.clear) return false;
  alarmed_ = false;
  return true;
}

rules::Severity Seen::worst() const {
  rules::Severity out = rules::Severity::notice;
  if (!word_) return out;
  for (const rules::Difference& d : word_->named) out = std::max(out, rules::severity_of(d.key, d.actual));
  return out;
}

}  // namespace reeltack::fleet::drift
