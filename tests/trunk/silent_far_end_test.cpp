// The far end of a trunk group vanishes without a word: its kernel goes on to accept connections, and nothing
// is read or written there.
#include "load/plan/recorder.h"
#include "trunk_rig.h"

namespace reeltack::trunk {
namespace {

// By PROTOCOL a caller hears within 8 s that its call is over; this much longer on sockets.
constexpr Duration kReleaseBound = 8050ms;
constexpr Duration kHang = 11s;

class SilentFarEnd : public Trunks {
 protected:
  // Calls stand at a far end that hangs from `hangs_at` of the run on. Returns when the last one was
  // released, from then.
  Duration released_after(FarEnd& far) {
    constexpr Duration kHangsAt = 1500ms;
    load::Scenario s = scenario(100.0, 500ms, 60s);
    s.released_by = load::ReleasedBy::centrale;
    s.settle = 12s;
    Time hung_at{};
    std::thread hang([&] {
      std::this_thread::sleep_for(kHangsAt);
      hung_at = base::now();
      far.hang(kHang);
    });
    const auto run = play(s);
    const Time ended = base::now();
    hang.join();
    EXPECT_GT(of(*run, load::Result::stands), 20U);
    EXPECT_EQ(run->recorder.all().cut, of(*run, load::Result::stands)) << "not all were released";
    return ended - hung_at;
  }
};

// Guards against: 3 s of noticing and `silence` added up, so that callers waited for up to 10 s.
TEST_F(SilentFarEnd, CallsAreReleasedInTimeWhereItConnects) {
  start(", silence: 7s");
  FarEnd far(far_settings());
  ASSERT_TRUE(reaches([&] { return figure(*controller_, "selectable") == 100; }));
  EXPECT_LT(released_after(far), kReleaseBound);
}

// Guards against: a handshake that hangs kept the group from its timers.
TEST_F(SilentFarEnd, CallsAreReleasedInTimeWhereItIsConnectedTo) {
  auto s =
      setup("a", 1,
            "trunks:\n  - {name: west, office: s-0000f001, place: 0, far_place: 9, dial: \"" + own_host(3) +
                ":2907\", circuits: 100, point_code: 2, far_point_code: 1, silence: 7s}\n");
  auto f = far_settings();
  f.dial.reset();
  f.listen = base::Address{own_host(3), 2907};
  FarEnd far(f);
  controller_ = std::make_unique<Controller>(std::move(s));
  ASSERT_TRUE(reaches([&] { return figure(*controller_, "selectable") == 100; }));
  EXPECT_LT(released_after(far), kReleaseBound);
}

}  // namespace
}  // namespace reeltack::trunk
