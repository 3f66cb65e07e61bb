// A partition heals with two different lists of equal numbers: one wins, the same everywhere, without to and
// fro.
#include "power.h"

namespace reeltack::rig {
namespace {

using Offices = std::set<std::uint32_t>;

struct Sides {
  Rig rig{{.controllers = 6, .offices = 9, .two_lists = true, .rate = 120.0, .lasts = 120s}};
  std::vector<std::size_t> said;  // of each one's log, at the last look

  std::int64_t figure(std::size_t i, const char* name) const { return rig.figure(i, name); }
  [[nodiscard]] bool counts(std::size_t from, std::int64_t trusted, std::int64_t barred, Duration most) {
    return rig.until(most, [&] {
      for (std::size_t i = from; i < from + 3; ++i)
        if (figure(i, "offices_trusted") != trusted || figure(i, "offices_barred") != barred) return false;
      return true;
    });
  }
  void look() {
    said.clear();
    for (std::size_t i = 0; i < 6; ++i) said.push_back(rig.pack().member(i).log().size());
  }
  [[nodiscard]] std::string logs() {
    return rig.pack().member(0).log().substr(said.empty() ? 0 : said[0]) + "\n" +
           rig.pack().member(5).log().substr(said.empty() ? 0 : said[5]);
  }
  // Since the last look no controller has changed its mind on an office more than once. How many changes.
  std::size_t changed_once() {
    std::size_t all = 0;
    for (std::size_t i = 0; i < 6; ++i) {
      std::map<std::uint32_t, std::size_t> times;
      for (const VerdictLine& l : verdicts(rig.pack().member(i).log().substr(said[i]))) {
        if (l.was.empty() || (l.verdict == l.was && !l.other_life)) continue;
        ++all;
        EXPECT_EQ(++times[l.office], 1U) << Rig::name(i) << " on office " << l.office << "\n"
                                         << rig.pack().member(i).log().substr(said[i]);
      }
    }
    return all;
  }
};

TEST(Partition, HealsWithTwoListsOfEqualNumbersAndOneWinsEverywhere) {
  Sides sides;
  Rig& rig = sides.rig;
  rig.pack().start_all();
  ASSERT_TRUE(rig.until(30s, [&] { return rig.all("alive", 6) && rig.all("stage", 5); })) << sides.logs();
  ASSERT_TRUE(rig.all("list_number", 1)) << sides.logs();
  rig.play();
  rig.between().partition({"n0", "n1", "n2"}, {"n3", "n4", "n5"});
  // The left knows 7 no longer and 8 as draining; the right does not know 5, and 6 at the ninth's address.
  // Both leave out 9.
  Lists::Entries left, right;
  for (std::size_t i = 0; i < 8; ++i) {
    if (i != 6) left.push_back(rig.entry(i));
    if (i != 4) right.push_back(rig.entry(i));
  }
  left.back().state = 1;
  right[4].at = rig.entry(8).at;
  rig.lists().tell(0, left);
  rig.lists().tell(1, right);
  EXPECT_TRUE(sides.counts(0, 6, 3, 20s)) << sides.logs();
  EXPECT_TRUE(sides.counts(3, 7, 2, 20s)) << sides.logs();
  EXPECT_TRUE(rig.until(30s, [&] { return rig.all("alive", 3); }));
  EXPECT_TRUE(rig.all("list_number", 2));
  const std::int64_t of_left = sides.figure(0, "list_digest");
  const std::int64_t of_right = sides.figure(5, "list_digest");
  ASSERT_NE(of_left, of_right);
  // Of equal numbers the higher digest wins.
  const bool left_wins = static_cast<std::uint64_t>(of_left) > static_cast<std::uint64_t>(of_right);
  const Offices expected = left_wins ? Offices{1, 2, 3, 4, 5, 6} : Offices{1, 2, 3, 4, 7, 9};
  sides.look();
  const Time healed = base::now();
  rig.between().heal();
  // Whoever wins, six may be used; what the left calls draining is barred by the right too.
  EXPECT_TRUE(sides.counts(0, 6, 3, 20s) && sides.counts(3, 6, 3, 20s)) << sides.logs();
  std::printf("%s wins, agreed %.2f s after it healed\n", left_wins ? "the left" : "the right",
              seconds(base::now() - healed));
  EXPECT_TRUE(rig.until(20s, [&] { return rig.all("alive", 6); }));
  EXPECT_TRUE(rig.all("list_wins", left_wins ? of_left : of_right));
  const Time agreed = base::now();
  std::this_thread::sleep_for(5s);  // in which nothing may go to and fro
  EXPECT_TRUE(sides.counts(0, 6, 3, 0s) && sides.counts(3, 6, 3, 0s)) << sides.logs();
  // The losing side takes over three, and the right is told of one that drains: either way 12.
  EXPECT_EQ(sides.changed_once(), 12U) << sides.logs();
  const Time before_third = base::now();
  // The two tell the same at last, under one number.
  sides.look();
  Lists::Entries both;
  for (std::size_t i = 0; i < 7; ++i) both.push_back(rig.entry(i));
  for (const std::size_t list : {0, 1}) rig.lists().tell(list, both);
  EXPECT_TRUE(sides.counts(0, 7, 2, 20s) && sides.counts(3, 7, 2, 20s)) << sides.logs();
  std::this_thread::sleep_for(5s);
  // The left's list had no 7, the right's no 5 and 6 elsewhere: whichever won, one or two change at each.
  EXPECT_EQ(sides.changed_once(), left_wins ? 6U : 12U) << sides.logs();
  rig.stop_playing();
  const auto played = rig.played();
  EXPECT_EQ(played->recorder.violations().total(), 0U)
      << ::testing::PrintToString(played->recorder.violations().samples);
  const Dealt dealt = deal(rig.offices().take_log(), played->tries, 6);
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(offices_used(dealt.of[i], agreed + kSlack, before_third), expected) << Rig::name(i);
    const auto found = rules_of(dealt.of[i], {});
    EXPECT_EQ(found.total(), 0U) << Rig::name(i) << ::testing::PrintToString(found.samples);
    std::printf("%s: %llu rules not judged, as messages were read late\n", Rig::name(i).c_str(),
                static_cast<unsigned long long>(found.unsure));
  }
}

// One bulletin begins anew without an office; the other, a copy of its last life, goes on with higher
// numbers.
TEST(Partition, AListThatBeganAnewOutranksItsLastLifeEverywhere) {
  Sides sides;
  Rig& rig = sides.rig;
  rig.pack().start_all();
  ASSERT_TRUE(rig.until(30s, [&] { return rig.all("alive", 6) && rig.all("stage", 5); })) << sides.logs();
  Lists::Entries all;
  for (std::size_t i = 0; i < 9; ++i) all.push_back(rig.entry(i));
  for (int n = 0; n < 3; ++n)
    for (const std::size_t list : {0, 1}) rig.lists().tell(list, all);
  ASSERT_TRUE(rig.until(10s, [&] { return rig.all("list_number", 4); })) << sides.logs();
  rig.play();
  // Two of the first three are cut off from it meanwhile.
  rig.between().set({{"n1", "n2"}, {"bulletin"}, true}, standin::Fault{.cut = true});
  ::usleep(3'000'000);  // they have noticed
  all.pop_back();
  rig.lists().tell(0, all, true);
  EXPECT_TRUE(sides.counts(0, 8, 1, 20s) && sides.counts(3, 8, 1, 20s)) << sides.logs();
  const Time barred = base::now();
  rig.between().heal();
  EXPECT_TRUE(rig.until(10s, [&] {
    for (const std::size_t i : {0U, 1U, 2U})
      if (rig.figure(i, "list_number") != 1) return false;
    return true;
  })) << sides.logs();
  rig.lists().tell(1, all, true);
  EXPECT_TRUE(rig.until(10s, [&] { return rig.all("list_number", 1); })) << sides.logs();
  EXPECT_TRUE(rig.until(10s, [&] { return rig.all("list_wins", rig.figure(0, "list_digest")); }));
  EXPECT_TRUE(sides.counts(0, 8, 1, 5s) && sides.counts(3, 8, 1, 5s)) << sides.logs();
  ::usleep(2'000'000);
  rig.stop_playing();
  const auto played = rig.played();
  const Dealt dealt = deal(rig.offices().take_log(), played->tries, 6);
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(offices_used(dealt.of[i], barred + kSlack), (Offices{1, 2, 3, 4, 5, 6, 7, 8})) << Rig::name(i);
    EXPECT_EQ(rules_of(dealt.of[i], {}).total(), 0U) << Rig::name(i);
  }
}

}  // namespace
}  // namespace reeltack::rig
