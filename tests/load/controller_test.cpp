// The generator against reeltack itself, with fake endpoints behind it.
//
// Nothing here rests on how fast this machine is: counts are held exactly.
#include "standin/controller.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <thread>

#include "load/player.h"
#include "standin/centrales.h"
#include "virtual.h"

namespace reeltack::load::test {
namespace {

using namespace std::chrono_literals;

// reeltack between the generator and fake endpoints, with everything going wrong.
class WithController : public ::testing::Test {
 protected:
  void start(const std::string& troubles, bool ws_centrale = false) {
    std::string file =
        "bulletin: " + standin::own_host(2) + ":2379\ncentrales:\n  - {count: 3, at: \"" +
        standin::own_host(10) +
        ":2905\", lines: 400, processor: {set_up: 2ms, answer: 1ms, release: 1ms, refuse: 500us}}\n";
    if (ws_centrale)
      file +=
          "  - {at: \"" + standin::own_host(1) + ":5070\", wire: ws, place: 3, processor: {set_up: 2ms}}\n";
    if (!troubles.empty()) file += "troubles:\n" + troubles;
    centrales_ = std::make_unique<standin::Centrales>(standin::parse_centrales(file, "test"));
    standin::ControllerSetup s;
    s.binary = REELTACK_BINARY;
    s.dir = ::testing::TempDir() + "controller-" + std::to_string(::getpid());
    s.sip = {standin::own_host(1), 5060};
    s.websocket = standin::own_host(1) + ":5070";
    s.bulletin = standin::own_host(2) + ":2379";
    s.known = centrales_->known_json();
    s.classes.push_back({"voice", 1500ms, 9s, 1.0, 0.25});
    controller_ = std::make_unique<standin::Controller>(std::move(s));
  }
  std::unique_ptr<Played> play(const Scenario& s) {
    PlayerOptions o;
    o.targets = {{Target::Kind::sip, {standin::own_host(1), 5060}},
                 {Target::Kind::ws, {standin::own_host(1), 5070}}};
    return load::play(s, o);
  }
  RulesChecker::Found judged() {
    RulesChecker checker;
    for (const auto& e : centrales_->take_log()) checker.take(e);
    checker.finish();
    return checker.found();
  }
  static Scenario scenario(Duration span) {
    Scenario s = simple(100.0, span);
    s.places = 3;
    s.connections = 3;
    s.redials = 3;
    s.lateness_bound = 10s;
    return s;
  }
  std::unique_ptr<standin::Centrales> centrales_;
  std::unique_ptr<standin::Controller> controller_;
};

TEST_F(WithController, BothWiresAreServedAndTheCentralesAgree) {
  start("", true);
  const auto run = play(scenario(3s));
  const auto rules = judged();
  EXPECT_EQ(run->recorder.all().results[0], run->recorder.all().planned);
  EXPECT_EQ(run->recorder.violations().total(), 0U);
  EXPECT_EQ(rules.total(), 0U) << rules.samples.front();
  EXPECT_EQ(rules.stood, run->recorder.all().planned);
  EXPECT_TRUE(controller_->stop());
}

TEST_F(WithController, TroublesAmongTheCentralesBreakNoRule) {
  start(
      "  - {at: 1s, do: pause, centrales: [0], lasts: 1s}\n"
      "  - {at: 2s, do: lose_lines, centrales: [1], factor: 0.9, lasts: 1s}\n"
      "  - {at: 2500ms, do: replace, centrales: [2], lasts: 500ms}\n"
      "  - {at: 3500ms, do: drain, centrales: [1], lasts: 1s}\n"
      "  - {at: 4s, do: silent, centrales: [0], lasts: 500ms}\n");
  const auto run = play(scenario(5s));
  const auto rules = judged();
  EXPECT_EQ(run->recorder.all().ended(), run->recorder.all().planned);
  EXPECT_EQ(run->recorder.violations().total(), 0U) << run->recorder.violations().samples.front();
  EXPECT_EQ(rules.total(), 0U) << rules.samples.front();
  EXPECT_GT(run->recorder.all().results[0], run->recorder.all().planned / 2);
}

TEST_F(WithController, RestartMidRunLosesNoCallInSilence) {
  start("");
  std::thread restart([this] {
    std::this_thread::sleep_for(1500ms);
    controller_->restart(false, 300ms);
  });
  const auto run = play(scenario(4s));
  restart.join();
  EXPECT_GE(run->breaks, 6U);
  EXPECT_EQ(run->recorder.all().ended(), run->recorder.all().planned);
  EXPECT_EQ(run->recorder.violations().total(), 0U);
  EXPECT_GT(run->recorder.all().results[0], run->recorder.all().planned / 2);
  EXPECT_EQ(judged().total(), 0U);
}

// A second program beside the first, under load on both wires: whichever takes a call gives it its one
// answer, and only what crosses the old one's last closes is dialled again.
TEST_F(WithController, ReplacementUnderLoadAnswersAllThatEitherTook) {
  start("");
  bool ended_well = false;
  std::thread handover([this, &ended_well] {
    std::this_thread::sleep_for(1500ms);
    ended_well = controller_->replace();
  });
  Scenario s = scenario(6s);
  s.connections = 12;
  const auto run = play(s);
  handover.join();
  EXPECT_TRUE(ended_well) << controller_->log();
  EXPECT_GE(run->breaks, 1U);  // the old one did end under it
  const Tally& all = run->recorder.all();
  EXPECT_EQ(all.ended(), all.planned);
  EXPECT_EQ(run->recorder.violations().total(), 0U);
  EXPECT_EQ(all.results[static_cast<std::size_t>(Result::unanswered)], 0U);
  EXPECT_GT(all.results[0], all.planned * 9 / 10);
  EXPECT_EQ(judged().total(), 0U);
}

}  // namespace
}  // namespace reeltack::load::test
