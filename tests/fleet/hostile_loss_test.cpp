// A controller that stood still and goes on, believing itself current.
#include <gtest/gtest.h>

#include "hostile.h"

namespace reeltack::rig {
namespace {

// It stands still while an office begins to drain; its bulletin is out of reach, so its peers alone know.
// What it cannot know it may do: until a peer's word has reached it, for 1.5 s at most after it goes on.
TEST(Frozen, WakesLearnsFromItsPeersAndIsNoLossToThem) {
  Rig rig({.controllers = 3,
           .offices = 3,
           .rate = 90.0,
           .load_duration = 30s,
           .troubles = "  - {at: 14s, do: drain, centrales: [1], lasts: 60s}\n"});
  rig.pack().start_all();
  ASSERT_TRUE(whole(rig, 3, 12s)) << rig.pack().member(0).log();
  rig.play();
  const std::int64_t stages[] = {rig.figure(1, "stage_changes"), rig.figure(2, "stage_changes")};
  rig.between().set({{"n0"}, {"bulletin"}, true}, standin::Fault{.cut = true});
  ASSERT_EQ(rig.figure(1, "offices_barred"), 0);
  rig.pack().freeze(0);
  ASSERT_TRUE(rig.until(
      40s, [&] { return rig.figure(1, "offices_barred") == 1 && rig.figure(2, "offices_barred") == 1; }));
  ::usleep(10'000'000);
  rig.pack().thaw(0);
  const Time woken = base::now();
  EXPECT_TRUE(rig.until(20s, [&] { return rig.figure(0, "offices_barred") == 1; }))
      << rig.pack().member(0).log();
  const double told = std::chrono::duration<double>(base::now() - woken).count();
  EXPECT_TRUE(rig.until(30s, [&] { return rig.all("alive", 3); }));
  const auto played = rig.played();
  EXPECT_EQ(rig.figure(1, "stage_changes"), stages[0]);
  EXPECT_EQ(rig.figure(2, "stage_changes"), stages[1]);
  EXPECT_EQ(rig.figure(0, "recovering"), 0);
  load::RulesChecker rules;
  std::size_t unknowing = 0;
  Time last = woken;
  for (const load::OfficeEvent& event : rig.offices().take_log()) {
    const bool could_not_know = event.what == load::OfficeEvent::What::set_up && event.at >= woken &&
                                event.at < woken + 1500ms && event.office == 2;
    unknowing += could_not_know ? 1 : 0;
    if (event.what == load::OfficeEvent::What::set_up && event.at >= woken && event.office == 2)
      last = event.at;
    if (!could_not_know) rules.take(event);
  }
  rules.finish();
  std::printf("told after %.2f s; %zu set-ups that it could not know better, the last after %.2f s\n", told,
              unknowing, std::chrono::duration<double>(last - woken).count());
  EXPECT_EQ(rules.found().after_drain, 0U);
  EXPECT_LT(unknowing, 20U);
  // What it was asked while it stood still has no answer in time; two thirds of the calls went elsewhere.
  EXPECT_GT(stood(*played), played->recorder.all().planned / 2);
}

}  // namespace
}  // namespace reeltack::rig
