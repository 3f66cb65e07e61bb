// A partition heals with two different lists of equal number: the same one wins everywhere, without
// oscillation, and adds nothing to the own list of a controller.
#include "power.h"

namespace reeltack::rig {
namespace {

using Offices = std::set<std::uint32_t>;

struct Sides {
  Rig rig{{.controllers = 6, .offices = 9, .two_lists = true, .rate = 120.0, .load_duration = 120s}};
  std::vector<std::size_t> log_offsets;  // ends of the controllers' logs at the last mark_logs()

  std::int64_t figure(std::size_t i, const char* name) const { return rig.figure(i, name); }
  [[nodiscard]] bool counts(std::size_t from, std::int64_t trusted, std::int64_t barred, Duration limit) {
    return rig.until(limit, [&] {
      for (std::size_t i = from; i < from + 3; ++i)
        if (figure(i, "offices_trusted") != trusted || figure(i, "offices_barred") != barred) return false;
      return true;
    });
  }
  void mark_logs() {
    log_offsets.clear();
    for (std::size_t i = 0; i < 6; ++i) log_offsets.push_back(rig.pack().member(i).log().size());
  }
  [[nodiscard]] std::string logs() {
    return rig.pack().member(0).log().substr(log_offsets.empty() ? 0 : log_offsets[0]) + "\n" +
           rig.pack().member(5).log().substr(log_offsets.empty() ? 0 : log_offsets[5]);
  }
  // Checks that since the last mark_logs() no controller changed its verdict on an office more than once.
  // Returns the number of changes.
  std::size_t changed_once() {
    std::size_t all = 0;
    for (std::size_t i = 0; i < 6; ++i) {
      std::map<std::uint32_t, std::size_t> times;
      for (const VerdictLine& l : verdicts(rig.pack().member(i).log().substr(log_offsets[i]))) {
        if (l.was.empty() || (l.verdict == l.was && !l.other_run)) continue;
        ++all;
        EXPECT_EQ(++times[l.office], 1U) << Rig::name(i) << " on office " << l.office << "\n"
                                         << rig.pack().member(i).log().substr(log_offsets[i]);
      }
    }
    return all;
  }
};

TEST(Partition, HealsWithTwoListsOfEqualNumbersAndOneLimitsTheOther) {
  Sides sides;
  Rig& rig = sides.rig;
  rig.pack().start_all();
  ASSERT_TRUE(rig.until(30s, [&] { return rig.all("alive", 6) && rig.all("stage", 5); })) << sides.logs();
  ASSERT_TRUE(rig.all("list_number", 1)) << sides.logs();
  rig.play();
  rig.between().partition({"n0", "n1", "n2"}, {"n3", "n4", "n5"});
  // The left list omits 7 and has 8 as draining; the right list omits 5 and has 6 at the address of 9. Both
  // omit 9.
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
  // Of lists of equal number the one with the higher digest wins.
  const bool left_wins = static_cast<std::uint64_t>(of_left) > static_cast<std::uint64_t>(of_right);
  // The losing side goes on without what the winning list omits. Each keeps the address in its own list.
  const Offices left_uses = left_wins ? Offices{1, 2, 3, 4, 5, 6} : Offices{1, 2, 3, 4, 6};
  const Offices right_uses = left_wins ? Offices{1, 2, 3, 4, 9} : Offices{1, 2, 3, 4, 7, 9};
  const auto agreed_counts = [&](Duration limit) {
    return sides.counts(left_wins ? 0 : 3, 6, 3, limit) && sides.counts(left_wins ? 3 : 0, 5, 4, limit);
  };
  sides.mark_logs();
  const Time healed = base::now();
  rig.between().heal();
  // Whichever wins, its side may use six and the other five; the office that drains on the left is barred on
  // the right too.
  EXPECT_TRUE(agreed_counts(20s)) << sides.logs();
  std::printf("%s wins, agreed %.2f s after the partition healed\n", left_wins ? "the left" : "the right",
              seconds(base::now() - healed));
  EXPECT_TRUE(rig.until(20s, [&] { return rig.all("alive", 6); }));
  EXPECT_TRUE(rig.all("list_wins", left_wins ? of_left : of_right));
  const Time agreed = base::now();
  std::this_thread::sleep_for(5s);  // during which no verdict may change
  EXPECT_TRUE(agreed_counts(0s)) << sides.logs();
  // The losing side gives up one office, and the right receives the one that drains: 6 either way.
  EXPECT_EQ(sides.changed_once(), 6U) << sides.logs();
  const Time before_third = base::now();
  // Finally both bulletins send the same list under one number.
  sides.mark_logs();
  Lists::Entries both;
  for (std::size_t i = 0; i < 7; ++i) both.push_back(rig.entry(i));
  for (const std::size_t list : {0, 1}) rig.lists().tell(list, both);
  EXPECT_TRUE(sides.counts(0, 7, 2, 20s) && sides.counts(3, 7, 2, 20s)) << sides.logs();
  std::this_thread::sleep_for(5s);
  // The left list had no 7, the right list no 5 and 6 elsewhere. Two verdicts change at each controller of
  // the left if it lost, else one; at each of the right 5 and 6 do, and 7 if it lost.
  EXPECT_EQ(sides.changed_once(), 12U) << sides.logs();
  rig.stop_load();
  const auto played = rig.played();
  EXPECT_EQ(played->recorder.violations().total(), 0U)
      << ::testing::PrintToString(played->recorder.violations().samples);
  const EventsByController dealt = split_events(rig.offices().take_log(), played->tries, 6);
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(offices_used(dealt.of[i], agreed + kSlack, before_third), i < 3 ? left_uses : right_uses)
        << Rig::name(i);
    const auto found = rules_of(dealt.of[i], {});
    EXPECT_EQ(found.total(), 0U) << Rig::name(i) << ::testing::PrintToString(found.samples);
    std::printf("%s: %llu rules undecided, as messages were read late\n", Rig::name(i).c_str(),
                static_cast<unsigned long long>(found.unsure));
  }
}

// One bulletin restarts without an office; the other, a copy of its previous process lifetime, continues with
// higher numbers.
TEST(Partition, ARestartedListOutranksItsPreviousLifetimeEverywhere) {
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
  // Two of the first three do not reach the bulletin meanwhile.
  rig.between().set({{"n1", "n2"}, {"bulletin"}, true}, standin::Fault{.cut = true});
  ::usleep(3'000'000);  // until they have noticed
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
  rig.stop_load();
  const auto played = rig.played();
  const EventsByController dealt = split_events(rig.offices().take_log(), played->tries, 6);
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(offices_used(dealt.of[i], barred + kSlack), (Offices{1, 2, 3, 4, 5, 6, 7, 8})) << Rig::name(i);
    EXPECT_EQ(rules_of(dealt.of[i], {}).total(), 0U) << Rig::name(i);
  }
}

}  // namespace
}  // namespace reeltack::rig
