// Output to this process: terms for the decision module, notes for the log. Output to the members is in
// publishing.cpp. The terms never allow an office that a list reports as ended or absent.
#include <algorithm>
#include <cmath>

#include "fleet/recovery/mix.h"
#include "fleet/recovery/recovery.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t kMaxNotes = 64;
constexpr Duration kRetryAfterTolerance = 100ms;
bool nearly_equal(double a, double b) { return a == b || (a > 0.0 && std::abs(a - b) < 0.05 * a); }
bool equivalent(const Terms& a, const Terms& b) {
  if (a.offices.size() != b.offices.size() || a.closed.size() != b.closed.size()) return false;
  for (std::size_t i = 0; i < a.offices.size(); ++i) {
    const Terms::Line& x = a.offices[i];
    const Terms::Line& y = b.offices[i];
    if (x.office != y.office || x.verdict != y.verdict || x.ours != y.ours) return false;
    if (!nearly_equal(x.max_rate, y.max_rate)) return false;
  }
  for (std::size_t c = 0; c < a.closed.size(); ++c) {
    if (a.closed[c].has_value() != b.closed[c].has_value()) return false;
    if (a.closed[c] && std::chrono::abs(*a.closed[c] - *b.closed[c]) >= kRetryAfterTolerance) return false;
  }
  return true;
}
// The log text of an office's verdict.
std::string describe(const OfficeAssessment& assessment, Verdict verdict, std::optional<Verdict> previous) {
  static constexpr const char* kVerdicts[] = {"barred", "trial", "trusted"};
  static constexpr const char* kRanks[] = {"told", "survivor", "own", "peer", "kept"};
  static constexpr const char* kStates[] = {"ready",   "answered", "draining", "gone",
                                            "refused", "silent",   "absent"};
  std::string text = "office=" + std::to_string(static_cast<std::uint32_t>(assessment.office.id));
  text += std::string(" verdict=") + kVerdicts[static_cast<std::size_t>(verdict)];
  if (previous) text += std::string(" was=") + kVerdicts[static_cast<std::size_t>(*previous)];
  text += std::string(" rank=") + kRanks[static_cast<std::size_t>(assessment.rank)];
  text += std::string(" seen=") + kStates[static_cast<std::size_t>(assessment.state)];
  if (assessment.age)
    text += " age_ms=" +
            std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*assessment.age).count());
  return text + " cold=" + (assessment.cold ? "1" : "0") + " reason=\"" + assessment.reason + "\"";
}
}  // namespace

Verdict Recovery::effective_verdict(const OfficeAssessment& assessment) const {
  const bool observed = assessment.rank != Rank::listed && assessment.rank != Rank::stored;
  return stage_ == Stage::full && !recovering_ && observed ? Verdict::trusted : assessment.verdict;
}

bool Recovery::is_rate_bounded(const OfficeAssessment& assessment) const {
  return assessment.cold && settings_.fall_span > Duration{} && settings_.fall_multiple > 0.0;
}

double Recovery::allowance(const OfficeAssessment& assessment) const {
  const double age = static_cast<double>(assessment.uptime.count()) /
                     std::max(static_cast<double>(settings_.ramp.count()), 1.0);
  const double warm = settings_.cold_from + (1.0 - settings_.cold_from) * std::clamp(age, 0.0, 1.0) * 0.5;
  return settings_.cold_fraction * settings_.fall_multiple * warm;
}

// For an office that was never observed warm: scaled by capacity from what the others carry.
double Recovery::warm_rate(const OfficeAssessment& assessment) const {
  const auto peak = peaks_.find(assessment.office.id);
  if (peak != peaks_.end() && peak->second.per_second > 0.0) return peak->second.per_second;
  double rate = 0.0;
  double capacity = 0.0;
  for (const OfficeAssessment& other : assessments_) {
    const auto known = peaks_.find(other.office.id);
    if (known == peaks_.end() || known->second.per_second <= 0.0) continue;
    rate += known->second.per_second;
    capacity += other.office.capacity;
  }
  return capacity > 0.0 ? rate / capacity * assessment.office.capacity : 0.0;
}

