// Implementation of the readers in judged.h.
#include "judged.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <unordered_map>

namespace reeltack::rig {
namespace {
using namespace std::chrono_literals;
using What = load::OfficeEvent::What;
}  // namespace

std::vector<VerdictLine> verdicts(const std::string& log) {
  std::vector<VerdictLine> out;
  for (std::size_t at = 0; at < log.size();) {
    const std::size_t end = std::min(log.find('\n', at), log.size());
    const std::string line = log.substr(at, end - at);
    at = end + 1;
    std::tm day{};
    int ms = 0;
    unsigned office = 0;
    char verdict[16] = "", was[16] = "";
    const int read = std::sscanf(
        line.c_str(), "%d-%d-%dT%d:%d:%d.%dZ fleet recovery office=%u verdict=%15s was=%15s", &day.tm_year,
        &day.tm_mon, &day.tm_mday, &day.tm_hour, &day.tm_min, &day.tm_sec, &ms, &office, verdict, was);
    if (read < 9) continue;
    day.tm_year -= 1900;
    day.tm_mon -= 1;
    out.push_back({Time{std::chrono::seconds(::timegm(&day)) + std::chrono::milliseconds(ms)}, office,
                   verdict, was, line.find(" life=other") != std::string::npos});
  }
  return out;
}

std::optional<Time> barred_at(const std::vector<VerdictLine>& lines, std::uint32_t office) {
  for (const VerdictLine& l : lines)
    if (l.office == office && l.verdict == "barred") return l.at;
  return std::nullopt;
}

EventsByController split_events(const std::vector<load::OfficeEvent>& log,
                                const std::vector<load::TryRecord>& tries, std::size_t controllers) {
  std::unordered_map<std::uint64_t, std::size_t> target_of;
  for (const load::TryRecord& t : tries) target_of[static_cast<std::uint64_t>(t.id)] = t.target;
  EventsByController out;
  out.of.resize(controllers);
  for (const load::OfficeEvent& e : log) {
    if (e.what == What::in_service || e.what == What::draining || e.what == What::gone) continue;
    const auto found = target_of.find(e.call);
    (found == target_of.end() ? out.unattributed : out.of.at(found->second)).push_back(e);
  }
  return out;
}

load::RulesChecker::Found rules_of(std::vector<load::OfficeEvent> events,
                                   const std::vector<load::OfficeEvent>& told) {
  events.insert(events.end(), told.begin(), told.end());
  std::stable_sort(events.begin(), events.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  load::RulesChecker rules;
  for (const load::OfficeEvent& e : events) rules.take(e);
  rules.finish();
  return rules.found();
}

FirstAttempts first_results_of(const std::vector<load::TryRecord>& tries, std::size_t target,
                               std::uint32_t call_class, Time since) {
  FirstAttempts out;
  const auto earlier = [](std::optional<Time>& first, Time at) { first = std::min(first.value_or(at), at); };
  for (const load::TryRecord& t : tries) {
    if (t.target != target || t.call_class != call_class || t.sent < since) continue;
    earlier(out.attempted_at, t.sent);
    if (t.end == load::TryEnd::stands) earlier(out.established_at, t.ended);
  }
  for (const load::TryRecord& t : tries)
    if (t.target == target && t.call_class == call_class && t.sent >= since &&
        t.end == load::TryEnd::refused && (!out.established_at || t.ended < *out.established_at))
      ++out.refused;
  return out;
}

std::set<std::uint32_t> offices_used(const std::vector<load::OfficeEvent>& events, Time from, Time to) {
  std::set<std::uint32_t> out;
  for (const load::OfficeEvent& e : events)
    if (e.what == What::set_up && e.at >= from && e.at < to) out.insert(e.office);
  return out;
}

}  // namespace reeltack::rig
