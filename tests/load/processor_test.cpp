// The processor model, step by step and at random.
#include "standin/model/processor.h"

#include <gtest/gtest.h>

#include "load/plan/draws.h"

namespace reeltack::standin {
namespace {

using namespace std::chrono_literals;

constexpr Time kBegin{1000s};

std::vector<Processor::Done> until(Processor& p, Time at) {
  std::vector<Processor::Done> done;
  p.advance(at, done);
  p.check();
  return done;
}

TEST(Processor, AnswersWaitBehindSetUpsUnlessTheyGoFirst) {
  for (const bool first : {false, true}) {
    ProcessorSettings s{.set_up = 10ms, .answer = 10ms};
    s.finish_first = first;
    Processor p(s, kBegin);
    p.offer(kBegin, Work::set_up, 1);
    p.offer(kBegin, Work::set_up, 2);
    p.offer(kBegin, Work::answer, 3);
    const auto done = until(p, kBegin + 1s);
    ASSERT_EQ(done.size(), 3U);
    EXPECT_EQ(done[1].call, first ? 3U : 2U);
    EXPECT_EQ(done[2].at, kBegin + 30ms);
  }
}
TEST(Processor, LongWaitsAreTurnedAwayAndThatIsWork) {
  ProcessorSettings s{.set_up = 100ms, .refuse = 20ms, .turn_away = 1s};
  Processor p(s, kBegin);
  int taken = 0;
  while (p.offer(kBegin, Work::set_up, 1)) ++taken;
  EXPECT_EQ(taken, 11);  // the one in work and ten that wait
  EXPECT_FALSE(p.offer(kBegin, Work::set_up, 1));
  const auto done = until(p, kBegin + 10s);
  EXPECT_EQ(done.back().at, kBegin + 1100ms + 40ms);
}
TEST(Processor, WaitingSetUpsComeAgainAtDoublingGaps) {
  ProcessorSettings s{.set_up = 100ms, .turn_away = 0ms, .resend = 500ms, .repeat = 1ms};
  Processor p(s, kBegin);
  for (int i = 0; i < 40; ++i) p.offer(kBegin, Work::set_up, static_cast<std::uint64_t>(i));
  const auto done = until(p, kBegin + 60s);
  EXPECT_EQ(done.size(), 40U) << "a repeat is work, and no call";
  // Waiting at 500 ms: 34 of 40 (one in work, five done); at 1.5 s: 24; at 3.5 s: 4 (less where repeats took
  // time).
  EXPECT_GE(p.repeats(), 34U + 24U);
  EXPECT_LE(p.repeats(), 36U + 26U + 6U);
}
TEST(Processor, ColdOnesAreSlowAndFallWhenFlooded) {
  ProcessorSettings s{.set_up = 10ms, .turn_away = 0ms, .cold_from = 0.5, .ramp = 10s, .fall_multiple = 2.0};
  Processor cold(s, kBegin);
  cold.offer(kBegin, Work::set_up, 1);
  EXPECT_EQ(*cold.next(), kBegin + 20ms);
  // At half of its capacity it may be sent one second of work within a second: 100 set-ups.
  int taken = 1;
  while (cold.offer(kBegin + 1ms, Work::set_up, 1)) ++taken;
  EXPECT_EQ(taken, 100);
  EXPECT_TRUE(cold.fallen());
  EXPECT_TRUE(until(cold, kBegin + 60s).empty());
  Processor warm(s, kBegin - 1h);
  for (int i = 0; i < 1000; ++i) EXPECT_TRUE(warm.offer(kBegin, Work::set_up, 1));
}
TEST(Processor, SlowingAndPausingKeepWhatWasDone) {
  Processor p({.set_up = 100ms}, kBegin);
  p.offer(kBegin, Work::set_up, 1);
  p.slow(kBegin + 50ms, 4.0);  // half is left: 200 ms
  EXPECT_EQ(*p.next(), kBegin + 250ms);
  p.pause(kBegin + 150ms, true);  // a quarter is left
  EXPECT_FALSE(p.next());
  EXPECT_TRUE(until(p, kBegin + 2s).empty());
  p.slow(kBegin + 2s, 1.0);
  p.pause(kBegin + 3s, false);
  EXPECT_EQ(*p.next(), kBegin + 3025ms);
  EXPECT_EQ(p.busy(kBegin + 10s), 175ms);
}
TEST(Processor, BooksAddUpWhateverComes) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    load::Random random = load::stream(seed, "processor");
    ProcessorSettings s{.set_up = 3ms,
                        .answer = 2ms,
                        .release = 1ms,
                        .refuse = 500us,
                        .turn_away = 40ms,
                        .resend = 20ms,
                        .repeat = 400us};
    s.cold_from = 0.4;
    s.ramp = 2s;
    s.fall_multiple = seed % 3 == 0 ? 2.0 : 0.0;
    Processor p(s, kBegin);
    Time now = kBegin;
    std::uint64_t offered = 0, taken = 0, done = 0, withdrawn = 0;
    for (int i = 0; i < 400; ++i) {
      now += Duration{static_cast<Duration::rep>(load::exponential(random, 3.0e6))};
      done += until(p, now).size();
      const double what = load::uniform(random);
      if (what < 0.55)
        taken += p.offer(now, Work::set_up, ++offered) ? 1U : 0U;
      else if (what < 0.75)
        taken += p.offer(now, Work::answer, 0) ? 1U : 0U;
      else if (what < 0.85) {
        const auto before = p.queue();
        p.withdraw(offered);
        withdrawn += before - p.queue();
      } else if (what < 0.95)
        p.slow(now, 0.5 + 3.0 * load::uniform(random));
      else
        p.pause(now, what < 0.97);
      p.check();
    }
    p.pause(now, false);
    done += until(p, now + 1h).size();
    if (p.fallen()) continue;
    EXPECT_EQ(done + withdrawn, taken) << "seed " << seed;
  }
}

}  // namespace
}  // namespace reeltack::standin
