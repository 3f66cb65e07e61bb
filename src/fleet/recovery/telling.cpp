// What recovery says to its own process: terms to the module, notes to the log. To the members:
// publishing.cpp.
//
// Owns: nothing beyond its class. Must never: let an office that a list calls ended or absent be used.
#include <algorithm>
#include <cmath>

#include "fleet/recovery/mix.h"
#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t kMostNotes = 64;
constexpr Duration kComeChange = 100ms;
bool about(double a, double b) { return a == b || (a > 0.0 && std::abs(a - b) < 0.05 * a); }
bool alike(const Terms& a, const Terms& b) {
  if (a.offices.size() != b.offices.size() || a.closed.size() != b.closed.size()) return false;
  for (std::size_t i = 0; i < a.offices.size(); ++i) {
    const Terms::Line& x = a.offices[i];
    const Terms::Line& y = b.offices[i];
    if (x.office != y.office || x.verdict != y.verdict || x.ours != y.ours) return false;
    if (!about(x.max_rate, y.max_rate)) return false;
  }
  for (std::size_t c = 0; c < a.closed.size(); ++c) {
    if (a.closed[c].has_value() != b.closed[c].has_value()) return false;
    if (a.closed[c] && std::chrono::abs(*a.closed[c] - *b.closed[c]) >= kComeChange) return false;
  }
  return true;
}
// An office's verdict in words, for the log.
std::string words(const OfficeAssessment& j, Verdict verdict, std::optional<Verdict> before) {
  static constexpr const char* kVerdicts[] = {"barred", "trial", "trusted"};
  static constexpr const char* kRanks[] = {"told", "survivor", "own", "peer", "kept"};
  static constexpr const char* kSeen[] = {"ready",   "answered", "draining", "gone",
                                          "refused", "silent",   "absent"};
  std::string text = "office=" + std::to_string(static_cast<std::uint32_t>(j.office.id));
  text += std::string(" verdict=") + kVerdicts[static_cast<std::size_t>(verdict)];
  if (before) text += std::string(" was=") + kVerdicts[static_cast<std::size_t>(*before)];
  text += std::string(" rank=") + kRanks[static_cast<std::size_t>(j.rank)];
  text += std::string(" seen=") + kSeen[static_cast<std::size_t>(j.state)];
  if (j.age)
    text +=
        " age_ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*j.age).count());
  return text + " cold=" + (j.cold ? "1" : "0") + " reason=\"" + j.reason + "\"";
}
}  // namespace

Verdict Recovery::allowed(const OfficeAssessment& judged) const {
  const bool eyes = judged.rank != Rank::listed && judged.rank != Rank::stored;
  return stage_ == Stage::full && !recovering_ && eyes ? Verdict::trusted : judged.verdict;
}

bool Recovery::bounded(const OfficeAssessment& judged) const {
  return judged.cold && settings_.fall_span > Duration{} && settings_.fall_multiple > 0.0;
}

double Recovery::allowance(const OfficeAssessment& judged) const {
  const double age =
      static_cast<double>(judged.uptime.count()) / std::max(static_cast<double>(settings_.ramp.count()), 1.0);
  const double warm = settings_.cold_from + (1.0 - settings_.cold_from) * std::clamp(age, 0.0, 1.0) * 0.5;
  return settings_.cold_part * settings_.fall_multiple * warm;
}

// Of an office that was never seen warm: what those of like size carry.
double Recovery::warm_rate(const OfficeAssessment& judged) const {
  const auto peak = peaks_.find(judged.office.id);
  if (peak != peaks_.end() && peak->second.a_second > 0.0) return peak->second.a_second;
  double rate = 0.0;
  double capacity = 0.0;
  for (const OfficeAssessment& other : judged_) {
    const auto known = peaks_.find(other.office.id);
    if (known == peaks_.end() || known->second.a_second <= 0.0) continue;
    rate += known->second.a_second;
    capacity += other.office.capacity;
  }
  return capacity > 0.0 ? rate / capacity * judged.office.capacity : 0.0;
}

double Recovery::max_rate(Time now, const OfficeAssessment& judged) const {
  if (!linked_ || !bounded(judged)) return -1.0;
  const double warm = warm_rate(judged);
  return warm > 0.0 ? leases_.share(now).part * allowance(judged) * warm : -1.0;
}

Terms Recovery::terms(Time now) const {
  Terms terms;
  bool usable = judged_.empty();
  for (const OfficeAssessment& judged : judged_) {
    Terms::Line line{judged.office, allowed(judged), false, max_rate(now, judged)};
    line.ours = line.verdict == Verdict::trial && trials_.ours(now, judged, live_, self_);
    usable |= line.verdict == Verdict::trusted || line.ours;
    terms.offices.push_back(line);
  }
  terms.closed.resize(settings_.class_worth.size());
  if (stage_ == Stage::full) return terms;
  for (std::size_t c = 0; c < terms.closed.size(); ++c)
    if (!opening_.open(c) || !usable) terms.closed[c] = opening_.come_back(c);
  return terms;
}

// Without a fleet and without a store nothing is said: the module decides as before.
void Recovery::tell_terms(Time now, Actions& actions) {
  if (stage_ == Stage::dark || (without_fleet_and_store() && !terms_)) return;
  Terms now_told = terms(now);
  if (terms_ && alike(*terms_, now_told)) return;
  for (const OfficeAssessment& judged : judged_)
    if (linked_ && bounded(judged) && warm_rate(judged) <= 0.0 && noted_.insert(judged.office.id).second)
      actions.emplace_back(Note{"office=" + std::to_string(static_cast<std::uint32_t>(judged.office.id)) +
                                " cold=1 bound=none reason=\"no warm rate is known\""});
  if (terms_) note_changes(now_told, actions);
  terms_ = now_told;
  actions.emplace_back(std::move(now_told));
}

void Recovery::note(Time now, Actions& actions) {
  const Share share = leases_.share(now);
  actions.emplace_back(
      Note{"offices=" + std::to_string(judged_.size()) + " live=" + std::to_string(live_.size()) +
           " agreed=" + std::to_string(leases_.agreed()) + " share_of=" + std::to_string(share.size) +
           " minority=" + (share.minority ? "1" : "0") + " recovering=" + (recovering_ ? "1" : "0")});
  if (!recovering_) return;
  for (std::size_t i = 0; i < std::min(judged_.size(), kMostNotes); ++i)
    actions.emplace_back(Note{words(judged_[i], judged_[i].verdict, std::nullopt)});
}

// What is told of an office otherwise than before; `told` is of judged_, in its order.
void Recovery::note_changes(const Terms& told, Actions& actions) {
  std::size_t notes = 0;
  auto had = terms_->offices.begin();
  for (std::size_t i = 0; i < told.offices.size() && notes < kMostNotes; ++i) {
    const Terms::Line& line = told.offices[i];
    while (had != terms_->offices.end() && had->office.id < line.office.id) ++had;
    if (had == terms_->offices.end()) return;
    const bool moved = had->office.at != line.office.at || had->office.start != line.office.start;
    if (had->office.id != line.office.id || (had->verdict == line.verdict && !moved)) continue;
    actions.emplace_back(Note{words(judged_[i], line.verdict, had->verdict) + (moved ? " life=other" : "")});
    ++notes;
  }
}

StageValue Recovery::stage_value(Time now) const {
  StageValue value{stage_, recovering_, {}, now - started_, leases_.agreed(), leases_.largest(), served_};
  if (stage_ == Stage::full) value.full_for = now - full_since_;
  return value;
}

}  // namespace reeltack::fleet::recovery
