// A second power loss at each stage of the return from the first one, under load.
#include "power.h"

namespace reeltack::rig {
namespace {

// Whether one of the controllers has logged since `from` that it reached the stage. `restored` and `partial`
// are passed within one step of the program, so that no outside event can occur in them.
bool reached(Rig& rig, const std::string& stage, const std::vector<std::size_t>& from) {
  for (std::size_t i = 0; i < rig.pack().size(); ++i) {
    const std::string text = rig.pack().member(i).log().substr(from[i]);
    if (text.find(" to=" + stage) != std::string::npos) return true;
  }
  return false;
}
// The stage in which each controller was killed, according to the end of its log.
std::string stages_at_kill(Rig& rig, const std::vector<std::size_t>& from) {
  std::string out;
  for (std::size_t i = 0; i < rig.pack().size(); ++i) {
    const std::string text = rig.pack().member(i).log().substr(from[i]);
    const std::size_t line = text.rfind("fleet stage");
    const std::size_t to = line == std::string::npos ? line : text.find(" to=", line);
    out += " " + (to == std::string::npos ? "dark" : text.substr(to + 4, text.find(' ', to + 4) - to - 4));
  }
  return out;
}

TEST(SecondLoss, AtEachStageOfTheFirstReturnServiceIsRestoredAndNoColdOfficeFalls) {
  RigSettings settings = power_settings();
  settings.controllers = 6;
  settings.load_duration = 150s;
  settings.ramp = 60s;  // so that the office listed as cold first stays cold for at least two returns
  settings.processor.replace(settings.processor.find("15s"), 3, "60s");
  Power power(settings);
  power.warm();
  ASSERT_FALSE(::testing::Test::HasFatalFailure());
  Rig& rig = power.rig;
  power.restart_listed_office();
  rig.set_discovery_reachable(false);
  for (const std::string stage : {"dark", "asking", "probation", "full"}) {
    rig.pack().kill_all_at_once();
    rig.offices().befall({standin::Trouble::Kind::restart, {}, {Power::kCold}, 100ms, 1.0});
    std::vector<std::size_t> from;
    for (std::size_t i = 0; i < rig.pack().size(); ++i) from.push_back(rig.pack().member(i).log().size());
    // With a clock a day ahead the stored state is old and all offices are on trial, so that probation lasts.
    const auto ahead = [&](Duration by) {
      for (std::size_t i = 0; i < rig.pack().size(); ++i) rig.pack().set_clock_offset(i, by);
    };
    if (stage == "probation") ahead(24h);
    for (std::size_t i = 0; i < rig.pack().size(); ++i) rig.pack().launch(i);
    if (stage != "dark") {
      EXPECT_TRUE(rig.until(30s, [&] { return reached(rig, stage, from); })) << stage << power.logs();
    }
    rig.pack().kill_all_at_once();
    if (stage == "probation") ahead(0s);
    const std::string stages = stages_at_kill(rig, from);
    std::printf("killed on the way back, at%s; ", stages.c_str());
    EXPECT_NE(stages.find(stage), std::string::npos) << stages;
    power.power_returns();
    // Stored across both losses: the office whose start was received. With the other clock all are of unknown
    // warmth.
    if (stage == "dark" || stage == "asking") {
      EXPECT_TRUE(rig.until(5s, [&] { return rig.all("offices_cold", 1); })) << power.figures();
    }
    EXPECT_TRUE(power.all_logged(" to=probation", 20s)) << stage << power.logs();
    EXPECT_TRUE(power.settled(45s)) << stage << "\n" << power.figures() << power.logs();
    EXPECT_TRUE(power.all_logged("how=opened", 0s)) << stage << power.logs();
  }
  rig.set_discovery_reachable(true);
  EXPECT_TRUE(power.agree(8, 0, 20s)) << power.figures();
  EXPECT_TRUE(rig.all("failed", 0));
  power.judge(0.3, false);  // no office drains here
}

}  // namespace
}  // namespace reeltack::rig