double Recovery::max_rate(Time now, const OfficeAssessment& assessment) const {
  if (!linked_ || !is_rate_bounded(assessment)) return -1.0;
  const double warm = warm_rate(assessment);
  return warm > 0.0 ? leases_.share(now).part * allowance(assessment) * warm : -1.0;
}

Terms Recovery::terms(Time now) const {
  Terms terms;
  bool usable = assessments_.empty();
  for (const OfficeAssessment& assessment : assessments_) {
    Terms::Line line{assessment.office, effective_verdict(assessment), false, max_rate(now, assessment)};
    line.ours = line.verdict == Verdict::trial && trials_.is_ours(now, assessment, live_, self_);
    usable |= line.verdict == Verdict::trusted || line.ours;
    terms.offices.push_back(line);
  }
  terms.closed.resize(settings_.class_worth.size());
  if (stage_ == Stage::full) return terms;
  for (std::size_t c = 0; c < terms.closed.size(); ++c)
    if (!opening_.is_open(c) || !usable) terms.closed[c] = opening_.retry_after(c);
  return terms;
}

// Without a fleet and without a store no terms are sent: the module decides as it does without recovery.
void Recovery::emit_terms(Time now, Actions& actions) {
  if (stage_ == Stage::dark || (without_fleet_and_store() && !terms_)) return;
  Terms changed = terms(now);
  if (terms_ && equivalent(*terms_, changed)) return;
  for (const OfficeAssessment& assessment : assessments_)
    if (linked_ && is_rate_bounded(assessment) && warm_rate(assessment) <= 0.0 &&
        unbounded_noted_.insert(assessment.office.id).second)
      actions.emplace_back(Note{"office=" + std::to_string(static_cast<std::uint32_t>(assessment.office.id)) +
                                " cold=1 bound=none reason=\"no warm rate is known\""});
  if (terms_) note_changes(changed, actions);
  terms_ = changed;
  actions.emplace_back(std::move(changed));
}

void Recovery::note_state(Time now, Actions& actions) {
  const Share share = leases_.share(now);
  actions.emplace_back(
      Note{"offices=" + std::to_string(assessments_.size()) + " live=" + std::to_string(live_.size()) +
           " agreed=" + std::to_string(leases_.agreed()) + " share_of=" + std::to_string(share.size) +
           " minority=" + (share.minority ? "1" : "0") + " recovering=" + (recovering_ ? "1" : "0")});
  if (!recovering_) return;
  for (std::size_t i = 0; i < std::min(assessments_.size(), kMaxNotes); ++i)
    actions.emplace_back(Note{describe(assessments_[i], assessments_[i].verdict, std::nullopt)});
}

// Logs the offices whose terms differ from those sent last. `changed` is in the order of assessments_.
void Recovery::note_changes(const Terms& changed, Actions& actions) {
  std::size_t notes = 0;
  auto previous = terms_->offices.begin();
  for (std::size_t i = 0; i < changed.offices.size() && notes < kMaxNotes; ++i) {
    const Terms::Line& line = changed.offices[i];
    while (previous != terms_->offices.end() && previous->office.id < line.office.id) ++previous;
    if (previous == terms_->offices.end()) return;
    const bool moved = previous->office.at != line.office.at || previous->office.start != line.office.start;
    if (previous->office.id != line.office.id || (previous->verdict == line.verdict && !moved)) continue;
    actions.emplace_back(
        Note{describe(assessments_[i], line.verdict, previous->verdict) + (moved ? " life=other" : "")});
    ++notes;
  }
}

StageValue Recovery::stage_value(Time now) const {
  StageValue value{stage_,           recovering_,       {},         now - started_at_,
                   leases_.agreed(), leases_.largest(), has_served_};
  if (stage_ == Stage::full) value.full_for = now - full_since_;
  return value;
}

}  // namespace reeltack::fleet::recovery
