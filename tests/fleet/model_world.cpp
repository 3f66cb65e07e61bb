// The steps of the model's world and its invariants.
#include "model_world.h"

#include <algorithm>
#include <stdexcept>

#include "fleet/recovery/mix.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;
constexpr double kWarmRate = 9.0;  // set-ups per second that office 0 carried for all members while warm
constexpr ServerId kCold{0};
constexpr ServerId kEnded{1};

[[noreturn]] void fail(const std::string& message) { throw std::logic_error(message); }
}  // namespace

std::string text(const Move& move) {
  static constexpr const char* kNames[] = {"step",          "restart", "restart from an old store",
                                           "restart blank", "down",    "partition",
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
  if (beginning == Beginning::quiet) ended_state_ = OfficeState::draining;
  for (std::size_t i = 0; i < kControllers; ++i) {
    Controller& c = controllers_[i];
    c.old_store = c.store;
    c.list_at = now_ + (i == 0 ? 0s : 1s);
    if (beginning == Beginning::dark || (beginning == Beginning::survivor && i > 0)) kill(i);
  }
  if (beginning == Beginning::dark) now_ += 300s;  // stored evidence is no longer trusted
  if (beginning == Beginning::survivor)
    for (int n = 0; n < 20; ++n) step({});
  for (Controller& c : controllers_)
    if (!c.recovery) {
      c.start_at = now_;
      c.list_at = now_ + (beginning == Beginning::survivor ? Duration(6s) : Duration(500ms));
    }
}

// Brings `size` controllers into full service: list 1 received, both offices warm, rates known, stores
// written.
void ModelWorld::settle(std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) controllers_[i].start_at = now_;
  for (int n = 0; n < 60; ++n) {
    step({});
    for (std::size_t i = 0; i < size; ++i)
      deliver(i, CarriedRate{kCold, kWarmRate / static_cast<double>(size)});
  }
}

bool ModelWorld::linked(std::size_t a, std::size_t b) const {
  return controllers_[a].recovery && controllers_[b].recovery &&
         (a == b || (a != isolated_ && b != isolated_));
}

std::vector<Move> ModelWorld::moves() const {
  std::vector<Move> moves{{Deviation::long_step}, {Deviation::delay_all}};
  if (isolated_ < kControllers) moves.push_back({Deviation::heal});
  for (std::size_t a = 0; a < kControllers; ++a) {
    const Controller& c = controllers_[a];
    if (!was_partitioned_) moves.push_back({Deviation::partition, a, a});
    if (now_ >= c.late_until) moves.push_back({Deviation::late, a, a});
    if (!c.recovery) continue;
    for (const Deviation kind :
         {Deviation::restart_own, Deviation::restart_old, Deviation::restart_blank, Deviation::down})
      if (kind != Deviation::restart_old || !c.old_store.empty()) moves.push_back({kind, a, a});
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
      if (move.kind == Deviation::restart_old) c.store = c.old_store;
      if (move.kind == Deviation::restart_blank) c.store.clear();
      c.start_at = now_ + (move.kind == Deviation::down ? 2s : 0s);
      c.list_at = c.start_at + 500ms;
      break;
    case Deviation::partition:
      isolated_ = move.a;
      was_partitioned_ = true;
      for (Controller& each : controllers_) each.late_until = std::max(each.late_until, now_ + 1s);
      break;
    case Deviation::heal:
      isolated_ = kControllers;
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
      deliver(move.a, SourceUnreachable{});
      break;
    default:
      break;
  }
}

