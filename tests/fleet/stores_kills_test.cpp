// Controllers are killed repeatedly, at arbitrary times and at each write of the store: the next start must
// find a readable store and continue with a higher incarnation.
#include <gtest/gtest.h>

#include <cstdlib>
#include <map>

#include "hostile.h"

namespace reeltack::rig {
namespace {

// Sets the clock of n0 back from its second start on, so that only the stored incarnation makes the next one
// higher. Otherwise the clock's seconds are a lower bound of it, and peers that know a higher one raise it.
void set_clock_back(Rig& rig) { rig.pack().set_clock_offset(0, -24h); }

// The incarnation that n0 logged at its last start, before it received anything from a peer.
std::int64_t initial_incarnation(Rig& rig, std::size_t from = 0) {
  const std::string log = rig.pack().member(0).log();
  const std::string pattern = " incarnation=";
  const std::size_t line = log.rfind("fleet store dir=");
  if (line == std::string::npos || line < from) return -1;
  const std::size_t at = log.find(pattern, line);
  return at == std::string::npos ? -1 : std::atoll(log.c_str() + at + pattern.size());
}

TEST(Stores, AfterKillsUnderLoadTheStoreIsReadableAndTheIncarnationGrows) {
  Rig rig({.controllers = 3, .offices = 3, .rate = 60.0, .load_duration = 14s});
  rig.pack().start_all();
  ASSERT_TRUE(reaches_full_service(rig, 3)) << rig.pack().member(0).log();
  rig.play();
  set_clock_back(rig);
  constexpr std::size_t kKills = 12;
  for (std::size_t round = 1; round <= kKills; ++round) {
    // Between the first writes of the start and those of stages, members and offices.
    ::usleep(static_cast<useconds_t>((round * 7919) % 12 * 60'000));
    const std::int64_t before = std::max(initial_incarnation(rig), rig.figure(0, "incarnation"));
    rig.pack().kill(0);
    rig.pack().start(0);
    EXPECT_GT(initial_incarnation(rig), before) << round;
    const std::string log = rig.pack().member(0).log();
    ASSERT_EQ(occurrences(log, "how=fresh"), 1U) << log;
    ASSERT_EQ(occurrences(log, "how=opened"), round) << log;
    ASSERT_EQ(occurrences(log, "how=set_aside") + occurrences(log, "how=failed"), 0U) << log;
  }
  EXPECT_TRUE(reaches_full_service(rig, 3));
  const auto played = rig.played();
  EXPECT_EQ(played->recorder.violations().total(), 0U);
  EXPECT_TRUE(rig.all("failed", 0));
}

// Kills n0 at its k-th change of the store's files, for every k from its start to the write of the
// incarnation block that a peer's report makes it take. After each kill n0 starts again with the files left
// behind.
class KillAtEachWrite {
 public:
  KillAtEachWrite()
      : rig({.first_binary = REELTACK_DYING,
             .controllers = 3,
             .offices = 3,
             .rate = 30.0,
             .load_duration = 600s}) {}
  ~KillAtEachWrite() {
    if (playing_) static_cast<void>(played());
  }

  // Returns true if n0 died at point k; false if it survived, so that there is no such point.
  bool dies_at(int k) {
    run_start_ = log().size();
    died_ = raising_ = false;
    ::setenv("REELTACK_DIES_AT", std::to_string(k).c_str(), 1);
    rig.pack().launch(0);
    ::unsetenv("REELTACK_DIES_AT");
    EXPECT_TRUE(until_died_or([&] { return rig.figure(0, "stage") == 5; })) << run_log();
    const std::int64_t before = read_incarnation();
    if (until_died_or([] { return true; }), !died_) raise_incarnation(before + 60);
    raising_ = !died_;
    EXPECT_TRUE(until_died_or([&] { return read_incarnation() > before + 60; })) << run_log();
    const Time end = base::now() + 1200ms;  // members and stage are written within a second
    until_died_or([&] { return base::now() > end; });
    // The coordinator starts once the incarnation is durable: from then on others may know it.
    if (occurrences(run_log(), "from=dark") > 0)
      highest_announced_ = std::max(highest_announced_, initial_incarnation(rig, run_start_));
    return died_;
  }
  void play() {  // load on the other controllers only
    rig.play(1);
    playing_ = true;
  }
  std::unique_ptr<load::Played> played() {
    playing_ = false;
    rig.stop_load();
    return rig.played();
  }
  void empty_store() {  // forgets the announced incarnation as well
    rig.pack().empty_store(0);
    highest_announced_ = 0;
  }
  void restart(int k) {
    const std::string left = run_log();
    run_start_ = log().size();
    rig.pack().start(0);
    EXPECT_GT(initial_incarnation(rig, run_start_), highest_announced_) << k << "\n" << left;
    EXPECT_TRUE(rig.until(20s, [&] { return rig.figure(0, "stage") == 5; })) << k << "\n" << run_log();
    read_incarnation();
    EXPECT_EQ(occurrences(run_log(), "how=opened") + occurrences(run_log(), "how=fresh records=0"), 1U)
        << run_log();
    rig.pack().kill(0);
  }
  [[nodiscard]] bool raising() const { return raising_; }  // it died after the report of a peer
  [[nodiscard]] std::string log() { return rig.pack().member(0).log(); }
  [[nodiscard]] std::string run_log() { return log().substr(run_start_); }  // the log of the present run
  Rig rig;

 private:
  template <typename Holds>
  bool until_died_or(Holds holds) {
    return rig.until(20s, [&] { return died_ = died_ || rig.pack().ended_by_itself(0), died_ || holds(); });
  }
  std::int64_t read_incarnation() {
    const std::int64_t is = rig.figure(0, "incarnation");
    highest_announced_ = std::max(highest_announced_, is);
    return is;
  }
  // A peer reports it as suspect with an incarnation that uses up most of the stored block.
  void raise_incarnation(std::int64_t to) {
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
  std::size_t run_start_ = 0;
  std::int64_t highest_announced_ = 0;  // the highest incarnation that others may know
  bool died_ = false, raising_ = false, playing_ = false;
};

void kill_at_each_write(bool from_nothing) {
  KillAtEachWrite each;
  each.rig.pack().start_all();
  ASSERT_TRUE(reaches_full_service(each.rig, 3)) << each.log();
  each.play();
  each.rig.pack().kill(0);
  set_clock_back(each.rig);
  std::map<std::string, int> steps;
  int k = 1, raised_count = 0;
  for (; k < 1000; ++k) {
    if (from_nothing) each.empty_store();
    if (!each.dies_at(k)) break;
    const std::string point = "dies at point " + std::to_string(k) + ": ";
    const std::string run_log = each.run_log();
    const std::size_t at = run_log.find(point);
    ASSERT_NE(at, std::string::npos) << run_log;
    ++steps[run_log.substr(at + point.size(), run_log.find('\n', at) - at - point.size())];
    raised_count += each.raising() ? 1 : 0;
    each.restart(k);
  }
  std::string summary;
  for (const auto& [step, n] : steps) summary += "\n  " + std::to_string(n) + " " + step;
  std::printf("killed at each of %d points, %d of them after a peer's report:%s\n", k - 1, raised_count,
              summary.c_str());
  EXPECT_GT(raised_count, 0);
  EXPECT_EQ(occurrences(each.log(), "how=set_aside") + occurrences(each.log(), "how=failed"), 0U)
      << each.log();
  EXPECT_GT(steps["write of store.db-wal"], 4);
  const auto played = each.played();
  const load::Tally& all = played->recorder.all();
  EXPECT_EQ(played->recorder.violations().total(), 0U);
  EXPECT_EQ(all.ended(), all.started);
  EXPECT_EQ(all.results[static_cast<std::size_t>(load::Result::unanswered)], 0U);
}

TEST(Stores, ReturnsAfterAKillAtEachWriteOfAStartWithAStore) { kill_at_each_write(false); }
TEST(Stores, ReturnsAfterAKillAtEachWriteOfAFirstStart) { kill_at_each_write(true); }

}  // namespace
}  // namespace reeltack::rig
