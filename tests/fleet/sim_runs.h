// Complete runs of a simulated fleet, shared by tests and the bench command: a power loss of all controllers,
// and a quiet fleet.
//
// The runs only measure; tests and commands decide what is good enough. Times are in virtual seconds; only
// `cpu` is measured on the real machine, for reports and never for a verdict.
#pragma once

#include "coordinator_world.h"

namespace reeltack::test {

// Result of a power loss, measured from the moment that all controllers run again, with the bulletin silent,
// one office gone and one not back.
struct Outcome {
  // max_allowance_used: the largest part of its allowance that a cold office was sent.
  double agreed = 0.0, full = 0.0, urgent = 0.0, max_allowance_used = 0.0;
  std::uint64_t falls = 0, to_gone = 0, digest = 0;
  bool full_before = false;  // all were in full service before the loss
};
Outcome lose_power(std::size_t size, std::size_t offices, std::uint64_t seed, double loss);

// A fleet in which nothing happens, measured after a first minute in which the members find each other.
struct Quiet {
  double bytes = 0.0, datagrams = 0.0;    // per second and controller, both directions
  double cpu = 0.0;                       // per controller, of one core, including the simulation's own work
  double steps = 0.0, facts = 0.0;        // per second and controller: events and ticks, facts accepted
  double suspicions = 0.0, deaths = 0.0;  // false ones, per hour and controller
  std::uint64_t digest = 0;
  std::string events;  // per second and controller, by kind
};
Quiet quiet(std::size_t size, std::size_t offices, std::uint64_t seed, double loss, Duration span);

}  // namespace reeltack::test
