// The verdict on an office as a function of its complete set of evidence; offices.h gives the order of rank.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "fleet/recovery/evidence_order.h"
#include "fleet/recovery/offices.h"

namespace reeltack::fleet::recovery {

double confidence(std::optional<Duration> age, Duration half_life) {
  if (!age || *age < Duration{} || half_life <= Duration{}) return 0.0;
  return std::exp2(-static_cast<double>(age->count()) / static_cast<double>(half_life.count()));
}

Office OfficeEvidence::current_instance(const OfficeRecord& record, const OwnList::Entry* own) const {
  // Listed, or observed by a survivor or by this process: where there is such evidence, no peer's counts.
  const auto is_direct = [](const Entry& entry) { return entry.evidence.rank <= Rank::own; };
  Time last = Time::min();
  for (const Entry& entry : record.entries)
    if (is_direct(entry)) last = std::max(last, or_earliest(entry.observed_at));
  for (const EndedInstance& e : record.ended) last = std::max(last, e.observed_at);
  // A stored instance younger than every direct observation counts: those are of an earlier instance.
  const auto eligible = [&](const Entry& entry) {
    return is_direct(entry) || (entry.evidence.rank == Rank::stored && or_earliest(entry.observed_at) > last);
  };
  const bool any_direct =
      !record.ended.empty() || std::any_of(record.entries.begin(), record.entries.end(), is_direct);
  using Order = std::tuple<std::uint64_t, int, ListId, Time, Office>;
  std::optional<Order> best;
  const auto offer = [&](const Order& order) { best = best ? std::max(*best, order) : order; };
  for (const Entry& entry : record.entries)
    if (const Evidence& e = entry.evidence; !any_direct || eligible(entry))
      offer({e.office.start, -static_cast<int>(e.rank), e.list, or_earliest(entry.observed_at), e.office});
  for (const EndedInstance& e : record.ended) offer({e.office.start, 0, e.list, e.observed_at, e.office});
  const Office reported = best ? std::get<Office>(*best) : Office{};
  if (own == nullptr) return reported;
  const bool elsewhere = reported.at != own->office.at;
  const bool later = best && reported.start > own->office.start;
  return !later || (elsewhere && own->office.start == 0) ? own->office : reported;
}

// What the own list decides against all evidence; nothing: the evidence decides.
std::optional<OfficeEvidence::Decision> OfficeEvidence::decide_by_own_list(const Office& office,
                                                                           const OwnList::Entry* own) const {
  if (!limited_by_own_list_) return std::nullopt;
  Decision barred;
  barred.office = office;
  barred.verdict = Verdict::barred;
  barred.rank = Rank::listed;
  barred.state = OfficeState::absent;
  if (own == nullptr) {
    barred.reason = "not in the own list";
  } else if (own->state != OfficeState::ready) {
    barred.state = own->state;
    barred.reason = "the own list reports it ended";
  } else if (own->office.at != office.at) {
    barred.reason = "started again at an address that the own list does not have";
  } else {
    return std::nullopt;
  }
  return barred;
}

OfficeEvidence::Decision OfficeEvidence::decide(const OfficeRecord& record) const {
  const OwnList::Entry* own = limited_by_own_list_ ? own_list_.find(record.id) : nullptr;
  Decision decided{.office = current_instance(record, own),
                   .verdict = Verdict::trial,
                   .rank = Rank::stored,
                   .state = OfficeState::silent};
  for (const Entry& entry : record.entries)
    if (entry.evidence.rank == Rank::stored)
      decided.stored_at = std::max(decided.stored_at, or_earliest(entry.observed_at));
  const auto conclude = [&](Verdict verdict, Rank rank, OfficeState state, const char* reason,
                            const Entry* by = nullptr) {
    if (by != nullptr) decided.observed_at = by->observed_at;
    if (by != nullptr && rank != Rank::stored) decided.source = by->evidence.source;
    decided.verdict = verdict;
    decided.rank = rank;
    decided.state = state;
    decided.reason = reason;
    return decided;
  };
  const Office office = decided.office;
  for (const EndedInstance& e : record.ended)
    if (e.office.start == office.start && e.office.at == office.at)
      return conclude(Verdict::barred, Rank::listed, e.state, "a list reports it ended");
  if (std::optional<Decision> barred = decide_by_own_list(office, own)) {
    barred->stored_at = decided.stored_at;
    return *barred;
  }
  const Entry* listed = nullptr;
  const Entry* stored = nullptr;
  std::vector<const Entry*> ups;
  std::vector<const Entry*> downs;
  const auto younger = [&](const Entry* a, const Entry* b) {
    return b == nullptr ||
           std::tuple(or_earliest(a->observed_at), severity(a->evidence.state), a->evidence.source) >
               std::tuple(or_earliest(b->observed_at), severity(b->evidence.state), b->evidence.source);
  };
  for (const Entry& entry : record.entries) {
    const Evidence& e = entry.evidence;
    if (e.office.start != office.start || e.office.at != office.at) continue;
    if (const SourceKind kind = source_kind(e); kind == SourceKind::observation) {
      (is_up(e.state) ? ups : downs).push_back(&entry);
    } else if (kind == SourceKind::store) {
      if (younger(&entry, stored)) stored = &entry;
    } else if (!is_ended(e.state) &&
               (listed == nullptr ||
                std::tuple(e.list, severity(e.state)) >
                    std::tuple(listed->evidence.list, severity(listed->evidence.state)))) {
      listed = &entry;
    }
  }
  if (listed != nullptr)
    return listed->evidence.state == OfficeState::ready
               ? conclude(Verdict::trusted, Rank::listed, OfficeState::ready,
                          "listed as ready by a live list", listed)
               : conclude(Verdict::barred, Rank::listed, OfficeState::absent, "not in the current list",
                          listed);
  const auto outweighs_downs = [&](const Entry* answer) {
    return std::all_of(downs.begin(), downs.end(), [&](const Entry* down) {
      const bool ranks_as_high = answer->evidence.rank <= down->evidence.rank;
      const Duration grace = ranks_as_high ? settings_.answer_grace : Duration{};
      // An unknown time is Time::min(): the grace is not subtracted from it, as that would overflow.
      return or_earliest(answer->observed_at) >=
             or_earliest(down->observed_at) - (down->observed_at ? grace : Duration{});
    });
  };
  const auto stronger = [&](const Entry* a, const Entry* b) {
    if (b == nullptr || a->evidence.rank != b->evidence.rank)
      return b == nullptr || a->evidence.rank < b->evidence.rank;
    return younger(a, b);
  };
  const Entry* answer = nullptr;
  for (const Entry* entry : ups)
    if (outweighs_downs(entry) && stronger(entry, answer)) answer = entry;
  if (answer != nullptr)
    return conclude(Verdict::trusted, answer->evidence.rank, answer->evidence.state, "observed up", answer);
  const Entry* down = nullptr;
  for (const Entry* entry : downs)
    if (younger(entry, down)) down = entry;
  if (down != nullptr)
    return conclude(Verdict::trial, down->evidence.rank, down->evidence.state, "refused or silent", down);
  if (stored == nullptr)
    return conclude(Verdict::trial, Rank::stored, OfficeState::silent, "no evidence about this instance");
  const OfficeState state = stored->evidence.state;
  if (!is_up(state) && state != OfficeState::refused && state != OfficeState::silent)
    return conclude(Verdict::barred, Rank::stored, state, "stored as ended", stored);
  decided.decays = true;
  return conclude(Verdict::trial, Rank::stored, state, "stored too long ago, or as down", stored);
}

OfficeAssessment OfficeEvidence::assess(Time now, const OfficeRecord& record) const {
  if (!record.decision) record.decision = decide(record);
  const Decision& d = *record.decision;
  OfficeAssessment assessment{.office = d.office, .verdict = d.verdict, .rank = d.rank, .state = d.state};
  assessment.reason = d.reason;
  assessment.source = d.source;
  if (d.observed_at) assessment.age = now - *d.observed_at;
  if (d.decays) {
    assessment.confidence =
        is_up(d.state) ? std::min(confidence(assessment.age, settings_.half_life_state), 1.0) : 0.0;
    const bool address_is_current =
        confidence(assessment.age, settings_.half_life_list) >= settings_.trust_threshold;
    if (address_is_current && assessment.confidence >= settings_.trust_threshold) {
      assessment.verdict = Verdict::trusted;
      assessment.reason = "stored as up recently";
    }
  }
  assess_warmth(now, record, d.stored_at, assessment);
  return assessment;
}

// Cold until the uptime reaches the ramp. An office whose start is not known counts as warm, unless an
// earlier start of it was reported; one judged by the store alone counts as cold once the stored evidence is
// too old by half_life_warm.
void OfficeEvidence::assess_warmth(Time now, const OfficeRecord& record, Time stored_at,
                                   OfficeAssessment& assessment) const {
  const bool is_newest = assessment.office.start == record.newest_start && record.first_observed_at;
  if (is_newest)
    assessment.uptime = std::max(
        now - std::min(*record.first_observed_at, record.started_at.value_or(*record.first_observed_at)),
        Duration{});
  if (settings_.ramp <= Duration{}) return;
  if (assessment.rank == Rank::stored) {
    const auto age = stored_at == Time::min() ? std::nullopt : std::optional(now - stored_at);
    assessment.cold = confidence(age, settings_.half_life_warm) < settings_.trust_threshold;
    if (assessment.cold) assessment.uptime = {};
    if (assessment.cold || !is_newest) return;
  }
  const bool start_known = record.started_at || record.oldest_start < assessment.office.start;
  assessment.cold = start_known && assessment.uptime < settings_.ramp;
}

OfficeAssessment OfficeEvidence::assess(Time now, ServerId office) const {
  const auto at = offices_.find(office);
  if (at != offices_.end()) return assess(now, at->second);
  OfficeAssessment none;
  none.office.id = office;
  none.rank = Rank::stored;
  none.reason = "never heard of";
  return none;
}
std::vector<OfficeAssessment> OfficeEvidence::assess_all(Time now) const {
  std::vector<OfficeAssessment> all;
  all.reserve(offices_.size());
  for (const auto& [id, record] : offices_) all.push_back(assess(now, record));
  return all;
}

Time OfficeEvidence::next(Time now) const {
  Time next = Time::max();
  for (const auto& [id, record] : offices_) {
    if (!record.next_change || *record.next_change <= now) record.next_change = this->next(now, record);
    next = std::min(next, *record.next_change);
  }
  return next;
}

// The next moment at which an age passes a bound of the verdict or of the warmth.
Time OfficeEvidence::next(Time now, const OfficeRecord& record) const {
  Time next = Time::max();
  const auto offer = [&](Time at) {
    if (at > now) next = std::min(next, at);
  };
  const double half_lives = -std::log2(std::clamp(settings_.trust_threshold, 1.0e-9, 1.0));
  const auto expiry = [&](Duration half_life) {
    return Duration(static_cast<Duration::rep>(half_lives * static_cast<double>(half_life.count()))) +
           Duration(1);
  };
  for (const Entry& entry : record.entries) {
    if (!entry.observed_at || source_kind(entry.evidence) != SourceKind::store) continue;
    for (const Duration half_life :
         {settings_.half_life_state, settings_.half_life_list, settings_.half_life_warm})
      offer(*entry.observed_at + expiry(half_life));
  }
  if (settings_.ramp <= Duration{}) return next;
  if (record.first_observed_at) offer(*record.first_observed_at + settings_.ramp);
  if (record.started_at) offer(*record.started_at + settings_.ramp);
  return next;
}

}  // namespace reeltack::fleet::recovery
