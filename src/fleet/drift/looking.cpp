// How all members stand to the approved version: views, alarms, who logs them, and the figures.
#include <xxhash.h>

#include <algorithm>

#include "fleet/drift/drift.h"

namespace reeltack::fleet::drift {
namespace {

// While nothing changes, views still pass from one to the next by time alone.
constexpr Duration kLook = std::chrono::milliseconds(500);

std::uint64_t rank(std::uint64_t of, MemberId member) {
  const std::uint64_t both[2] = {of, static_cast<std::uint64_t>(member)};
  return ::XXH3_64bits(both, sizeof both);
}

}  // namespace

// Of the live members (but `except`, where it is not oneself), whether self is one of the first by rendezvous
// hash.
bool Drift::among(std::uint64_t of, std::size_t first, MemberId except) const {
  const std::uint64_t own = rank(of, self_);
  std::size_t before = 0;
  for (const auto& [id, person] : people_)
    if (person.alive && id != except && rank(of, id) < own && ++before >= first) return false;
  return true;
}

View Drift::view(Time now, MemberId member) const {
  const auto look = [&](const Seen& seen, const std::string& name, const std::string& zone) {
    return seen.view(now, settings_.views, by(), wanted(name, zone), approved_at_, stale());
  };
  if (member == self_) return look(own_, settings_.name, settings_.zone);
  const auto person = people_.find(member);
  const auto seen = seen_.find(member);
  if (person == people_.end() || seen == seen_.end()) return View::unknown;
  return look(seen->second, person->second.name, person->second.zone);
}

void Drift::look(Time now, Actions& actions) {
  next_ = now + kLook;
  if (approval_.approved()) {
    wanted_.try_emplace({settings_.name, settings_.zone}, wanted(settings_.name, settings_.zone));
    for (const auto& [id, person] : people_)
      wanted_.try_emplace({person.name, person.zone}, wanted(person.name, person.zone));
  }
  if (own_.alarm(now, settings_.views, view(now, self_))) note_alarm(now, self_, settings_.name, actions);
  for (const auto& [id, person] : people_) {
    Seen& seen = seen_[id];
    if (seen.alarm(now, settings_.views, view(now, id))) note_alarm(now, id, person.name, actions);
  }
}

void Drift::note_alarm(Time now, MemberId subject, const std::string& name, Actions& actions) {
  const Seen& seen = subject == self_ ? own_ : seen_.at(subject);
  ++(seen.alarmed() ? counts_.alarms : counts_.cleared);
  if (subject != self_ && !among(static_cast<std::uint64_t>(subject), kWatchers, subject)) return;
  std::string text = "drift name=" + name + " alarm=" + (seen.alarmed() ? "raised" : "cleared") +
                     " view=" + name_of(view(now, subject)) + " epoch=" + std::to_string(by().epoch);
  if (seen.word()) text += " its_epoch=" + std::to_string(seen.word()->by.epoch);
  if (seen.alarmed() && seen.word()) {
    text += std::string(" severity=") + rules::name_of(seen.worst());
    for (const rules::Difference& d : seen.word()->named) {
      std::string should = "nothing";
      if (const auto& approved = approval_.approved()) {
        const auto person = people_.find(subject);
        const rules::Rules asked =
            required_rules(*approved, name, subject == self_ ? settings_.zone : person->second.zone);
        if (const auto found = asked.find(d.key); found != asked.end()) should = found->second;
      }
      text += " " + d.key + "=\"" + d.actual.value_or("nothing") + "\" wanted=\"" + should + "\"";
    }
  }
  actions.emplace_back(Note{std::move(text)});
}

Drift::Figures Drift::figures(Time now) const {
  Figures out;
  const auto add = [&](const Seen& seen, View view) {
    ++out.views.at(static_cast<std::size_t>(view));
    if (!seen.alarmed()) return;
    ++out.alarmed;
    out.critical += seen.worst() == rules::Severity::critical ? 1 : 0;
  };
  add(own_, view(now, self_));
  for (const auto& [id, person] : people_) add(seen_.at(id), view(now, id));
  return out;
}

}  // namespace reeltack::fleet::drift
