// Controllers killed again and again, at any moment and at each write of the store: what the next start finds
// there, and under which incarnation it goes on.
#include <gtest/gtest.h>

#include <cstdlib>
#include <map>

#include "hostile.h"

namespace reeltack::rig {
namespace {

// The clock of n0 is held back from its second start on, so that nothing but the kept incarnation makes it
// grow: beside the store it is floored by the clock's seconds, and raised by what peers hold of it.
void hold_clock_back(Rig& rig) { rig.pack().set_clock_offset(0, -24h); }

// What n0 said at its last start: the incarnation it begins with, before any peer was heard.
std::int64_t initial_incarnation(Rig& rig, std::size_t from = 0) {
  const std::string log = rig.pack().member(0).log();
  const std::string words = " incarnation=";
  const std::size_t line = log.rfind("fleet store dir=");
  if (line == std::string::npos || line < from) return -1;
  const std::size_t at = log.find(words, line);
  return at == std::string::npos ? -1 : std::atoll(log.c_str() + at + words.size());
}

TEST(Stores, KillsAtAnyMomentUnderLoadLeaveAStoreThatIsReadAndAnIncarnationThatGrows) {
  Rig rig({.controllers = 3, .offices = 3, .rate = 60.0, .load_duration = 14s});
  rig.pack().start_all();
  ASSERT_TRUE(whole(rig, 3)) << rig.pack().member(0).log();
  rig.play();
  hold_clock_back(rig);
  constexpr std::size_t kKills = 12;
  for (std::size_t round = 1; round <= kKills; ++round) {
    // From the first writes of its start to those of its stages, members and offices.
    ::usleep(static_cast<useconds_t>((round * 7919) % 12 * 60'000));
    const std::int64_t before = std::max(initial_incarnation(rig), rig.figure(0, "incarnation"));
    rig.pack().kill(0);
    rig.pack().start(0);
    EXPECT_GT(initial_incarnation(rig), before) << round;
    const std::string log = rig.pack().member(0).log();
    ASSERT_EQ(times(log, "how=fresh"), 1U) << log;
    ASSERT_EQ(times(log, "how=opened"), round) << log;
    ASSERT_EQ(times(log, "how=set_aside") + times(log, "how=failed"), 0U) << log;
  }
  EXPECT_TRUE(whole(rig, 3));
  const auto played = rig.played();
  EXPECT_EQ(played->recorder.violations().total(), 0U);
  EXPECT_TRUE(rig.all("failed", 0));
}

// n0 dies at its k-th change of the store's files, for every k that there is from its start to the write of
// an incarnation block that a peer's word makes it take. Each time it starts again over what that left.
class EachWrite {
 public:
  EachWrite()
      : rig({.first_binary = REELTACK_DYING,
             .controllers = 3,
             .offices = 3,
             .rate = 30.0,
             .load_duration = 600s}) {}
  ~EachWrite() {
    if (playing_) static_cast<void>(played());
  }

  // True: it died at point k on the way; false: it came through, so there is no such point.
  bool dies_at(int k) {
    from_ = log().size();
    died_ = raising_ = false;
    ::setenv("REELTACK_DIES_AT", std::to_string(k).c_str(), 1);
    rig.pack().launch(0);
    ::unsetenv("REELTACK_DIES_AT");
    EXPECT_TRUE(meets([&] { return rig.figure(0, "stage") == 5; })) << words();
    const std::int64_t before = look();
    if (meets([] { return true; }), !died_) make_it_raise(before + 60);
    raising_ = !died_;
    EXPECT_TRUE(meets([&] { return look() > before + 60; })) << words();
    const Time end = base::now() + 1200ms;  // the table of members and the stage are written within a second
    meets([&] { return base::now() > end; });
    // Its turn begins once the incarnation is durable: from then on others may have heard of it.
    if (times(words(), "from=dark") > 0) told_ = std::max(told_, initial_incarnation(rig, from_));
    return died_;
  }
  void play() {  // on the others alone
    rig.play(1);
    playing_ = true;
  }
  std::unique_ptr<load::Played> played() {
    playing_ = false;
    rig.stop_load();
    return rig.played();
  }
  void empties() {  // and with it what it has ever told
    rig.pack().empty_store(0);
    told_ = 0;
  }
  void comes_back(int k) {
    const std::string left = words();
    from_ = log().size();
    rig.pack().start(0);
    EXPECT_GT(initial_incarnation(rig, from_), told_) << k << "\n" << left;
    EXPECT_TRUE(rig.until(20s, [&] { return rig.figure(0, "stage") == 5; })) << k << "\n" << words();
    look();
    EXPECT_EQ(times(words(), "how=opened") + times(words(), "how=fresh records=0"), 1U) << words();
    rig.pack().kill(0);
  }
  [[nodiscard]] bool raising() const { return raising_; }  // when it died a peer's word had come
  [[nodiscard]] std::string log() { return rig.pack().member(0).log(); }
  [[nodiscard]] std::string words() { return log().substr(from_); }  // of its present life
  Rig rig;

 private:
  template <typename Holds>
  bool meets(Holds holds) {
    return rig.until(20s, [&] { return died_ = died_ || rig.pack().ended_by_itself(0), died_ || holds(); });
  }
  std::int64_t look() {
    const std::int64_t is = rig.figure(0, "incarnation");
    told_ = std::max(told_, is);
    return is;
  }
  // A peer holds it suspect under an incarnation that uses up most of the block it has kept.
  void make_it_raise(std::int64_t to) {
    fleet::members::Message m;
    m.envelope = envelope_of("n1");
    m.kind = fleet::members::Kind::ack;
    m.target = member("n1");
    m.updates.push_back({member("n0"),
                         static_cast<fleet::Incarnation>(to),
                         fleet::members::Health::suspect,
                         link_of(rig, 0),
                         "n0",
                         "z0",
                         {}});
    const fleet::link::RawSocket udp(SOCK_DGRAM, 9);
    EXPECT_TRUE(udp.connect(link_of(rig, 0)) && udp.send(fleet::link::encode(m)));
  }
  std::size_t from_ = 0;
  std::int64_t told_ = 0;  // the highest incarnation that others may have heard of
  bool died_ = false, raising_ = false, playing_ = false;
};

void visit_each(bool from_nothing) {
  EachWrite each;
  each.rig.pack().start_all();
  ASSERT_TRUE(whole(each.rig, 3)) << each.log();
  each.play();
  each.rig.pack().kill(0);
  hold_clock_back(each.rig);
  std::map<std::string, int> steps;
  int k = 1, raised = 0;
  for (; k < 1000; ++k) {
    if (from_nothing) each.empties();
    if (!each.dies_at(k)) break;
    const std::string point = "dies at point " + std::to_string(k) + ": ";
    const std::string words = each.words();
    const std::size_t at = words.find(point);
    ASSERT_NE(at, std::string::npos) << words;
    ++steps[words.substr(at + point.size(), words.find('\n', at) - at - point.size())];
    raised += each.raising() ? 1 : 0;
    each.comes_back(k);
  }
  std::string met;
  for (const auto& [step, n] : steps) met += "\n  " + std::to_string(n) + " " + step;
  std::printf("killed at each of %d points, %d of them after a peer's word:%s\n", k - 1, raised, met.c_str());
  EXPECT_GT(raised, 0);
  EXPECT_EQ(times(each.log(), "how=set_aside") + times(each.log(), "how=failed"), 0U) << each.log();
  EXPECT_GT(steps["write of store.db-wal"], 4);
  const auto played = each.played();
  const load::Tally& all = played->recorder.all();
  EXPECT_EQ(played->recorder.violations().total(), 0U);
  EXPECT_EQ(all.ended(), all.started);
  EXPECT_EQ(all.results[static_cast<std::size_t>(load::Result::unanswered)], 0U);
}

TEST(Stores, KilledAtEachWriteOfAStartOverItsStoreItComesBack) { visit_each(false); }
TEST(Stores, KilledAtEachWriteOfAFirstStartItComesBack) { visit_each(true); }

}  // namespace
}  // namespace reeltack::rig
