// What happens at one controller of the model: starts, what is told to it, what it says, its calls.
//
// Owns: nothing beyond its class. Must never: decide what recovery decides.
#include <algorithm>

#include "model_world.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr ServerId kCold{0};
constexpr ServerId kOver{1};

MemberId name(std::size_t i) { return MemberId{1000 + i}; }
bool over(OfficeState seen) { return seen == OfficeState::draining || seen == OfficeState::gone; }
bool usable(const Terms::Line& line) { return line.verdict == Verdict::trusted || line.ours; }
}  // namespace

void ModelWorld::give(std::size_t i, const Event& event) {
  if (!controllers_[i].recovery) return;
  Actions actions;
  controllers_[i].recovery->on(now_, event, actions);
  done(i, actions);
}

void ModelWorld::done(std::size_t i, const Actions& actions) {
  Controller& c = controllers_[i];
  for (const Action& action : actions) {
    if (const auto* terms = std::get_if<Terms>(&action)) {
      c.terms = *terms;
    } else if (const auto* keep = std::get_if<Persist>(&action)) {
      c.store[keep->key] = {keep->value, now_};
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
  std::optional<PersistedState> kept = read_stored_state(records, false);
  c.kept_ready = false;
  c.alone = !kept || std::max(kept->agreed, kept->largest) <= 1;
  if (kept) {
    for (const Evidence& e : kept->offices) c.kept_ready |= e.office.id == kOver && !over(e.state);
    std::size_t seen = 0;
    for (std::size_t j = 0; j < kControllers; ++j) seen += linked(i, j) ? 1 : 0;
    if (faults_.visible_size) kept->agreed = kept->largest = seen;
  }
  // What others said before comes anew to this life.
  for (Controller& other : controllers_) {
    other.brought[i].clear();
    for (const auto& [key, value] : other.facts) other.pending[i].insert(key);
  }
  give(i, Restored{std::move(kept)});
  give(i, LinkUp{});
}

void ModelWorld::kill(std::size_t i) {
  Controller& c = controllers_[i];
  c.recovery.reset();
  c.terms.reset();
  c.facts.clear();
  c.members = {};
  c.list = 0;
  c.heard_over = false;
  // With the next life all that the last one said goes.
  for (std::size_t b = 0; b < kControllers; ++b) c.pending[b] = c.brought[b];
}

void ModelWorld::tell_members(std::size_t i) {
  Controller& c = controllers_[i];
  if (!c.recovery || now_ < c.late_until) return;
  MembersChanged told;
  std::size_t ever = 0;
  for (std::size_t j = 0; j < kControllers; ++j) {
    ever += controllers_[j].recovery || controllers_[j].incarnation > 1 ? 1 : 0;
    if (!linked(i, j)) continue;
    told.live.push_back(name(j));
    told.incarnations.push_back(controllers_[j].incarnation);
  }
  // A newcomer knows whom it has met; the others have it from each other's tables.
  told.known = c.alone && told.live.size() == 1 ? 1 : ever;
  if (faults_.visible_size) told.known = told.live.size();
  if (told.live == c.members.live && told.known == c.members.known &&
      told.incarnations == c.members.incarnations)
    return;
  c.members = told;
  c.alone = c.alone && told.live.size() == 1;
  give(i, told);
}

void ModelWorld::tell_list(std::size_t i) {
  Controller& c = controllers_[i];
  if (!c.recovery || now_ < std::max(c.late_until, c.list_at) || c.list == list_) return;
  c.list = list_;
  ListReceived heard{list_, true, {}};
  const bool anew = list_ > 1;
  const Office cold{kCold, anew ? 2000U : 1000U, {9, 80}, 0, 1.0};
  const Office last{kOver, 1001, {9, 81}, 0, 1.0};
  Evidence first{cold, Rank::listed, OfficeState::ready, {}, Duration{}};
  if (anew) first.uptime = 1s;
  heard.offices = {first, {last, Rank::listed, anew ? over_ : OfficeState::ready, {}, Duration{}}};
  c.heard_over |= anew;
  give(i, heard);
}

void ModelWorld::bring(std::size_t from, std::size_t to) {
  Controller& owner = controllers_[from];
  Controller& reader = controllers_[to];
  for (const facts::Key& key : std::exchange(owner.pending[to], {})) {
    facts::Fact fact{name(from), owner.incarnation, 1, key, "", true, Duration{}};
    if (const auto at = owner.facts.find(key); at != owner.facts.end()) {
      fact.deleted = false;
      fact.value = at->second.first;
      fact.age = now_ - at->second.second;
      owner.brought[to].insert(key);
    } else if (owner.brought[to].erase(key) == 0) {
      continue;
    }
    if (key.kind == facts::Kind::office && key.subject == 1 && !fact.deleted) {
      std::optional<OfficeValue> value = read_office(kOver, fact.value);
      if (value && value->listed && over(value->listed->state)) {
        reader.heard_over = true;
        if (faults_.kept_over_word && reader.kept_ready) {
          value->listed->state = OfficeState::ready;
          fact.value = write(*value);
        }
      }
    }
    give(to, FactReceived{fact});
  }
}

// A call of each class: refused at once by the terms, or taken and then answered by an office that may be
// used, or by the module's own refusal where service is whole and no office is left. Without terms the
// module decides as it did before there was a fleet.
void ModelWorld::serve(std::size_t i) {
  Controller& c = controllers_[i];
  if (!c.recovery) return;
  const Terms terms = c.terms.value_or(Terms{});
  const bool whole = !c.terms || terms.offices.empty() || c.recovery->stage() == Stage::full;
  const bool any = std::any_of(terms.offices.begin(), terms.offices.end(), usable);
  for (const bool urgent : {false, true}) {
    const std::size_t of_class = urgent ? 1 : 0;
    if (c.terms && terms.closed[of_class]) {
      ++refused_;
      continue;
    }
    ++taken_;
    if (any || whole) ++answered_;
  }
  for (const Terms::Line& line : terms.offices) {
    if (!usable(line)) continue;
    const bool up = line.office.id == kCold || list_ == 1;
    give(i, OfficeObserved{
                {line.office, Rank::own, up ? OfficeState::answered : OfficeState::refused, {}, Duration{}}});
  }
}

}  // namespace reeltack::fleet::recovery
