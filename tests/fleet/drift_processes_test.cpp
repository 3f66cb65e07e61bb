// The drift of rules over several processes: a controller that decides by other rules is found and named, and
// partitions or power losses never approve two versions of one epoch.
#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>

#include "rig.h"

namespace reeltack::rig {
namespace {

constexpr std::size_t kControllers = 12;

std::string version(int epoch, int attempts) {
  return "version:\n  epoch: " + std::to_string(epoch) +
         "\n  rules:\n    module.attempts: " + std::to_string(attempts) +
         "\n    class.estado-viaje.deadline: 9s\n    classes: estado-viaje,pedido-viaje,posicion-movil\n"
         "    fleet.every: 1s\n";
}

// A fleet without load: the comparison of rules does not depend on calls.
class Drift {
 public:
  explicit Drift(std::function<void(std::size_t, standin::ControllerSetup&)> adjust = {})
      : rig(settings(std::move(adjust))) {
    rig.pack().start_all();
  }
  static RigSettings settings(std::function<void(std::size_t, standin::ControllerSetup&)> adjust) {
    RigSettings out;
    out.controllers = kControllers;
    out.offices = 2;
    out.rules = true;
    out.adjust = std::move(adjust);
    return out;
  }
  void offer(std::size_t i, const std::string& text) {
    std::ofstream(rig.pack().dir(i) + "/rules.yaml") << text;
    rig.pack().member(i).signal(SIGHUP);
  }
  // Waits until the figure has the value at all controllers that are up, or at the given ones.
  bool await(Duration limit, const std::string& figure, std::int64_t value,
             std::vector<std::size_t> at = {}) {
    if (at.empty())
      for (std::size_t i = 0; i < kControllers; ++i) at.push_back(i);
    return rig.until(limit, [&] {
      for (const std::size_t i : at)
        if (rig.pack().state(i) == standin::Pack::State::up && rig.figure(i, figure) != value) return false;
      return true;
    });
  }
  // Whether the figure never exceeds the value in this time at any controller that is up.
  bool stays(Duration lasts, const std::string& figure, std::int64_t value) {
    bool out = true;
    for (const Time end = base::now() + lasts; out && base::now() < end;)
      for (std::size_t i = 0; i < kControllers; ++i)
        if (rig.pack().state(i) == standin::Pack::State::up && rig.figure(i, figure) > value) out = false;
    return out;
  }
  std::string figures() {
    std::string out;
    for (std::size_t i = 0; i < kControllers; ++i) {
      out += Rig::name(i);
      for (const char* figure :
           {"rules_epoch", "rules_in_step", "rules_adopting", "rules_pending", "rules_drifted",
            "rules_critical", "rules_unreachable", "rules_conflict", "alive"})
        out += std::string(" ") + figure + "=" + std::to_string(rig.figure(i, figure));
      out += "\n";
    }
    return out;
  }
  // Number of controllers whose log contains the pattern.
  std::size_t logged(const std::string& pattern) {
    std::size_t out = 0;
    for (std::size_t i = 0; i < kControllers; ++i)
      out += rig.pack().member(i).log().find(pattern) != std::string::npos ? 1 : 0;
    return out;
  }
  void restart(std::size_t i) {
    EXPECT_TRUE(rig.pack().terminate(i));
    rig.pack().start(i);
  }
  Rig rig;
};

std::vector<std::string> names(std::size_t from, std::size_t to) {
  std::vector<std::string> out;
  for (std::size_t i = from; i < to; ++i) out.push_back(Rig::name(i));
  return out;
}
std::vector<std::size_t> numbers(std::size_t from, std::size_t to) {
  std::vector<std::size_t> out;
  for (std::size_t i = from; i < to; ++i) out.push_back(i);
  return out;
}

// n4 has a different limit of attempts in its file, n7 a misspelt class, n9 an additional class; n2 states a
// default.
TEST(DriftProcesses, ControllersWithOtherRulesAreFoundAndNamed) {
  Drift d([](std::size_t i, standin::ControllerSetup& setup) {
    if (i == 4) setup.attempts = 4;
    if (i == 7) setup.classes[0].name = "estado-viage";
    if (i == 9) setup.classes.push_back({"extra", 2s, 9s, 1.0, 0.25});
    if (i == 2) setup.fleet += "  exchange: {every: 1s}\n";
  });
  d.offer(0, version(1, 5));
  EXPECT_TRUE(d.await(15s, "rules_epoch", 1)) << d.figures();
  const Time approved = base::now();
  // None of the three has restarted since the approval: until then a difference is pending and not drift.
  EXPECT_TRUE(d.await(10s, "rules_pending", 3)) << d.figures();
  EXPECT_TRUE(d.await(10s, "rules_in_step", 9)) << d.figures();
  std::printf("all know of the three %.2f s after the approval\n",
              std::chrono::duration<double>(base::now() - approved).count());
  EXPECT_TRUE(d.stays(2s, "rules_drifted", 0)) << d.figures();
  // At a start the approved rules are applied over the file. Where that is impossible, the controller runs by
  // other rules and is named.
  for (const std::size_t i : {4, 7, 9}) d.restart(i);
  const Time started = base::now();
  EXPECT_TRUE(d.await(15s, "rules_drifted", 2)) << d.figures();
  std::printf("all have the alarm %.2f s after the last start\n",
              std::chrono::duration<double>(base::now() - started).count());
  EXPECT_TRUE(d.await(10s, "rules_in_step", 10)) << d.figures();
  EXPECT_TRUE(d.await(5s, "rules_pending", 0)) << d.figures();
  EXPECT_EQ(d.logged("rules epoch=1 laid_over=yes"), 1U);
  EXPECT_EQ(d.logged("laid_over=no refused=\"class.estado-viaje.deadline: is no rule\""), 1U);
  EXPECT_EQ(d.logged("drift name=n7 alarm=raised view=diverged"), 3U) << "itself and two observers";
  EXPECT_EQ(d.logged("class.estado-viaje.deadline=\"nothing\" wanted=\"9000000000ns\""), 3U);
  EXPECT_EQ(d.logged("drift name=n9 alarm=raised"), 3U);
}

// The fleet is partitioned while versions of the same epoch are offered on both sides.
TEST(DriftProcesses, OfAPartitionInFiveAndSevenOnlyTheSevenApprove) {
  Drift d;
  d.offer(3, version(1, 5));
  ASSERT_TRUE(d.await(15s, "rules_epoch", 1)) << d.figures();
  d.rig.between().partition(names(0, 5), names(5, 12));
  d.offer(0, version(2, 4));
  EXPECT_TRUE(d.rig.until(10s, [&] { return d.logged("version epoch=2 offered=yes") == 1; }));
  EXPECT_TRUE(d.stays(3s, "rules_epoch", 1)) << d.figures();
  d.offer(11, version(2, 3));
  EXPECT_TRUE(d.await(15s, "rules_epoch", 2, numbers(5, 12))) << d.figures();
  EXPECT_TRUE(d.await(1s, "rules_epoch", 1, numbers(0, 5))) << d.figures();
  d.rig.between().heal();
  EXPECT_TRUE(d.await(45s, "rules_epoch", 2)) << d.figures();
  for (std::size_t i = 0; i < kControllers; ++i) d.restart(i);
  EXPECT_TRUE(d.await(30s, "rules_in_step", 12)) << d.figures();
  EXPECT_EQ(d.logged("laid_over=yes"), 12U);
}

// All controllers lose power; half of the disks are restored from a copy that is two epochs old.
TEST(DriftProcesses, AfterAPowerLossWithOldDisksTheNewestApprovedVersionHolds) {
  Drift d;
  d.offer(0, version(1, 4));
  ASSERT_TRUE(d.await(15s, "rules_epoch", 1)) << d.figures();
  for (std::size_t i = 0; i < 6; ++i) d.rig.pack().save_store(i, "old");
  for (const int epoch : {2, 3}) {
    d.offer(11, version(epoch, epoch == 2 ? 3 : 5));
    ASSERT_TRUE(d.await(15s, "rules_epoch", epoch)) << d.figures();
  }
  EXPECT_TRUE(d.await(10s, "rules_in_step", 12)) << "their files say 5" << d.figures();
  d.rig.pack().kill_all_at_once();
  for (std::size_t i = 0; i < 6; ++i) d.rig.pack().restore_store(i, "old");
  for (std::size_t i = 0; i < kControllers; ++i) std::filesystem::remove(d.rig.pack().dir(i) + "/rules.yaml");
  d.rig.pack().start_all();
  EXPECT_TRUE(d.await(30s, "rules_epoch", 3)) << d.figures();
  // Six have started with 4 attempts, which only another start changes.
  EXPECT_TRUE(d.await(10s, "rules_pending", 6)) << d.figures();
  for (std::size_t i = 0; i < 6; ++i) d.restart(i);
  EXPECT_TRUE(d.await(30s, "rules_in_step", 12)) << d.figures();
}

// Two controllers restart at a time, over links that lose a fifth of the messages and delay each by 100 ms:
// no alarm may occur.
TEST(DriftProcesses, RestartsOverLossyAndSlowLinksAreNoDrift) {
  Drift d;
  d.offer(0, version(1, 5));
  ASSERT_TRUE(d.await(15s, "rules_epoch", 1)) << d.figures();
  const auto all = names(0, kControllers);
  d.rig.between().set({all, all}, {.drop = 0.2, .delay = 100ms});
  for (std::size_t i = 0; i < kControllers; i += 2) {
    d.restart(i);
    d.restart(i + 1);
    EXPECT_TRUE(d.stays(2s, "rules_drifted", 0)) << i << "\n" << d.figures();
  }
  EXPECT_EQ(d.logged("alarm=raised"), 0U);
  EXPECT_TRUE(d.await(60s, "rules_in_step", 12)) << d.figures();
}

}  // namespace
}  // namespace reeltack::rig