void ModelWorld::step(const Move& move) {
  apply(move);
  for (std::size_t i = 0; i < kControllers; ++i)
    if (!controllers_[i].recovery && controllers_[i].start_at <= now_) start(i);
  bool just_started = false;
  for (std::size_t i = 0; i < kControllers; ++i) {
    update_members(i);
    update_list(i);
    just_started |= controllers_[i].recovery && now_ - controllers_[i].started < 1s;
  }
  for (std::size_t a = 0; a < kControllers; ++a)
    for (std::size_t b = 0; b < kControllers; ++b) {
      const bool this_pair = move.kind == Deviation::delay && a == move.a && b == move.b;
      if (a != b && linked(a, b) && move.kind != Deviation::delay_all && !this_pair) transfer(a, b);
    }
  check();
  for (std::size_t i = 0; i < kControllers; ++i) serve(i);
  advance(just_started && move.kind != Deviation::long_step ? Duration(100ms) : Duration(1s));
  check();
}

void ModelWorld::advance(Duration span) {
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
    apply_actions(first, actions);
  }
  now_ = end;
}

bool ModelWorld::recovers(Duration limit) const {
  ModelWorld undisturbed = *this;
  undisturbed.isolated_ = kControllers;
  for (Controller& c : undisturbed.controllers_) {
    c.late_until = Time::min();
    for (auto& pending : c.pending)
      for (const auto& [key, value] : c.facts) pending.insert(key);
  }
  for (const Time end = now_ + limit; undisturbed.now_ < end;) {
    undisturbed.step({});
    if (std::all_of(undisturbed.controllers_.begin(), undisturbed.controllers_.end(),
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
    // A member cannot divide with members it has never known; the operator's planned size is for that case.
    if (!c.alone) parts += c.recovery->share(now_).part;
    if (!c.terms) continue;
    for (const Terms::Line& line : c.terms->offices) {
      if (line.office.id == kEnded && c.knows_end && (line.verdict == Verdict::trusted || line.ours))
        fail("an ended office may be sent to by " + std::to_string(i));
      if (line.office.id == kCold && !c.alone) rates += std::max(line.max_rate, 0.0);
    }
    for (const std::optional<Duration>& retry_after : c.terms->closed)
      if (retry_after && (*retry_after < 50ms || *retry_after > 2s))
        fail("a refusal without a valid retry time");
  }
  if (parts > 1.0 + 1.0e-9) fail("the shares add up to " + std::to_string(parts));
  // Terms are sent again only where they differ by a twentieth.
  if (rates > 1.05 * settings_.cold_fraction * settings_.fall_multiple * kWarmRate)
    fail("the cold office may receive " + std::to_string(rates) + " set-ups per second");
  if (accepted_ != answered_) fail("an accepted call has no answer");
}

std::uint64_t ModelWorld::fingerprint() const {
  Hash hash;
  const auto timed = [&](const Timed& value) {
    hash.add(std::uint64_t{std::hash<std::string>{}(value.first)}).add_elapsed(value.second, now_);
  };
  for (const Controller& c : controllers_) {
    hash.add(c.recovery ? c.recovery->fingerprint(now_) : 0U).add(std::uint64_t{c.store.size()});
    for (const auto& [key, value] : c.store) timed(value);
    for (const auto& [key, value] : c.facts) timed(value);
    for (std::size_t b = 0; b < kControllers; ++b) {
      hash.add(std::uint64_t{c.pending[b].size()}).add(std::uint64_t{c.delivered[b].size()});
      for (const facts::Key& key : c.pending[b])
        hash.add(static_cast<std::uint64_t>(key.kind)).add(key.subject);
    }
    hash.add_elapsed(c.started, now_)
        .add_elapsed(c.start_at, now_)
        .add_elapsed(std::max(c.list_at, now_), now_);
    hash.add_elapsed(std::max(c.late_until, now_), now_)
        .add(c.list)
        .add(std::uint64_t{c.members.live.size()});
    hash.add(std::uint64_t{c.knows_end} + 2 * std::uint64_t{c.alone} + 4 * std::uint64_t{c.stored_up});
  }
  return hash.add(std::uint64_t{isolated_}).add(std::uint64_t{was_partitioned_}).value();
}

}  // namespace reeltack::fleet::recovery
