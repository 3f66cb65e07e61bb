// One load on a ReturnWorld: its schedule, callers and records. It is replaced when the next load begins.
#pragma once

#include "return_world.h"

namespace reeltack::test {

struct ReturnWorld::LoadRun {
  LoadRun(const load::Scenario& of, std::uint64_t salt, Time now)
      : scenario(of),
        begun(now),
        recorder(scenario),
        callers(scenario, salt, scenario.connections, recorder, false),
        schedule(scenario),
        next(schedule.next()) {}
  const load::Scenario scenario;
  const Time begun;
  load::Recorder recorder;
  load::Callers callers;
  load::Schedule schedule;
  std::optional<load::Arrival> next;
  Time armed_for = Time::max();
};

Settings module_settings(const ReturnCase& of);
standin::ProcessorSettings processor_settings(const ReturnCase& of);

}  // namespace reeltack::test
