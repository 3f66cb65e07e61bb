// One controller of the model: its starts, the events it receives, the actions it emits, its calls.
#include <algorithm>

#include "model_world.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr ServerId kCold{0};
constexpr ServerId kEnded{1};

MemberId name(std::size_t i) { return MemberId{1000 + i}; }
bool is_ended(OfficeState state) { return state == OfficeState::draining || state == OfficeState::gone; }
bool usable(const Terms::Line& line) { return line.verdict == Verdict::trusted || line.ours; }
}  // namespace

void ModelWorld::deliver(std::size_t i, const Event& event) {
  if (!controllers_[i].recovery) return;
  Actions actions;
  controllers_[i].recovery->on(now_, event, actions);
  apply_actions(i, actions);
}

void ModelWorld::apply_actions(std::size_t i, const Actions& actions) {
  Controller& c = controllers_[i];
  for (const Action& action : actions) {
    if (const auto* terms = std::get_if<Terms>(&action)) {
      c.terms = *terms;
    } else if (const auto* persist = std::get_if<Persist>(&action)) {
      c.store[persist->key] = {persist->value, now_};
    } else if (const auto* publish = std::get_if<Publish>(&action)) {
      if (publish->value)
        c.facts[publish->key] = {*publish->value, now_};
      else
        c.facts.erase(publish->key);
      for (auto& pending : c.pending) pending.insert(publish->key);
    }
  }
}

void ModelWorld::start(std::size_t i) {
  Controller& c = controllers_[i];
  c.recovery.emplace(settings_, name(i));
  ++c.incarnation;
  c.started = now_;
  c.start_at = Time::max();
  std::vector<Record> records;
  for (const auto& [key, value] : c.store) records.push_back({key, value.first, now_ - value.second});
  std::optional<PersistedState> stored = read_stored_state(records, false);
  c.stored_up = false;
  c.alone = !stored || std::max(stored->agreed, stored->largest) <= 1;
  if (stored) {
    for (const Evidence& e : stored->offices) c.stored_up |= e.office.id == kEnded && !is_ended(e.state);
    std::size_t visible = 0;
    for (std::size_t j = 0; j < kControllers; ++j) visible += linked(i, j) ? 1 : 0;
    if (faults_.visible_size) stored->agreed = stored->largest = visible;
  }
  // The facts published before by others are delivered again to this run.
  for (Controller& other : controllers_) {
    other.delivered[i].clear();
    for (const auto& [key, value] : other.facts) other.pending[i].insert(key);
  }
  deliver(i, Restored{std::move(stored)});
  deliver(i, LinkUp{});
}

void ModelWorld::kill(std::size_t i) {
  Controller& c = controllers_[i];
  c.recovery.reset();
  c.terms.reset();
  c.facts.clear();
  c.members = {};
  c.list = 0;
  c.knows_end = false;
  // With the next run all facts of the last one are deleted.
  for (std::size_t b = 0; b < kControllers; ++b) c.pending[b] = c.delivered[b];
}

void ModelWorld::update_members(std::size_t i) {
  Controller& c = controllers_[i];
  if (!c.recovery || now_ < c.late_until) return;
  MembersChanged changed;
  std::size_t ever_started = 0;
  for (std::size_t j = 0; j < kControllers; ++j) {
    ever_started += controllers_[j].recovery || controllers_[j].incarnation > 1 ? 1 : 0;
    if (!linked(i, j)) continue;
    changed.live.push_back(name(j));
    changed.incarnations.push_back(controllers_[j].incarnation);
  }
  // A newcomer knows only the members it has met; the others know each other from their tables.
  changed.known = c.alone && changed.live.size() == 1 ? 1 : ever_started;
  if (faults_.visible_size) changed.known = changed.live.size();
  if (changed.live == c.members.live && changed.known == c.members.known &&
      changed.incarnations == c.members.incarnations)
    return;
  c.members = changed;
  c.alone = c.alone && changed.live.size() == 1;
  deliver(i, changed);
}

void ModelWorld::update_list(std::size_t i) {
  Controller& c = controllers_[i];
  if (!c.recovery || now_ < std::max(c.late_until, c.list_at) || c.list == list_) return;
  c.list = list_;
  ListReceived received{list_, true, {}};
  const bool restarted = list_ > 1;
  const Office cold{kCold, restarted ? 2000U : 1000U, {9, 80}, 0, 1.0};
  const Office second{kEnded, 1001, {9, 81}, 0, 1.0};
  Evidence first{cold, Rank::listed, OfficeState::ready, {}, Duration{}};
  if (restarted) first.uptime = 1s;
  received.offices = {first,
                      {second, Rank::listed, restarted ? ended_state_ : OfficeState::ready, {}, Duration{}}};
  c.knows_end |= restarted;
  deliver(i, received);
}

void ModelWorld::transfer(std::size_t from, std::size_t to) {
  Controller& owner = controllers_[from];
  Controller& reader = controllers_[to];
  for (const facts::Key& key : std::exchange(owner.pending[to], {})) {
    facts::Fact fact{name(from), owner.incarnation, 1, key, "", true, Duration{}};
    if (const auto at = owner.facts.find(key); at != owner.facts.end()) {
      fact.deleted = false;
      fact.value = at->second.first;
      fact.age = now_ - at->second.second;
      owner.delivered[to].insert(key);
    } else if (owner.delivered[to].erase(key) == 0) {
      continue;
    }
    if (key.kind == facts::Kind::office && key.subject == 1 && !fact.deleted) {
      std::optional<OfficeValue> value = read_office(kEnded, fact.value);
      if (value && value->listed && is_ended(value->listed->state)) {
        reader.knows_end = true;
        if (faults_.stored_over_reported && reader.stored_up) {
          value->listed->state = OfficeState::ready;
          fact.value = write(*value);
        }
      }
    }
    deliver(to, FactReceived{fact});
  }
}

// One call of each class: refused at once by the terms, or accepted and then answered by an office that may
// be used, or by the module's own refusal in full service with no office left. Without terms the module
// decides as it does without a fleet.
void ModelWorld::serve(std::size_t i) {
  Controller& c = controllers_[i];
  if (!c.recovery) return;
  const Terms terms = c.terms.value_or(Terms{});
  const bool module_decides = !c.terms || terms.offices.empty() || c.recovery->stage() == Stage::full;
  const bool any = std::any_of(terms.offices.begin(), terms.offices.end(), usable);
  for (const bool urgent : {false, true}) {
    const std::size_t of_class = urgent ? 1 : 0;
    if (c.terms && terms.closed[of_class]) {
      ++refused_;
      continue;
    }
    ++accepted_;
    if (any || module_decides) ++answered_;
  }
  for (const Terms::Line& line : terms.offices) {
    if (!usable(line)) continue;
    const bool up = line.office.id == kCold || list_ == 1;
    deliver(i,
            OfficeObserved{
                {line.office, Rank::own, up ? OfficeState::answered : OfficeState::refused, {}, Duration{}}});
  }
}

}  // namespace reeltack::fleet::recovery
