// A load scenario as data: what arrives, who calls, how long they wait, what a call is worth.
//
// Owns: the shapes, units and defaults of a scenario.
// Must never: read a file; src/load/scenario_file does that.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "reeltack/controller.h"

namespace reeltack::load {

enum class Process { constant, poisson, mmpp, trace };
enum class HoldLaw { constant, exponential, lognormal };
enum class ReleasedBy { caller, centrale };

struct State {  // of a Markov-modulated Poisson process
  double factor = 1.0;
  Duration mean{};  // of its sojourn, exponential
};
// A trapezoid on the rate: 1, up to `factor` within `rise`, there for `hold`, back to 1 within `fall`.
struct Shape {
  Duration at{};
  double factor = 1.0;
  Duration rise{};
  Duration hold{};
  Duration fall{};
  [[nodiscard]] Duration end() const { return at + rise + hold + fall; }
};
struct LoadClass {
  std::string name;
  double share = 1.0;  // of the sum of all shares
  Duration aim{};
  Duration deadline{};
  double patience = 0.35;  // of the deadline
  double worth = 1.0;
  double late_worth = 0.25;  // of the worth
  double leaves_early = 0.0;
  HoldLaw hold_law = HoldLaw::exponential;
  Duration hold_mean = std::chrono::milliseconds(400);
  double hold_sigma = 1.0;
};

struct Scenario {
  std::uint64_t seed = 1;
  Duration duration{};
  Duration settle = std::chrono::seconds(1);
  Process process = Process::poisson;
  double rate = 0.0;  // calls a second, all classes
  std::vector<State> states;
  std::string trace;
  double speed = 1.0;
  std::vector<Shape> shapes;  // in order, none over another
  std::vector<LoadClass> classes;
  int redials = 0;
  Duration redial_wait = std::chrono::milliseconds(500);
  double redial_spread = 0.0;
  bool cut_comes_again = false;
  std::uint32_t places = 1;
  Duration drift_least{};  // 0: the first choice does not drift
  Duration drift_most{};
  std::uint64_t numbers = 100'000;
  double zipf = 0.0;
  std::size_t connections = 16;
  ReleasedBy released_by = ReleasedBy::caller;
  Duration lateness_bound = std::chrono::milliseconds(10);
  std::size_t backlog_bytes = std::size_t{64} * 1024 * 1024;
};

}  // namespace reeltack::load
