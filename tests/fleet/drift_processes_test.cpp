// Rules across several real processes: controllers that decide by other rules are detected, and partitions
// and power losses never lead to two approvals.
#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>

#include "rig.h"

namespace reeltack::rig {
namespace {

constexpr std::size_t kAll = 12;

std::string version(int epoch, int attempts) {
  return "version:\n  epoch: " + std::to_string(epoch) +
         "\n  rules:\n    module.attempts: " + std::to_string(attempts) +
         "\n    class.estado-viaje.deadline: 9s\n    classes: estado-viaje,pedido-viaje,posicion-movil\n"
         "    fleet.every: 1s\n";
}

// A fleet without load: rules are compared independently of calls.
class Drift {
 public:
  explicit Drift(std::function<void(std::size_t, standin::ControllerSetup&)> adjust = {})
      : rig(settings(std::move(adjust))) {
    rig.pack().start_all();
  }
  static RigSettings settings(std::function<void(std::size_t, standin::ControllerSetup&)> adjust) {
    RigSettings out;
    out.controllers = kAll;
    out.offices = 2;
    out.rules = true;
    out.adjust = std::move(adjust);
    return out;
  }
  void offer(std::size_t i, const std::string& text) {
    std::ofstream(rig.pack().dir(i) + "/rules.yaml") << text;
    rig.pack().member(i).signal(SIGHUP);
  }
  // Waits until the figure has this value at all controllers that are up, or at those given.
  bool await(Duration limit, const std::string& figure, std::int64_t value,
             std::vector<std::size_t> at = {}) {
    if (at.empty())
      for (std::size_t i = 0; i < kAll; ++i) at.push_back(i);
    return rig.until(limit, [&] {
      for (const std::size_t i : at)
        if (rig.pack().state(i) == standin::Pack::State::up && rig.figure(i, figure) != value) return false;
      return true;
    });
  }
  // Whether the figure stays at or below the value at all controllers that are up, for this duration.
  bool stays(Duration lasts, const std::string& figure, std::int64_t value) {
    bool out = true;
    for (const Time end = base::now() + lasts; out && base::now() < end;)
      for (std::size_t i = 0; i < kAll; ++i)
        if (rig.pack().state(i) == standin::Pack::State::up && rig.figure(i, figure) > value) out = false;
    return out;
  }
  std::string figures() {
    std::string out;
    for (std::size_t i = 0; i < kAll; ++i) {
      out += Rig::name(i);
      for (const char* figure :
           {"rules_epoch", "rules_in_step", "rules_adopting", "rules_pending", "rules_drifted",
            "rules_critical", "rules_unreachable", "rules_conflict", "alive"})
        out += std::string(" ") + figure + "=" + std::to_string(rig.figure(i, figure));
      out += "\n";
    }
    return out;
  }
  // The number of logs that contain this text.
  std::size_t logged(const std::string& text) {
    std::size_t out = 0;
    for (std::size_t i = 0; i < kAll; ++i)
      out += rig.pack().member(i).log().find(text) != std::string::npos ? 1 : 0;
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

// n4 has another attempts limit in its file, n7 a misspelt class, n9 an additional class; n2 spells out a
// default.
TEST(DriftProcesses, DeviatingControllersAreDetectedAndLogged) {
  Drift d([](std::size_t i, standin::ControllerSetup& setup) {
    if (i == 4) setup.attempts = 4;
    if (i == 7) setup.classes[0].name = "estado-viage";
    if (i == 9) setup.classes.push_back({"extra", 2s, 9s, 1.0, 0.25});
    if (i == 2) setup.fleet += "  exchange: {every: 1s}\n";
  });
  d.offer(0, version(1, 5));
  EXPECT_TRUE(d.await(15s, "rules_epoch", 1)) << d.figures();
  const Time approved = base::now();
  // None of the three has started since: the differing rules wait for a start, which is no drift.
  EXPECT_TRUE(d.await(10s, "rules_pending", 3)) << d.figures();
  EXPECT_TRUE(d.await(10s, "rules_in_step", 9)) << d.figures();
  std::printf("all know of the three %.2f s after the approval\n",
              std::chrono::duration<double>(base::now() - approved).count());
  EXPECT_TRUE(d.stays(2s, "rules_drifted", 0)) << d.figures();
  // At a start the approved rules override those of the file; a controller where they cannot is detected as
  // deviating and logged.
  for (const std::size_t i : {4, 7, 9}) d.restart(i);
  const Time started = base::now();
  EXPECT_TRUE(d.await(15s, "rules_drifted", 2)) << d.figures();
  std::printf("all have the alarm %.2f s after the last start\n",
              std::chrono::duration<double>(base::now() - started).count());
  EXPECT_TRUE(d.await(10s, "rules_in_step", 10)) << d.figures();
  EXPECT_TRUE(d.await(5s, "rules_pending", 0)) << d.figures();
  EXPECT_EQ(d.logged("rules epoch=1 laid_over=yes"), 1U);
  EXPECT_EQ(d.logged("laid_over=no refused=\"class.estado-viaje.deadline: is no rule\""), 1U);
  EXPECT_EQ(d.logged("drift name=n7 alarm=raised view=diverged"), 3U) << "itself and two reporters";
  EXPECT_EQ(d.logged("class.estado-viaje.deadline=\"nothing\" wanted=\"9000000000ns\""), 3U);
  EXPECT_EQ(d.logged("drift name=n9 alarm=raised"), 3U);
}

// The fleet is partitioned while versions of one epoch are offered on both sides.
TEST(DriftProcesses, PartitionedInFiveAndSevenOnlyTheSevenApprove) {
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
  for (std::size_t i = 0; i < kAll; ++i) d.restart(i);
  EXPECT_TRUE(d.await(30s, "rules_in_step", 12)) << d.figures();
  EXPECT_EQ(d.logged("laid_over=yes"), 12U);
}

// All controllers lose power; half of the disks are restored from a copy that is two epochs old.
TEST(DriftProcesses, NewestApprovedVersionHoldsAfterPowerLossWithOldDisks) {
  Drift d;
  d.offer(0, version(1, 4));
  ASSERT_TRUE(d.await(15s, "rules_epoch", 1)) << d.figures();
  for (std::size_t i = 0; i < 6; ++i) d.rig.pack().save_store(i, "old");
  for (const int epoch : {2, 3}) {
    d.offer(11, version(epoch, epoch == 2 ? 3 : 5));
    ASSERT_TRUE(d.await(15s, "rules_epoch", epoch)) << d.figures();
  }
  EXPECT_TRUE(d.await(10s, "rules_in_step", 12)) << "their files contain 5" << d.figures();
  d.rig.pack().kill_all_at_once();
  for (std::size_t i = 0; i < 6; ++i) d.rig.pack().restore_store(i, "old");
  for (std::size_t i = 0; i < kAll; ++i) std::filesystem::remove(d.rig.pack().dir(i) + "/rules.yaml");
  d.rig.pack().start_all();
  EXPECT_TRUE(d.await(30s, "rules_epoch", 3)) << d.figures();
  // Six have started with 4 attempts, which only another start changes.
  EXPECT_TRUE(d.await(10s, "rules_pending", 6)) << d.figures();
  for (std::size_t i = 0; i < 6; ++i) d.restart(i);
  EXPECT_TRUE(d.await(30s, "rules_in_step", 12)) << d.figures();
}

// Two controllers restarted at a time, over links with 20% loss and 100 ms delay each way: never an alarm.
TEST(DriftProcesses, RestartsOverLossyAndSlowLinksAreNoDrift) {
  Drift d;
  d.offer(0, version(1, 5));
  ASSERT_TRUE(d.await(15s, "rules_epoch", 1)) << d.figures();
  const auto all = names(0, kAll);
  d.rig.between().set({all, all}, {.drop = 0.2, .delay = 100ms});
  for (std::size_t i = 0; i < kAll; i += 2) {
    d.restart(i);
    d.restart(i + 1);
    EXPECT_TRUE(d.stays(2s, "rules_drifted", 0)) << i << "\n" << d.figures();
  }
  EXPECT_EQ(d.logged("alarm=raised"), 0U);
  EXPECT_TRUE(d.await(60s, "rules_in_step", 12)) << d.figures();
}

}  // namespace
}  // namespace reeltack::rig
