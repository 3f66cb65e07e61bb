// Storage of the evidence about offices by source. Nothing stored depends on the order of arrival.
#include "fleet/recovery/offices.h"

#include <algorithm>
#include <stdexcept>
#include <tuple>

#include "fleet/recovery/evidence_order.h"
#include "fleet/recovery/mix.h"

namespace reeltack::fleet::recovery {

namespace {
bool newer(const ListId& a, const ListId& b) {
  return std::pair(a.epoch, a.number) > std::pair(b.epoch, b.number);
}
}  // namespace

bool OfficeEvidence::mark_ended(OfficeRecord& record, const Entry& entry) const {
  const Evidence& e = entry.evidence;
  if (e.office.start < record.ended_start) return false;
  for (const Entry& l : record.entries)  // a late report: its source has withdrawn it since
    if (const Evidence& previous = l.evidence;
        e.office.start == 0 && previous.rank == Rank::listed && previous.source == e.source &&
        previous.state == OfficeState::ready && previous.office.at == e.office.at &&
        or_earliest(l.observed_at) > or_earliest(entry.observed_at))
      return false;
  if (const auto withdrawn = record.reinstated.find(e.office.at);
      e.office.start == 0 && withdrawn != record.reinstated.end() && newer(withdrawn->second, e.list))
    return false;
  if (e.office.start > record.ended_start) record.ended.clear();
  record.ended_start = e.office.start;
  for (EndedInstance& previous : record.ended) {
    if (previous.office.at != e.office.at) continue;
    // Of several reporters the highest id holds the entry, whichever reported first.
    const bool changed = severity(e.state) > severity(previous.state);
    if (changed) previous.state = e.state;
    previous.office = std::max(previous.office, e.office);
    previous.list = std::max(previous.list, e.list);
    previous.reporter = std::max(previous.reporter, e.source);
    previous.observed_at = std::max(previous.observed_at, or_earliest(entry.observed_at));
    if (e.office.start == 0 && previous.reporters.size() < settings_.max_sources)
      previous.reporters.insert(e.source);
    return changed;
  }
  if (record.ended.size() >= settings_.max_sources) return false;
  record.ended.push_back({e.office, e.state, e.source, or_earliest(entry.observed_at), e.list, {e.source}});
  std::sort(record.ended.begin(), record.ended.end(),
            [](const EndedInstance& a, const EndedInstance& b) { return a.office.at < b.office.at; });
  return true;
}

// A live list names the office again after its source reported it ended. With the same list only the reporter
// of the highest id can withdraw the report; with a newer list any reporter can, for all of them. Returns
// true if the instance is no longer ended.
bool OfficeEvidence::reinstate(OfficeRecord& record, const Entry& entry) const {
  const Evidence& e = entry.evidence;
  return std::erase_if(record.ended, [&](const EndedInstance& previous) {
           if (previous.office.at != e.office.at) return false;
           const bool for_all = previous.reporters.contains(e.source) && newer(e.list, previous.list);
           if (for_all && record.reinstated.size() < settings_.max_sources)
             record.reinstated[e.office.at] = e.list;
           return for_all ||
                  (previous.reporter == e.source && previous.observed_at < or_earliest(entry.observed_at));
         }) > 0;
}

bool OfficeEvidence::add(Time now, const Evidence& evidence) {
  const bool is_new = !offices_.contains(evidence.office.id);
  if (is_new && offices_.size() >= settings_.max_offices) return false;
  OfficeRecord& record = offices_[evidence.office.id];
  record.id = evidence.office.id;
  Entry entry{evidence, std::nullopt};
  if (evidence.age && *evidence.age >= Duration{}) entry.observed_at = now - *evidence.age;
  const std::uint64_t start = evidence.office.start;
  const auto marks = std::pair(record.first_observed_at, record.started_at);
  record.oldest_start = is_new ? start : std::min(record.oldest_start, start);
  if (is_new || start > record.newest_start) {
    record.newest_start = start;
    record.first_observed_at.reset();
    record.started_at.reset();
  }
  if (start == record.newest_start && entry.observed_at) {
    record.first_observed_at =
        std::min(record.first_observed_at.value_or(*entry.observed_at), *entry.observed_at);
    if (evidence.uptime) {
      const Time started = *entry.observed_at - *evidence.uptime;
      record.started_at = std::min(record.started_at.value_or(started), started);
    }
  }
  if (marks != std::pair(record.first_observed_at, record.started_at)) record.next_change.reset();
  bool changed = false;
  const SourceKind kind = source_kind(evidence);
  if (kind == SourceKind::list) record.changed();
  if (kind == SourceKind::list && is_ended(evidence.state)) changed = mark_ended(record, entry);
  if (kind == SourceKind::list && evidence.state == OfficeState::ready && start == 0 &&
      record.ended_start == 0)
    changed = reinstate(record, entry);
  const auto key = [](const Entry& l) { return std::pair(l.evidence.source, source_kind(l.evidence)); };
  const auto position = std::lower_bound(record.entries.begin(), record.entries.end(), entry,
                                         [&](const Entry& a, const Entry& b) { return key(a) < key(b); });
  if (position == record.entries.end() || key(*position) != key(entry)) {
    record.entries.insert(position, entry);
    record.changed();
    return record.entries.size() <= settings_.max_sources || drop_weakest(record) || changed;
  }
  const auto order = [](const Entry& l) {
    const Evidence& e = l.evidence;
    return std::tuple(e.office.start, e.list, or_earliest(l.observed_at), severity(e.state), e.office,
                      e.uptime);
  };
  Entry& previous = *position;
  // The same observation under another rank: its source has become known as a survivor, or no longer is.
  const bool rank_changed = previous.evidence.rank != evidence.rank;
  if (order(entry) < order(previous) || (order(entry) == order(previous) && !rank_changed)) return changed;
  changed |= rank_changed || previous.evidence.state != evidence.state ||
             previous.evidence.office != evidence.office || previous.evidence.list != evidence.list ||
             kind != SourceKind::list;
  previous = entry;
  record.changed();
  return changed;
}

// Drops the entry of the lowest rank, and of these the oldest. Always returns true: the verdict may change.
bool OfficeEvidence::drop_weakest(OfficeRecord& record) const {
  const auto weak = [](const Entry& l) {
    return std::tuple(static_cast<int>(l.evidence.rank), elapsed_since(Time{}, or_earliest(l.observed_at)),
                      l.evidence.source);
  };
  record.entries.erase(std::max_element(record.entries.begin(), record.entries.end(),
                                        [&](const Entry& a, const Entry& b) { return weak(a) < weak(b); }));
  return true;
}

void OfficeEvidence::restore_own_list(const std::vector<Evidence>& stored) {
  own_list_.restore(stored);
  own_list_changed();
}

void OfficeEvidence::receive_own_list(bool complete, const std::vector<Evidence>& offices) {
  own_list_.receive(complete, offices);
  own_list_changed();
}

void OfficeEvidence::own_list_changed() {
  limited_by_own_list_ = true;
  for (auto& [id, record] : offices_) record.changed();
}

void OfficeEvidence::forget_source(MemberId source) {
  for (auto& [id, record] : offices_)
    if (std::erase_if(record.entries, [&](const Entry& l) {
          return l.evidence.source == source && source_kind(l.evidence) != SourceKind::store;
        }) > 0)
      record.changed();
  std::erase_if(offices_,
                [](const auto& at) { return at.second.entries.empty() && at.second.ended.empty(); });
}

void OfficeEvidence::forget_list(MemberId source, Rank as) {
  for (auto& [id, record] : offices_) {
    const auto of_source = [&](const Entry& l, SourceKind kind) {
      return l.evidence.source == source && source_kind(l.evidence) == kind;
    };
    const auto list = [&](const Entry& l) { return of_source(l, SourceKind::list); };
    const auto first = std::find_if(record.entries.begin(), record.entries.end(), list);
    if (first == record.entries.end()) continue;
    record.changed();
    const std::uint64_t listed_start = first->evidence.office.start;
    // An observation of an instance before the listed one does not count for it.
    std::erase_if(record.entries, [&](const Entry& l) {
      return of_source(l, SourceKind::observation) && l.evidence.office.start < listed_start;
    });
    const auto listed = std::find_if(record.entries.begin(), record.entries.end(), list);
    const bool observed = std::any_of(record.entries.begin(), record.entries.end(),
                                      [&](const Entry& l) { return of_source(l, SourceKind::observation); });
    if (observed || listed->evidence.state != OfficeState::ready) {
      if (!is_ended(listed->evidence.state)) record.entries.erase(listed);
      continue;
    }
    listed->evidence.rank =
        as;  // keeps its position: a source's list entry sorts right before its observation
    listed->evidence.list = {};
  }
  std::erase_if(offices_,
                [](const auto& at) { return at.second.entries.empty() && at.second.ended.empty(); });
}

void OfficeEvidence::check() const {
  if (offices_.size() > settings_.max_offices)
    throw std::logic_error("offices: more offices than max_offices");
  for (const auto& [id, record] : offices_) {
    if (record.entries.size() > settings_.max_sources || record.ended.size() > settings_.max_sources)
      throw std::logic_error("offices: more evidence for an office than max_sources");
    if (record.decision && *record.decision != decide(record))
      throw std::logic_error("offices: cached decision differs from the evidence");
    const OfficeAssessment assessment = assess(Time{}, record);
    for (const EndedInstance& e : record.ended)
      if (e.office.start == assessment.office.start && e.office.at == assessment.office.at &&
          assessment.verdict != Verdict::barred)
        throw std::logic_error("offices: an ended office is not barred");
    if (limited_by_own_list_ && assessment.verdict != Verdict::barred && !own_list_.allows(assessment.office))
      throw std::logic_error("offices: an office that the own list does not allow is not barred");
    for (const Entry& l : record.entries)
      if (l.evidence.office.id != id) throw std::logic_error("offices: evidence filed under another office");
  }
}

std::uint64_t OfficeEvidence::fingerprint(Time now) const {
  Hash hash;
  const auto office = [&](const Office& o) {
    hash.add(std::uint64_t{o.start}).add(std::uint64_t{o.at.address} << 16U | o.at.port);
  };
  hash.add(std::uint64_t{limited_by_own_list_});
  for (const auto& [id, own] : own_list_.entries()) {
    office(own.office);
    hash.add(static_cast<std::uint64_t>(id)).add(static_cast<std::uint64_t>(own.state));
  }
  for (const auto& [id, record] : offices_) {
    hash.add(static_cast<std::uint64_t>(id)).add(record.oldest_start).add(record.ended_start);
    hash.add_elapsed(record.first_observed_at.value_or(Time::min()), now)
        .add_elapsed(record.started_at.value_or(Time::min()), now);
    for (const Entry& l : record.entries) {
      const Evidence& e = l.evidence;
      office(e.office);
      hash.add(static_cast<std::uint64_t>(e.rank) << 8U | static_cast<std::uint64_t>(e.state));
      hash.add(static_cast<std::uint64_t>(e.source)).add(e.list.epoch).add(e.list.number).add(e.list.digest);
      hash.add_elapsed(or_earliest(l.observed_at), now);
    }
    for (const EndedInstance& e : record.ended) {
      office(e.office);
      hash.add(static_cast<std::uint64_t>(e.state));
      if (e.office.start == 0)
        for (const MemberId reporter : e.reporters) hash.add(static_cast<std::uint64_t>(reporter));
    }
    for (const auto& [at, list] : record.reinstated) hash.add(list.epoch).add(list.number);
  }
  return hash.value();
}

}  // namespace reeltack::fleet::recovery
