// One recovering server beside warm ones, and the check of the requests that it got.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "world.h"

namespace reeltack::test {

using namespace std::chrono_literals;

/// The number of controllers, and the N of the recovering server at its start (see budget.h).
struct Size {
  std::size_t controllers = 1;
  double n = 5.0;
};

/// 1, 2, 7, 60 and 300 controllers with N of 5, 29, 30 and 500.
std::vector<Size> all_sizes();
/// A selection of them: those that differ most.
std::vector<Size> some_sizes();
/// The same without the largest N, for tests that take long.
std::vector<Size> small_sizes();
std::string name_of(const ::testing::TestParamInfo<Size>& info);

/// Two classes of equal work, and the rule's parameters as a typical customer has them.
Settings usual_settings(std::size_t controllers);

/// A plan with the usual settings.
WorldPlan usual_plan(const Size& size, std::uint64_t seed);

inline constexpr std::uint32_t kRecovering = 1;  // the recovering server; warm ones have higher numbers
inline constexpr std::uint32_t kWarmServers = 4;
inline constexpr double kUsualLoad = 0.9;  // fraction of the capacity of all servers when warm

/// A world with warm servers at its usual load.
class Recovery {
 public:
  Recovery(const Size& size, std::uint64_t seed) : Recovery(size, usual_plan(size, seed)) {}
  Recovery(const Size& size, const WorldPlan& plan);

  World world;

  /// Of each server when warm, in calls per second.
  [[nodiscard]] double capacity() const { return capacity_; }
  /// Sets the load to a multiple of the usual load from now on.
  void set_load(double multiple) { world.set_load(multiple * kUsualLoad * capacity_ * (kWarmServers + 1)); }
  void advance(Duration duration) { world.run_until(world.now() + duration); }
  /// The recovering server starts; each controller is notified within `max_delay`.
  void start(Duration max_delay = {}) { world.start(kRecovering, capacity_, max_delay); }
  /// All warm servers are removed for good; every controller is notified at once.
  void remove_warm_servers();
  /// Advances by a full ramp and one window.
  void advance_past_ramp() { advance(settings_.ramp + settings_.fall_span); }

  /// Fails the test if a start got more than the rule allows from the controllers that had been notified of
  /// it; prints the worst window.
  void expect_within_budget(const std::string& title) const;

 private:
  Size size_;
  std::uint64_t seed_;
  Settings settings_;
  double capacity_;
};

/// Seeds for a size: more where a run is cheap, most where random variation leaves the smallest margin.
std::vector<std::uint64_t> seeds_for(const Size& size);

}  // namespace reeltack::test
