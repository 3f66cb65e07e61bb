// Model checking of the fleet's recovery: three instances of the production Recovery class in every schedule
// that differs from the undisturbed one by at most a given number of deviations (delay-bounded: Emmi, Qadeer,
// Rakamaric 2011), up to a depth in steps and a number of states; both are printed. Invariants:
// ModelWorld::check().
#include <gtest/gtest.h>

#include <cstdio>
#include <stdexcept>
#include <unordered_set>
#include <vector>

#include "model_world.h"

namespace reeltack::fleet::recovery {
namespace {

constexpr std::uint64_t kUndisturbedOneIn = 16;  // of the states: from these recovery must complete

struct Bound {
  int depth = 0;
  int deviations = 0;
  std::size_t states = 0;
  std::uint64_t second_one_in = 1;  // of the states with more than one deviation: one in so many is followed
};

class Search {
 public:
  Search(Beginning beginning, const Bound& bound, ModelFaults faults = {})
      : beginning_(beginning), bound_(bound), faults_(faults) {}

  // Returns the first path to a fault in order of depth, or an empty string.
  std::string run() {
    std::vector<Node> level{{ModelWorld(beginning_, faults_), 0, ""}};
    for (depth_ = 0; depth_ < bound_.depth && !level.empty() && fault_.empty(); ++depth_) {
      std::vector<Node> next;
      for (const Node& node : level) {
        expand(node, Move{}, next);
        if (node.deviations < bound_.deviations)
          for (const Move& move : node.world.moves()) expand(node, move, next);
        if (!fault_.empty() || full()) break;
      }
      if (full()) break;
      level = std::move(next);
    }
    std::printf(
        "model: %zu states, depth %d of %d, %d deviations, %zu run undisturbed, calls %llu accepted %llu "
        "refused%s%s\n",
        seen_.size(), depth_, bound_.depth, bound_.deviations, undisturbed_,
        static_cast<unsigned long long>(accepted_), static_cast<unsigned long long>(refused_),
        fault_.empty() ? "" : "; ", fault_.c_str());
    return fault_;
  }
  [[nodiscard]] bool complete() const { return depth_ == bound_.depth; }

 private:
  struct Node {
    ModelWorld world;
    int deviations = 0;
    std::string path;
  };
  [[nodiscard]] bool full() const { return seen_.size() >= bound_.states; }
  void expand(const Node& from, const Move& move, std::vector<Node>& next) {
    if (!fault_.empty() || full()) return;
    Node to = from;
    const bool deviates = move.kind != Deviation::none;
    if (deviates) {
      ++to.deviations;
      to.path += std::to_string(depth_) + ": " + text(move) + "; ";
    }
    try {
      to.world.step(move);
      const std::uint64_t state = to.world.fingerprint();
      if (!seen_.insert(state * 4 + static_cast<std::uint64_t>(to.deviations)).second) return;
      if (deviates && to.deviations > 1 && state / kUndisturbedOneIn % bound_.second_one_in != 0) return;
      if (state % kUndisturbedOneIn == 0) {
        ++undisturbed_;
        if (!to.world.recovers(std::chrono::seconds(45)))
          throw std::logic_error("recovery has not completed after 45 s without deviations");
      }
      accepted_ += to.world.accepted() - from.world.accepted();
      refused_ += to.world.refused() - from.world.refused();
      next.push_back(std::move(to));
    } catch (const std::logic_error& error) {
      fault_ = std::string(error.what()) + " after: " + to.path + "(step " + std::to_string(depth_) + ")";
    }
  }
  const Beginning beginning_;
  const Bound bound_;
  const ModelFaults faults_;
  std::unordered_set<std::uint64_t> seen_;
  std::string fault_;
  int depth_ = 0;
  std::size_t undisturbed_ = 0;
  std::uint64_t accepted_ = 0, refused_ = 0;
};

// The bounds are on depth and states, not on time, so that the verdict is the same everywhere.
constexpr std::size_t kMaxStates = 400'000;
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int kReduction = 8;
#else
constexpr int kReduction = 0;
#endif

class FleetModel : public testing::TestWithParam<Beginning> {};
TEST_P(FleetModel, OneDeviationAnywhere) {
  Search search(GetParam(), {.depth = 32 - 2 * kReduction, .deviations = 1, .states = kMaxStates});
  EXPECT_EQ(search.run(), "");
  EXPECT_TRUE(search.complete());
}
TEST_P(FleetModel, TwoEarlyDeviations) {
  Search search(GetParam(), {.depth = kReduction > 0 ? 3 : 6, .deviations = 2, .states = kMaxStates});
  EXPECT_EQ(search.run(), "");
  EXPECT_TRUE(search.complete());
}
TEST_P(FleetModel, TwoDeviationsAnywhereThinned) {
  Search search(GetParam(), {.depth = 18 - kReduction,
                             .deviations = 2,
                             .states = kMaxStates,
                             .second_one_in = kReduction > 0 ? 512 : 64});
  EXPECT_EQ(search.run(), "");
  EXPECT_TRUE(search.complete());
}
TEST_P(FleetModel, ThreeDeviationsAtOnce) {
  Search search(GetParam(), {.depth = kReduction > 0 ? 2 : 4, .deviations = 3, .states = kMaxStates});
  EXPECT_EQ(search.run(), "");
  EXPECT_TRUE(search.complete());
}
// A newcomer that restarts does not skip the wait for its share.
TEST(FleetModelUnplanned, InvariantsHoldBeforeAPartitionCanMatter) {
  Search search(Beginning::unplanned, {.depth = 5, .deviations = 2, .states = kMaxStates});
  EXPECT_EQ(search.run(), "");
  EXPECT_TRUE(search.complete());
}
std::string name_of(const testing::TestParamInfo<Beginning>& at) {
  static constexpr const char* kNames[] = {"Dark", "Survivor", "Quiet", "Growing"};
  return kNames[static_cast<std::size_t>(at.param)];
}
INSTANTIATE_TEST_SUITE_P(From, FleetModel,
                         testing::Values(Beginning::dark, Beginning::survivor, Beginning::quiet,
                                         Beginning::growing),
                         name_of);

// The search has to find injected faults.
TEST(FleetModelFault, FindsAnAllowanceDividedByTheVisibleSize) {
  const std::string fault =
      Search(Beginning::quiet, {.depth = 8, .deviations = 1, .states = kMaxStates}, {.visible_size = true})
          .run();
  EXPECT_NE(fault.find("the shares add up to"), std::string::npos) << fault;
}
TEST(FleetModelFault, FindsAStoredListThatOverridesASurvivorsReport) {
  const std::string fault = Search(Beginning::survivor, {.depth = 8, .deviations = 1, .states = kMaxStates},
                                   {.stored_over_reported = true})
                                .run();
  EXPECT_NE(fault.find("an ended office"), std::string::npos) << fault;
}
// The limit stated in leases.h: without the planned size, a member that is cut off cannot know that the fleet
// has grown.
TEST(FleetModelFault, FindsThatGrowthAcrossAPartitionNeedsThePlannedSize) {
  const std::string fault =
      Search(Beginning::unplanned, {.depth = 32, .deviations = 1, .states = kMaxStates}).run();
  EXPECT_NE(fault.find("the shares add up to"), std::string::npos) << fault;
}

}  // namespace
}  // namespace reeltack::fleet::recovery
