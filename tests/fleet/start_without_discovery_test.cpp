// A controller of a fleet is killed and started again while discovery is down. The list of its start limits
// what its peer, and its own older store, say of the offices.
#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "base/wall_clock.h"
#include "judged.h"
#include "rig.h"

namespace reeltack::rig {
namespace {

using Endpoints = nlohmann::json;
using Offices = std::set<std::uint32_t>;

constexpr Duration kToStopSending = 300ms;  // 250 ms, and 50 ms for sockets

enum class Killed { one, both };

class StartWithoutDiscovery : public testing::TestWithParam<Killed> {
 protected:
  StartWithoutDiscovery()
      : rig({.controllers = 2, .offices = 3, .rate = 30.0, .load_duration = 5s, .ramp = 60s}) {}

  // Both serve and know each other's view; then discovery goes down and one or both are killed.
  void lose_discovery() {
    rig.pack().start_all();
    ASSERT_TRUE(rig.until(20s, [&] { return rig.all("alive", 2) && rig.all("stage", 5); }));
    rig.warm(6s);  // longer than the loss window: n0 counts as a survivor
    rig.set_discovery_reachable(false);
    rig.pack().kill(1);
    if (GetParam() == Killed::both) rig.pack().kill(0);
  }
  // Starts n1 with a changed list, plays load against it alone and returns the offices that it used.
  Offices offices_used_after(const std::function<void(Endpoints&)>& change) {
    change_list_of_n1(change);
    if (GetParam() == Killed::both) rig.pack().start(0);
    rig.pack().start(1);
    const Time ready = base::now();
    rig.play(1);
    const auto played = rig.played();
    EXPECT_EQ(played->recorder.violations().total(), 0U);
    return offices_used(split_events(rig.offices().take_log(), played->tries, 1).of.at(0),
                        ready + kToStopSending);
  }
  void change_list_of_n1(const std::function<void(Endpoints&)>& change) {
    const std::string path = rig.pack().dir(1) + "/config.json";
    nlohmann::json config = nlohmann::json::parse(std::ifstream(path));
    change(config.at("known").at("items").at(0).at("roster").at("endpoints"));
    std::ofstream(path) << config.dump();
  }
  [[nodiscard]] std::string log() { return rig.pack().member(1).log(); }

  Rig rig;
};

// All set-ups went to an office that only the peer or the older store named.
TEST_P(StartWithoutDiscovery, SendsNothingToAnOfficeThatTheListLacks) {
  ASSERT_NO_FATAL_FAILURE(lose_discovery());
  EXPECT_EQ(offices_used_after([](Endpoints& list) { list.erase(0); }), (Offices{2, 3})) << log();
}

TEST_P(StartWithoutDiscovery, SendsNothingToAnOfficeThatTheListHasAsDraining) {
  ASSERT_NO_FATAL_FAILURE(lose_discovery());
  EXPECT_EQ(offices_used_after([](Endpoints& list) { list[0]["status"] = "terminating"; }), (Offices{2, 3}))
      << log();
}

TEST_P(StartWithoutDiscovery, SendsNothingWhereTheListHasNoOffice) {
  ASSERT_NO_FATAL_FAILURE(lose_discovery());
  EXPECT_EQ(offices_used_after([](Endpoints& list) { list.clear(); }), Offices{}) << log();
}

// The peer and the store have it at its old address; the list has it where office 3 listens.
TEST_P(StartWithoutDiscovery, SendsToTheAddressInTheListAlone) {
  ASSERT_NO_FATAL_FAILURE(lose_discovery());
  const Offices used = offices_used_after([](Endpoints& list) {
    list[0]["address"] = list[2]["address"];
    list.erase(2);
  });
  EXPECT_FALSE(used.contains(1)) << log();
  EXPECT_TRUE(used.contains(3)) << log();
}

// The list knows of a restart since; by the peer's older view the office was taken for warm.
TEST_P(StartWithoutDiscovery, AnOfficeThatTheListHasAsRestartedIsCold) {
  ASSERT_NO_FATAL_FAILURE(lose_discovery());
  const std::int64_t now_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(base::wall_now().time_since_epoch()).count();
  const Offices used = offices_used_after([&](Endpoints& list) { list[0]["since_ms"] = now_ms; });
  EXPECT_EQ(rig.figure(1, "offices_cold"), 1) << log();
  EXPECT_TRUE(used.contains(2) && used.contains(3))
      << log();  // 1 is the first choice of all, once it is warm
}

INSTANTIATE_TEST_SUITE_P(Killed, StartWithoutDiscovery, testing::Values(Killed::one, Killed::both),
                         [](const auto& info) {
                           return info.param == Killed::one ? std::string("One") : std::string("Both");
                         });

}  // namespace
}  // namespace reeltack::rig
