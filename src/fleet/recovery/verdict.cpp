// The verdict on an office as a function of the whole set of evidence; see the header for the order.
//
// Owns: nothing. Must never: change what is known.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "fleet/recovery/offices.h"
#include "fleet/recovery/sight.h"

namespace reeltack::fleet::recovery {

double trust(std::optional<Duration> age, Duration half_life) {
  if (!age || *age < Duration{} || half_life <= Duration{}) return 0.0;
  return std::exp2(-static_cast<double>(age->count()) / static_cast<double>(half_life.count()));
}

Office Offices::life(const Known& known) {
  const auto better = [](const Line& l) { return l.evidence.rank <= Rank::own; };
  Time last = Time::min();
  for (const Line& l : known.lines)
    if (better(l)) last = std::max(last, of(l.as_of));
  for (const Ended& e : known.ended) last = std::max(last, e.as_of);
  // What the store was told after the last sight by anybody else: that sight is of the life before.
  const auto named = [&](const Line& l) {
    return better(l) || (l.evidence.rank == Rank::stored && of(l.as_of) > last);
  };
  const bool any = !known.ended.empty() || std::any_of(known.lines.begin(), known.lines.end(), better);
  using Order = std::tuple<std::uint64_t, int, ListId, Time, Office>;
  std::optional<Order> best;
  const auto offer = [&](const Order& order) { best = best ? std::max(*best, order) : order; };
  for (const Line& l : known.lines)
    if (const Evidence& e = l.evidence; !any || named(l))
      offer({e.office.start, -static_cast<int>(e.rank), e.list, of(l.as_of), e.office});
  for (const Ended& e : known.ended) offer({e.office.start, 0, e.list, e.as_of, e.office});
  return best ? std::get<Office>(*best) : Office{};
}

Offices::Decided Offices::decide(const Known& known) const {
  Decided decided{
      .office = life(known), .verdict = Verdict::trial, .rank = Rank::stored, .state = OfficeState::silent};
  for (const Line& l : known.lines)
    if (l.evidence.rank == Rank::stored) decided.kept = std::max(decided.kept, of(l.as_of));
  const auto decide = [&](Verdict verdict, Rank rank, OfficeState seen, const char* reason,
                          const Line* by = nullptr) {
    if (by != nullptr) decided.as_of = by->as_of;
    if (by != nullptr && rank != Rank::stored) decided.source = by->evidence.source;
    decided.verdict = verdict;
    decided.rank = rank;
    decided.state = seen;
    decided.reason = reason;
    return decided;
  };
  const Office office = decided.office;
  for (const Ended& e : known.ended)
    if (e.office.start == office.start && e.office.at == office.at)
      return decide(Verdict::barred, Rank::listed, e.state, "a list calls it ended");
  const Line* told = nullptr;
  const Line* kept = nullptr;
  std::vector<const Line*> ups;
  std::vector<const Line*> downs;
  const auto younger = [&](const Line* a, const Line* b) {
    return b == nullptr || std::tuple(of(a->as_of), worse(a->evidence.state), a->evidence.source) >
                               std::tuple(of(b->as_of), worse(b->evidence.state), b->evidence.source);
  };
  for (const Line& l : known.lines) {
    const Evidence& e = l.evidence;
    if (e.office.start != office.start || e.office.at != office.at) continue;
    if (const Part part = part_of(e); part == Part::eyes) {
      (up(e.state) ? ups : downs).push_back(&l);
    } else if (part == Part::store) {
      if (younger(&l, kept)) kept = &l;
    } else if (!over(e.state) &&
               (told == nullptr || std::tuple(e.list, worse(e.state)) >
                                       std::tuple(told->evidence.list, worse(told->evidence.state)))) {
      told = &l;
    }
  }
  if (told != nullptr)
    return told->evidence.state == OfficeState::ready
               ? decide(Verdict::trusted, Rank::listed, OfficeState::ready, "a live list names it", told)
               : decide(Verdict::barred, Rank::listed, OfficeState::absent, "the list does not name it",
                        told);
  const auto stands = [&](const Line* answer) {
    return std::all_of(downs.begin(), downs.end(), [&](const Line* down) {
      const bool ranked = answer->evidence.rank <= down->evidence.rank;
      const Duration grace = ranked ? settings_.answer_grace : Duration{};
      return of(answer->as_of) >= of(down->as_of) - (down->as_of ? grace : Duration{});
    });
  };
  const auto strong = [&](const Line* a, const Line* b) {
    if (b == nullptr || a->evidence.rank != b->evidence.rank)
      return b == nullptr || a->evidence.rank < b->evidence.rank;
    return younger(a, b);
  };
  const Line* answer = nullptr;
  for (const Line* l : ups)
    if (stands(l) && strong(l, answer)) answer = l;
  if (answer != nullptr)
    return decide(Verdict::trusted, answer->evidence.rank, answer->evidence.state, "seen up", answer);
  const Line* down = nullptr;
  for (const Line* l : downs)
    if (younger(l, down)) down = l;
  if (down != nullptr)
    return decide(Verdict::trial, down->evidence.rank, down->evidence.state, "it refused or was silent",
                  down);
  if (kept == nullptr)
    return decide(Verdict::trial, Rank::stored, OfficeState::silent, "of this life nothing is known");
  const OfficeState seen = kept->evidence.state;
  if (!up(seen) && seen != OfficeState::refused && seen != OfficeState::silent)
    return decide(Verdict::barred, Rank::stored, seen, "kept as ended", kept);
  decided.ages = true;
  return decide(Verdict::trial, Rank::stored, seen, "kept too long ago, or as down", kept);
}

OfficeAssessment Offices::judge(Time now, const Known& known) const {
  if (!known.decided) known.decided = decide(known);
  const Decided& d = *known.decided;
  OfficeAssessment judged{.office = d.office, .verdict = d.verdict, .rank = d.rank, .state = d.state};
  judged.reason = d.reason;
  judged.source = d.source;
  if (d.as_of) judged.age = now - *d.as_of;
  if (d.ages) {
    judged.trust = up(d.state) ? std::min(trust(judged.age, settings_.half_life_state), 1.0) : 0.0;
    const bool listed = trust(judged.age, settings_.half_life_list) >= settings_.trust_threshold;
    if (listed && judged.trust >= settings_.trust_threshold) {
      judged.verdict = Verdict::trusted;
      judged.reason = "kept as up not long ago";
    }
  }
  warmth(now, known, d.kept, judged);
  return judged;
}

void Offices::warmth(Time now, const Known& known, Time kept, OfficeAssessment& judged) const {
  const bool named = judged.office.start == known.first_start && known.first;
  if (named)
    judged.uptime = std::max(now - std::min(*known.first, known.born.value_or(*known.first)), Duration{});
  if (settings_.ramp <= Duration{}) return;
  if (judged.rank == Rank::stored) {
    const auto age = kept == Time::min() ? std::nullopt : std::optional(now - kept);
    judged.cold = trust(age, settings_.half_life_warm) < settings_.trust_threshold;
    if (judged.cold) judged.uptime = {};
    if (judged.cold || !named) return;
  }
  const bool began = known.born || known.oldest_start < judged.office.start;
  judged.cold = began && judged.uptime < settings_.ramp;
}

OfficeAssessment Offices::judge(Time now, ServerId office) const {
  const auto at = known_.find(office);
  if (at != known_.end()) return judge(now, at->second);
  OfficeAssessment none;
  none.office.id = office;
  none.rank = Rank::stored;
  none.reason = "never heard of";
  return none;
}
std::vector<OfficeAssessment> Offices::all(Time now) const {
  std::vector<OfficeAssessment> all;
  all.reserve(known_.size());
  for (const auto& [id, known] : known_) all.push_back(judge(now, known));
  return all;
}

Time Offices::next(Time now) const {
  Time next = Time::max();
  for (const auto& [id, known] : known_) {
    if (!known.next || *known.next <= now) known.next = this->next(now, known);
    next = std::min(next, *known.next);
  }
  return next;
}

// Every moment at which an age passes a bound of the verdict or of the warmth.
Time Offices::next(Time now, const Known& known) const {
  Time next = Time::max();
  const auto offer = [&](Time at) {
    if (at > now) next = std::min(next, at);
  };
  const double halves = -std::log2(std::clamp(settings_.trust_threshold, 1.0e-9, 1.0));
  const auto after = [&](Duration half_life) {
    return Duration(static_cast<Duration::rep>(halves * static_cast<double>(half_life.count()))) +
           Duration(1);
  };
  for (const Line& l : known.lines) {
    if (!l.as_of || part_of(l.evidence) != Part::store) continue;
    for (const Duration half :
         {settings_.half_life_state, settings_.half_life_list, settings_.half_life_warm})
      offer(*l.as_of + after(half));
  }
  if (settings_.ramp <= Duration{}) return next;
  if (known.first) offer(*known.first + settings_.ramp);
  if (known.born) offer(*known.born + settings_.ramp);
  return next;
}

}  // namespace reeltack::fleet::recovery
