// Only one of 12 controllers follows the bulletin: an office listed there as draining must get nothing more
// from any of them.
#include "power.h"

namespace reeltack::rig {
namespace {

// `limit`: latest arrival of a set-up at the office, from the time that the one controller received the list.
void list_to_one(const standin::Fault& links, Duration limit) {
  Power power;
  power.warm();
  ASSERT_FALSE(::testing::Test::HasFatalFailure());
  std::vector<std::string> all, without_bulletin;
  for (std::size_t i = 0; i < 12; ++i) all.push_back(Rig::name(i));
  without_bulletin.assign(all.begin(), all.end() - 1);
  power.rig.between().set({without_bulletin, {"bulletin"}, true}, {.cut = true});
  power.rig.between().set({all, all}, links);
  ::usleep(3'000'000);  // until the eleven have noticed
  EXPECT_TRUE(power.settled(30s)) << power.figures();
  std::int64_t sent = 0, refused = 0;
  for (std::size_t i = 0; i < 12; ++i) sent -= power.rig.figure(i, "news_out");
  power.rig.offices().befall({standin::Trouble::Kind::drain, {}, {Power::kDrained}, 600s, 1.0});
  EXPECT_TRUE(power.rig.until(10s, [&] { return power.rig.all("offices_barred", 1); }))
      << power.figures() << power.logs();
  ::usleep(2'000'000);  // late set-ups would arrive within this time
  for (std::size_t i = 0; i < 12; ++i) {
    sent += power.rig.figure(i, "news_out");
    refused += power.rig.figure(i, "news_refused");
    if (i < 11) EXPECT_GT(power.rig.figure(i, "news_in"), 0) << Rig::name(i);  // no member pushes to the one
  }
  std::printf("eager push: %lld messages\n", static_cast<long long>(sent));
  EXPECT_EQ(refused, 0);
  EXPECT_LE(sent, 12 * 12);  // three pushes to ceil(ln 12) + 1 members by each
  power.judge(Time{}, 0.8, limit);
}

// 250 ms, and 50 ms for sockets as in the rules.
TEST(PowerLoss, OneBulletinStopsTwelveInTime) { list_to_one({}, 300ms); }
// And two hops of 50 ms: the first controller pushes to ceil(ln 12) + 1 = 4, and these to the other 7.
TEST(PowerLoss, OneBulletinStopsTwelveOverSlowAndLossyLinks) {
  list_to_one({.drop = 0.05, .delay = 50ms}, 400ms);
}

}  // namespace
}  // namespace reeltack::rig
