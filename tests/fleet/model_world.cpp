// How the model's world goes on, and what must hold in it.
//
// Owns: nothing beyond its class. Must never: decide what recovery decides.
#include "model_world.h"

#include <algorithm>
#include <stdexcept>

#include "fleet/recovery/mix.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr double kCarried = 9.0;  // set-ups a second that office 0 carried for all while it was warm
constexpr ServerId kCold{0};
constexpr ServerId kOver{1};

[[noreturn]] void broken(const std::string& what) { throw std::logic_error(what); }
}  // namespace

std::string text(const Move& move) {
  static constexpr const char* kNames[] = {"step",          "restart", "restart from an old store",
                                           "restart blank", "down",    "cut",
                                           "heal",          "lose",    "delay",
                                           "delay all",     "late",    "silent",
                                           "long step"};
  std::string text = kNames[static_cast<std::size_t>(move.kind)];
  text += ' ';
  text += std::to_string(move.a);
  if (move.a != move.b) text += " to " + std::to_string(move.b);
  return text;
}

ModelWorld::ModelWorld(Beginning beginning, ModelFaults faults) {
  settings_.class_worth = {1.0, 5.0};  // the second is the urgent one
  settings_.class_aim = {2s, 500ms};
  settings_.ramp = 30s;
  settings_.fall_span = 5s;
  settings_.fall_multiple = 1.25;
  if (beginning == Beginning::growing) settings_.leases.min_size = kControllers;
  settle(beginning >= Beginning::growing ? 2 : kControllers);
  faults_ = faults;
  list_ = 2;
  if (beginning == Beginning::quiet) over_ = OfficeState::draining;
  for (std::size_t i = 0; i < kControllers; ++i) {
    Controller& c = controllers_[i];
    c.old = c.store;
    c.list_at = now_ + (i == 0 ? 0s : 1s);
    if (beginning == Beginning::dark || (beginning == Beginning::survivor && i > 0)) kill(i);
  }
  if (beginning == Beginning::dark) now_ += 300s;  // what was kept is no longer trusted
  if (beginning == Beginning::survivor)
    for (int n = 0; n < 20; ++n) step({});
  for (Controller& c : controllers_)
    if (!c.recovery) {
      c.start_at = now_;
      c.list_at = now_ + (beginning == Beginning::survivor ? Duration(6s) : Duration(500ms));
    }
}

// In full service, list 1 heard, both offices warm, the rates known, stores written.
void ModelWorld::settle(std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) controllers_[i].start_at = now_;
  for (int n = 0; n < 60; ++n) {
    step({});
    for (std::size_t i = 0; i < size; ++i) give(i, CarriedRate{kCold, kCarried / static_cast<double>(size)});
  }
}

bool ModelWorld::linked(std::size_t a, std::size_t b) const {
  return controllers_[a].recovery && controllers_[b].recovery && (a == b || (a != apart_ && b != apart_));
}

std::vector<Move> ModelWorld::moves() const {
  std::vector<Move> moves{{Deviation::long_step}, {Deviation::delay_all}};
  if (apart_ < kControllers) moves.push_back({Deviation::heal});
  for (std::size_t a = 0; a < kControllers; ++a) {
    const Controller& c = controllers_[a];
    if (!was_cut_) moves.push_back({Deviation::cut, a, a});
    if (now_ >= c.late_until) moves.push_back({Deviation::late, a, a});
    if (!c.recovery) continue;
    for (const Deviation kind :
         {Deviation::restart_own, Deviation::restart_old, Deviation::restart_blank, Deviation::down})
      if (kind != Deviation::restart_old || !c.old.empty()) moves.push_back({kind, a, a});
    if (c.list != 0) moves.push_back({Deviation::silent, a, a});
    for (std::size_t b = 0; b < kControllers; ++b)
      if (a != b && linked(a, b) && !c.pending[b].empty()) {
        moves.push_back({Deviation::lose, a, b});
        moves.push_back({Deviation::delay, a, b});
      }
  }
  return moves;
}

void ModelWorld::apply(const Move& move) {
  Controller& c = controllers_[move.a];
  switch (move.kind) {
    case Deviation::restart_own:
    case Deviation::restart_old:
    case Deviation::restart_blank:
    case Deviation::down:
      kill(move.a);
      if (move.kind == Deviation::restart_old) c.store = c.old;
      if (move.kind == Deviation::restart_blank) c.store.clear();
      c.start_at = now_ + (move.kind == Deviation::down ? 2s : 0s);
      c.list_at = c.start_at + 500ms;
      break;
    case Deviation::cut:
      apart_ = move.a;
      was_cut_ = true;
      for (Controller& each : controllers_) each.late_until = std::max(each.late_until, now_ + 1s);
      break;
    case Deviation::heal:
      apart_ = kControllers;
      break;
    case Deviation::lose:
      c.pending[move.b].clear();
      break;
    case Deviation::late:
      c.late_until = now_ + 3s;
      break;
    case Deviation::silent:
      c.list = 0;
      c.list_at = now_ + 3s;
      give(move.a, SourceUnreachable{});
      break;
    default:
      break;
  }
}

