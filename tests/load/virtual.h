// A run in virtual time: the schedule and the callers against a target that is a function, with no socket and
// no clock, so that what a run reports can be held to what it must report.
#pragma once

#include <functional>
#include <map>

#include "load/plan/callers.h"

namespace reeltack::load::test {

struct VirtualAnswer {
  Duration at{};
  enum class Kind { stands, refused, failed, never } kind = Kind::stands;
  Duration later{};
};

class VirtualRun {
 public:
  using Target = std::function<VirtualAnswer(Duration sent, const PlaceTry&)>;
  VirtualRun(const Scenario& s, Target target, std::size_t users = 16)
      : scenario(s),
        recorder(scenario),
        callers(scenario, 99, users, recorder, false),
        target_(std::move(target)) {}

  // `stall`: the generator itself stands still from the first to the second of these.
  void play(std::pair<Duration, Duration> stall = {Duration::max(), Duration::max()}) {
    Schedule schedule(scenario);
    auto next = schedule.next();
    while (next || !answers_.empty() || callers.open() > 0 || callers.standing() > 0) {
      Duration at = callers.next_due();
      if (next) at = std::min(at, next->planned);
      if (!answers_.empty()) at = std::min(at, answers_.begin()->first);
      if (at == Duration::max()) break;
      if (at >= stall.first && at < stall.second) at = stall.second;
      now = std::max(now, at);
      while (next && next->planned <= now) {
        callers.arrive(now, *next, actions_);
        carry_out();
        next = schedule.next();
      }
      while (!answers_.empty() && answers_.begin()->first <= now) {
        const auto [id, answer] = answers_.begin()->second;
        answers_.erase(answers_.begin());
        if (answer.kind == VirtualAnswer::Kind::stands) callers.stands(now, id, "", actions_);
        if (answer.kind == VirtualAnswer::Kind::refused)
          callers.refused(now, id, Callers::No::refused, answer.later);
        if (answer.kind == VirtualAnswer::Kind::failed)
          callers.refused(now, id, Callers::No::failed, answer.later);
        carry_out();
      }
      callers.fire(now, actions_);
      carry_out();
    }
    callers.close(now, actions_);
  }
  const Scenario scenario;
  Recorder recorder;
  Callers callers;
  Duration now{};
  std::vector<PlaceTry> placed;
  std::vector<TryId> given_up;
  std::vector<TryId> released;

 private:
  void carry_out() {
    const CallerActions actions = std::move(actions_);
    actions_.clear();
    for (const CallerAction& a : actions) {
      if (const auto* p = std::get_if<PlaceTry>(&a)) {
        placed.push_back(*p);
        callers.sent(now, p->id);
        const VirtualAnswer answer = target_(now, *p);
        if (answer.kind != VirtualAnswer::Kind::never) answers_.emplace(answer.at, std::pair(p->id, answer));
      }
      if (const auto* g = std::get_if<GiveUpTry>(&a)) given_up.push_back(g->id);
      if (const auto* r = std::get_if<ReleaseTry>(&a)) released.push_back(r->id);
    }
  }
  const Target target_;
  std::multimap<Duration, std::pair<TryId, VirtualAnswer>> answers_;
  CallerActions actions_;
};

inline Scenario simple(double rate, Duration duration) {
  using namespace std::chrono_literals;
  Scenario s;
  s.seed = 7;
  s.rate = rate;
  s.duration = duration;
  LoadClass c;
  c.name = "voice";
  c.aim = 1500ms;
  c.deadline = 9s;
  s.classes.push_back(c);
  return s;
}

}  // namespace reeltack::load::test
