// One reeltack on a core of its own, with stand-in centrales and the generator on the others.
//
// Owns: the controller's process, its centrales, and what one trial at a steady rate has measured.
// Must never: judge a trial.
#pragma once

#include <memory>
#include <string>

#include "load/plan/side_by_side.h"
#include "standin/centrales.h"
#include "standin/controller.h"

namespace reeltack::ctl {

// Pins this process to all its cores but the last, and returns that one; -1 where there is only one.
int keep_off_last_core();

struct RigSetup {
  std::string binary;
  std::string wire = "sip";  // or ws
  std::size_t connections = 16;
  std::size_t centrales = 20;
  int cpu = -1;  // of the controller
  int slot = 0;  // 0 .. 9: rigs beside each other have addresses and folders of their own
};

struct Trial {
  double rate = 0.0;
  load::Measured measured;
  double busy = 0.0;           // of the controller's core
  bool generator_late = true;  // what was measured is the generator
  bool sound = false;          // no rule of calls was broken
};

class Rig {
 public:
  explicit Rig(const RigSetup& setup);  // throws std::runtime_error where the program does not start
  // Set-ups at a Poisson rate a second for so long, each call held so long; then waits (for 3 s at the most)
  // until the controller has nothing left to do.
  Trial play(double rate, Duration span, Duration hold = std::chrono::milliseconds(200));
  [[nodiscard]] standin::Controller& controller() { return *controller_; }

 private:
  void settle();
  const RigSetup setup_;
  std::unique_ptr<standin::Centrales> centrales_;
  std::unique_ptr<standin::Controller> controller_;
};

}  // namespace reeltack::ctl
