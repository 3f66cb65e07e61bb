// Callers whose target says what the test scripts, at the times that it names.
#pragma once

#include "load/plan/callers.h"
#include "load/plan/description.h"
#include "virtual.h"

namespace reeltack::load::test {

using namespace std::chrono_literals;

struct Scripted {
  Scenario scenario = [] {
    Scenario s = simple(1.0, 1s);
    s.redials = 2;
    s.cut_comes_again = true;
    return s;
  }();
  Recorder recorder{scenario};
  Callers callers{scenario, 5, 4, recorder, true};
  CallerActions actions;
  TryId arrive(Duration at, std::uint64_t index = 0) {
    Arrival a;
    a.planned = at;
    a.index = index;
    a.patience = 3s;
    a.hold = 1s;
    a.number = 9;
    callers.arrive(at, a, actions);
    return std::get<PlaceTry>(actions.back()).id;
  }
  std::string sound(TryId id) const {
    return endpoint_description(static_cast<std::uint64_t>(id), "s-00000001", 9);
  }
  const Violations& found() const { return recorder.violations(); }
  std::uint64_t results(Result r) const { return recorder.all().results[static_cast<std::size_t>(r)]; }
};

}  // namespace reeltack::load::test
