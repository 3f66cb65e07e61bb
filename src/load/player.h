// Plays a scenario against targets: the schedule's instants on real sockets.
//
// Owns: the connections, the clock of the run, and how much may wait to be written.
// Must never: let a target that is slow, silent or gone move an arrival, or lose a try that was placed.
//
// One thread, non-blocking sockets (Boost.Asio). Arrivals are looked at before and after whatever else
// happens.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "load/plan/tries.h"
#include "load/wire.h"

namespace reeltack::load {

struct PlayerOptions {
  std::vector<Target> targets;
  bool check_descriptions = true;           // the centrales behind the targets are stand-ins of this project
  const std::atomic<bool>* stop = nullptr;  // set: end early, with what was done
  std::function<void(const Recorder&, Duration at, std::size_t open, std::size_t standing)> progress;
  bool keep_tries = false;  // Played::tries has each one, with its target
  Duration connect_within = std::chrono::seconds(5);
};

struct Played {
  explicit Played(const Scenario& s) : scenario(s), recorder(scenario) {}
  const Scenario scenario;
  Recorder recorder;
  std::vector<std::string> targets;
  std::int64_t started_unix_ms = 0;
  Duration lasted{};
  bool ended_early = false;
  std::uint64_t beyond = 0;         // calls of a trace after the scenario's end, not played
  std::uint64_t unsent = 0;         // tries that found the backlog full and never left
  std::uint64_t breaks = 0;         // connections that ended by the target
  std::uint64_t left_standing = 0;  // calls released at the end of the run
  std::uint64_t crossed = 0;        // answers that met a giving up
  std::uint64_t late = 0;           // first answers to tries that count as unanswered
  std::size_t connections = 0;
  std::vector<TryRecord> tries;  // empty unless they were to be kept; times of base::now()
  double cpu_seconds = 0.0;      // of this process
  double peak_mb = 0.0;
  // Lateness beyond the scenario's bound: what was measured is the generator.
  [[nodiscard]] bool valid() const { return recorder.lateness().percentile(0.99) <= scenario.lateness_bound; }
};

// Throws std::runtime_error if no target can be reached in time, TraceError for a bad trace.
std::unique_ptr<Played> play(const Scenario& scenario, const PlayerOptions& options);

}  // namespace reeltack::load
