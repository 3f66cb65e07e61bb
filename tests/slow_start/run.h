// One recovering server beside warm ones, and how a test reads what it got.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "world.h"

namespace reeltack::test {

using namespace std::chrono_literals;

/// How many controllers, and the N that the rule allows the recovering server at its start.
struct Size {
  std::size_t controllers = 1;
  double n = 5.0;
};

/// 1, 2, 7, 60 and 300 controllers with N of 5, 29, 30 and 500.
std::vector<Size> all_sizes();
/// Those of them that differ most.
std::vector<Size> some_sizes();
/// The same without the largest, for what takes long.
std::vector<Size> small_sizes();
std::string name_of(const ::testing::TestParamInfo<Size>& info);

/// Two classes of equal work, and the rule's figures as a customer of the usual kind has them.
Settings usual_settings(std::size_t controllers);

/// A plan of the usual kind.
WorldPlan usual_plan(const Size& size, std::uint64_t seed);

inline constexpr std::uint32_t kRecovering = 1;  // the server that is followed; warm ones have higher numbers
inline constexpr std::uint32_t kWarmServers = 4;
inline constexpr double kUsualLoad = 0.9;  // of what all servers can do when warm

/// A world with warm servers at its usual load.
class Recovery {
 public:
  Recovery(const Size& size, std::uint64_t seed) : Recovery(size, usual_plan(size, seed)) {}
  Recovery(const Size& size, const WorldPlan& plan);

  World world;

  [[nodiscard]] double capacity() const { return capacity_; }  // of each server when warm, a second
  /// So many times the usual load from now on.
  void load(double multiple) { world.load(multiple * kUsualLoad * capacity_ * (kWarmServers + 1)); }
  /// Time passes.
  void pass(Duration span) { world.run_until(world.now() + span); }
  /// The recovering server starts.
  void start(Duration lateness = {}) { world.start(kRecovering, capacity_, lateness); }
  /// All warm servers go for good; every controller is notified at once.
  void remove_warm_servers();
  /// The rest of the ramp, and the window that ends it.
  void pass_ramp() { pass(settings_.ramp + settings_.fall_span); }

  /// Fails the test where a start got more than the rule allows; prints the worst window of all.
  void expect_within_budget(const std::string& title) const;

 private:
  Size size_;
  std::uint64_t seed_;
  Settings settings_;
  double capacity_;
};

/// Seeds for a size: more where a run is cheap, most where chance leaves the least room.
std::vector<std::uint64_t> seeds_for(const Size& size);

}  // namespace reeltack::test
