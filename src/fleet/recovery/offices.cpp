// Evidence of offices by source, and the verdict as a function of the whole set; see the header for the
// order.
//
// Owns: the lines. Must never: remember in which order they came.
#include "fleet/recovery/offices.h"

#include <algorithm>
#include <stdexcept>
#include <tuple>

#include "fleet/recovery/mix.h"
#include "fleet/recovery/sight.h"

namespace reeltack::fleet::recovery {

namespace {
bool newer(const ListId& a, const ListId& b) {
  return std::pair(a.epoch, a.number) > std::pair(b.epoch, b.number);
}
}  // namespace

bool Offices::end(Known& known, const Line& line) const {
  const Evidence& e = line.evidence;
  if (e.office.start < known.ended_start) return false;
  for (const Line& l : known.lines)  // taken back since, as this came late
    if (const Evidence& had = l.evidence; e.office.start == 0 && had.rank == Rank::listed &&
                                          had.source == e.source && had.state == OfficeState::ready &&
                                          had.office.at == e.office.at && of(l.as_of) > of(line.as_of))
      return false;
  if (const auto back = known.back.find(e.office.at);
      e.office.start == 0 && back != known.back.end() && newer(back->second, e.list))
    return false;
  if (e.office.start > known.ended_start) known.ended.clear();
  known.ended_start = e.office.start;
  for (Ended& had : known.ended) {
    if (had.office.at != e.office.at) continue;
    // Of several who called it so the highest name holds it, whoever was first.
    const bool changed = worse(e.state) > worse(had.state);
    if (changed) had.state = e.state;
    had.office = std::max(had.office, e.office);
    had.list = std::max(had.list, e.list);
    had.by = std::max(had.by, e.source);
    had.as_of = std::max(had.as_of, of(line.as_of));
    if (e.office.start == 0 && had.callers.size() < settings_.max_sources) had.callers.insert(e.source);
    return changed;
  }
  if (known.ended.size() >= settings_.max_sources) return false;
  known.ended.push_back({e.office, e.state, e.source, of(line.as_of), e.list, {e.source}});
  std::sort(known.ended.begin(), known.ended.end(),
            [](const Ended& a, const Ended& b) { return a.office.at < b.office.at; });
  return true;
}

// One live list that tells it again, where it called it ended before: of the same list the highest name alone
// takes it back, by a newer one any of them. True: it is no longer ended.
bool Offices::take_back(Known& known, const Line& line) const {
  const Evidence& e = line.evidence;
  return std::erase_if(known.ended, [&](const Ended& had) {
           if (had.office.at != e.office.at) return false;
           const bool for_all = had.callers.contains(e.source) && newer(e.list, had.list);
           if (for_all && known.back.size() < settings_.max_sources) known.back[e.office.at] = e.list;
           return for_all || (had.by == e.source && had.as_of < of(line.as_of));
         }) > 0;
}

bool Offices::saw(Time now, const Evidence& evidence) {
  const bool is_new = !known_.contains(evidence.office.id);
  if (is_new && known_.size() >= settings_.most_offices) return false;
  Known& known = known_[evidence.office.id];
  Line line{evidence, std::nullopt};
  if (evidence.age && *evidence.age >= Duration{}) line.as_of = now - *evidence.age;
  const std::uint64_t start = evidence.office.start;
  const auto marks = std::pair(known.first, known.born);
  known.oldest_start = is_new ? start : std::min(known.oldest_start, start);
  if (is_new || start > known.first_start) {
    known.first_start = start;
    known.first.reset();
    known.born.reset();
  }
  if (start == known.first_start && line.as_of) {
    known.first = std::min(known.first.value_or(*line.as_of), *line.as_of);
    if (evidence.uptime) {
      const Time born = *line.as_of - *evidence.uptime;
      known.born = std::min(known.born.value_or(born), born);
    }
  }
  if (marks != std::pair(known.first, known.born)) known.next.reset();
  bool changed = false;
  const Part part = part_of(evidence);
  if (part == Part::list) known.changed();
  if (part == Part::list && over(evidence.state)) changed = end(known, line);
  if (part == Part::list && evidence.state == OfficeState::ready && start == 0 && known.ended_start == 0)
    changed = take_back(known, line);
  const auto key = [](const Line& l) { return std::pair(l.evidence.source, part_of(l.evidence)); };
  const auto place = std::lower_bound(known.lines.begin(), known.lines.end(), line,
                                      [&](const Line& a, const Line& b) { return key(a) < key(b); });
  if (place == known.lines.end() || key(*place) != key(line)) {
    known.lines.insert(place, line);
    known.changed();
    return known.lines.size() <= settings_.max_sources || drop_weakest(known) || changed;
  }
  const auto order = [](const Line& l) {
    const Evidence& e = l.evidence;
    return std::tuple(e.office.start, e.list, of(l.as_of), worse(e.state), e.office, e.uptime);
  };
  Line& had = *place;
  // The same sight under another rank: its source has turned out to be a survivor, or no longer one.
  const bool ranked = had.evidence.rank != evidence.rank;
  if (order(line) < order(had) || (order(line) == order(had) && !ranked)) return changed;
  changed |= ranked || had.evidence.state != evidence.state || had.evidence.office != evidence.office ||
             had.evidence.list != evidence.list || part != Part::list;
  had = line;
  known.changed();
  return changed;
}

// The weakest: the lowest rank, then the oldest. False: what was dropped decided nothing that stays.
bool Offices::drop_weakest(Known& known) const {
  const auto weak = [](const Line& l) {
    return std::tuple(static_cast<int>(l.evidence.rank), since(Time{}, of(l.as_of)), l.evidence.source);
  };
  known.lines.erase(std::max_element(known.lines.begin(), known.lines.end(),
                                     [&](const Line& a, const Line& b) { return weak(a) < weak(b); }));
  return true;
}

void Offices::forget(MemberId source) {
  for (auto& [id, known] : known_)
    if (std::erase_if(known.lines, [&](const Line& l) {
          return l.evidence.source == source && part_of(l.evidence) != Part::store;
        }) > 0)
      known.changed();
  std::erase_if(known_, [](const auto& at) { return at.second.lines.empty() && at.second.ended.empty(); });
}

// What it said ready goes on as a sight of its own, if it has none; what it said absent is void.
void Offices::forget_list(MemberId source, Rank as) {
  for (auto& [id, known] : known_) {
    const auto of_source = [&](const Line& l, Part part) {
      return l.evidence.source == source && part_of(l.evidence) == part;
    };
    const auto list = [&](const Line& l) { return of_source(l, Part::list); };
    const auto first = std::find_if(known.lines.begin(), known.lines.end(), list);
    if (first == known.lines.end()) continue;
    known.changed();
    const std::uint64_t told_start = first->evidence.office.start;
    // What was seen of a life before the told one is no sight of it.
    std::erase_if(known.lines, [&](const Line& l) {
      return of_source(l, Part::eyes) && l.evidence.office.start < told_start;
    });
    const auto told = std::find_if(known.lines.begin(), known.lines.end(), list);
    const bool seen = std::any_of(known.lines.begin(), known.lines.end(),
                                  [&](const Line& l) { return of_source(l, Part::eyes); });
    if (seen || told->evidence.state != OfficeState::ready) {
      if (!over(told->evidence.state)) known.lines.erase(told);
      continue;
    }
    told->evidence.rank = as;  // the place is the same: a source's list stands right before its eyes
    told->evidence.list = {};
  }
  std::erase_if(known_, [](const auto& at) { return at.second.lines.empty() && at.second.ended.empty(); });
}

void Offices::check() const {
  if (known_.size() > settings_.most_offices) throw std::logic_error("offices: over their bound");
  for (const auto& [id, known] : known_) {
    if (known.lines.size() > settings_.max_sources || known.ended.size() > settings_.max_sources)
      throw std::logic_error("offices: evidence over its bound");
    if (known.decided && *known.decided != decide(known))
      throw std::logic_error("offices: a verdict that the evidence does not give");
    const OfficeAssessment judged = judge(Time{}, known);
    for (const Ended& e : known.ended)
      if (e.office.start == judged.office.start && e.office.at == judged.office.at &&
          judged.verdict != Verdict::barred)
        throw std::logic_error("offices: an ended office is not barred");
    for (const Line& l : known.lines)
      if (l.evidence.office.id != id) throw std::logic_error("offices: evidence of another office");
  }
}

std::uint64_t Offices::fingerprint(Time now) const {
  Hash hash;
  const auto office = [&](const Office& o) {
    hash.add(std::uint64_t{o.start}).add(std::uint64_t{o.at.address} << 16U | o.at.port);
  };
  for (const auto& [id, known] : known_) {
    hash.add(static_cast<std::uint64_t>(id)).add(known.oldest_start).add(known.ended_start);
    hash.since(known.first.value_or(Time::min()), now).since(known.born.value_or(Time::min()), now);
    for (const Line& l : known.lines) {
      const Evidence& e = l.evidence;
      office(e.office);
      hash.add(static_cast<std::uint64_t>(e.rank) << 8U | static_cast<std::uint64_t>(e.state));
      hash.add(static_cast<std::uint64_t>(e.source)).add(e.list.epoch).add(e.list.number).add(e.list.digest);
      hash.since(of(l.as_of), now);
    }
    for (const Ended& e : known.ended) {
      office(e.office);
      hash.add(static_cast<std::uint64_t>(e.state));
      if (e.office.start == 0)
        for (const MemberId caller : e.callers) hash.add(static_cast<std::uint64_t>(caller));
    }
    for (const auto& [at, list] : known.back) hash.add(list.epoch).add(list.number);
  }
  return hash.value();
}

}  // namespace reeltack::fleet::recovery