void ModelWorld::step(const Move& move) {
  apply(move);
  for (std::size_t i = 0; i < kControllers; ++i)
    if (!controllers_[i].recovery && controllers_[i].start_at <= now_) start(i);
  bool young = false;
  for (std::size_t i = 0; i < kControllers; ++i) {
    tell_members(i);
    tell_list(i);
    young |= controllers_[i].recovery && now_ - controllers_[i].started < 1s;
  }
  for (std::size_t a = 0; a < kControllers; ++a)
    for (std::size_t b = 0; b < kControllers; ++b) {
      const bool this_pair = move.kind == Deviation::delay && a == move.a && b == move.b;
      if (a != b && linked(a, b) && move.kind != Deviation::delay_all && !this_pair) bring(a, b);
    }
  check();
  for (std::size_t i = 0; i < kControllers; ++i) serve(i);
  pass(young && move.kind != Deviation::long_step ? Duration(100ms) : Duration(1s));
  check();
}

void ModelWorld::pass(Duration span) {
  const Time end = now_ + span;
  while (true) {
    std::size_t first = kControllers;
    Time at = end;
    for (std::size_t i = 0; i < kControllers; ++i) {
      const auto& recovery = controllers_[i].recovery;
      if (!recovery || recovery->next() > at) continue;
      at = recovery->next();
      first = i;
    }
    if (first == kControllers) break;
    now_ = std::max(now_, at);
    Actions actions;
    controllers_[first].recovery->tick(now_, actions);
    done(first, actions);
  }
  now_ = end;
}

bool ModelWorld::recovers(Duration most) const {
  ModelWorld rest = *this;
  rest.apart_ = kControllers;
  for (Controller& c : rest.controllers_) {
    c.late_until = Time::min();
    for (auto& pending : c.pending)
      for (const auto& [key, value] : c.facts) pending.insert(key);
  }
  for (const Time end = now_ + most; rest.now_ < end;) {
    rest.step({});
    if (std::all_of(rest.controllers_.begin(), rest.controllers_.end(),
                    [](const Controller& c) { return c.recovery && c.recovery->stage() == Stage::full; }))
      return true;
  }
  return false;
}

void ModelWorld::check() const {
  double parts = 0.0;
  double rates = 0.0;
  for (std::size_t i = 0; i < kControllers; ++i) {
    const Controller& c = controllers_[i];
    if (!c.recovery) continue;
    c.recovery->check(now_);
    // Nobody can divide with those of whom it has never heard: for that is the operator's planned size.
    if (!c.alone) parts += c.recovery->share(now_).part;
    if (!c.terms) continue;
    for (const Terms::Line& line : c.terms->offices) {
      if (line.office.id == kOver && c.heard_over && (line.verdict == Verdict::trusted || line.ours))
        broken("an office that is over may be sent to by " + std::to_string(i));
      if (line.office.id == kCold && !c.alone) rates += std::max(line.max_rate, 0.0);
    }
    for (const std::optional<Duration>& back : c.terms->closed)
      if (back && (*back < 50ms || *back > 2s)) broken("a refusal names no time to come back");
  }
  if (parts > 1.0 + 1.0e-9) broken("the shares come to " + std::to_string(parts));
  // Terms are told anew where they differ by a twentieth.
  if (rates > 1.05 * settings_.cold_part * settings_.fall_multiple * kCarried)
    broken("the cold office may get " + std::to_string(rates) + " a second");
  if (taken_ != answered_) broken("a call that was taken has no answer");
}

std::uint64_t ModelWorld::fingerprint() const {
  Hash hash;
  const auto timed = [&](const Timed& value) {
    hash.add(std::uint64_t{std::hash<std::string>{}(value.first)}).since(value.second, now_);
  };
  for (const Controller& c : controllers_) {
    hash.add(c.recovery ? c.recovery->fingerprint(now_) : 0U).add(std::uint64_t{c.store.size()});
    for (const auto& [key, value] : c.store) timed(value);
    for (const auto& [key, value] : c.facts) timed(value);
    for (std::size_t b = 0; b < kControllers; ++b) {
      hash.add(std::uint64_t{c.pending[b].size()}).add(std::uint64_t{c.brought[b].size()});
      for (const facts::Key& key : c.pending[b])
        hash.add(static_cast<std::uint64_t>(key.kind)).add(key.subject);
    }
    hash.since(c.started, now_).since(c.start_at, now_).since(std::max(c.list_at, now_), now_);
    hash.since(std::max(c.late_until, now_), now_).add(c.list).add(std::uint64_t{c.members.live.size()});
    hash.add(std::uint64_t{c.heard_over} + 2 * std::uint64_t{c.alone} + 4 * std::uint64_t{c.kept_ready});
  }
  return hash.add(std::uint64_t{apart_}).add(std::uint64_t{was_cut_}).value();
}

}  // namespace reeltack::fleet::recovery
