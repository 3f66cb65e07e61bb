// What the core saw of offices on its way to the fleet: no outcome is lost or late, a turn is told at once,
// and the core's side and the link's do not meet.
#include "fleet/service/sightings.h"

#include <gtest/gtest.h>

#include <random>
#include <thread>

namespace reeltack::fleet {
namespace {

using namespace std::chrono_literals;
using recovery::Seen;
using OfficeObservation = core::OfficeObserver::OfficeObservation;

recovery::Office office(std::uint32_t id, std::uint64_t start = 1000) {
  recovery::Office out;
  out.id = ServerId{id};
  out.start = start;
  return out;
}

struct Reader {  // the link's side
  Sightings sightings{MemberId{7}};
  std::map<ServerId, recovery::OfficeLoad> sum;
  std::map<ServerId, std::vector<Seen>> seen;
  std::map<ServerId, double> carried;
  std::size_t times = 0, events = 0;
  std::vector<recovery::Event> told;
  void collect(Time now) {
    told.clear();
    sightings.collect(now, told);
    ++times;
    events += told.size();
    for (const recovery::Event& event : told) {
      if (const auto* p = std::get_if<recovery::OfficeLoad>(&event)) {
        sum[p->office].stood += p->stood;
        sum[p->office].refused += p->refused;
        sum[p->office].failed += p->failed;
      } else if (const auto* s = std::get_if<recovery::OfficeObserved>(&event)) {
        seen[s->evidence.office.id].push_back(s->evidence.seen);
      } else if (const auto* c = std::get_if<recovery::CarriedRate>(&event)) {
        carried[c->office] = c->a_second;
      }
    }
  }
};
struct Counted {
  std::uint32_t stood = 0, refused = 0, failed = 0;
  auto operator<=>(const Counted&) const = default;
};
Counted counted(const recovery::OfficeLoad& p) { return {p.stood, p.refused, p.failed}; }

// Against plain counting, at random paces: after each outcome the reader comes when next() says so, never
// before, and by then everything is told.
TEST(Sightings, LoseNothingAndAreToldInTime) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t n) { return random() % n; };
    Reader reader;
    std::map<ServerId, Counted> plain;
    std::map<ServerId, Time> untold;  // since when something is
    std::map<ServerId, bool> there;
    std::map<ServerId, Time> turned;
    for (std::uint32_t id = 1; id <= 4; ++id) reader.sightings.name(office(id));
    Time now{1h};
    bool opens = below(2) == 0;
    const std::uint64_t bad = below(2) == 0 ? 40 : 4;  // one outcome in so many, about
    reader.collect(now);
    for (int n = 0; n < 2000; ++n) {
      const auto collect = [&](Time at) {
        for (const auto& [id, since] : untold)  // next() never comes later than the bound
          ASSERT_LE(at - since, opens ? sums::kFastReportInterval : sums::kSlowReportInterval) << seed;
        reader.collect(at);
        untold.clear();
        for (const auto& [id, count] : plain) ASSERT_EQ(counted(reader.sum[id]), count) << seed;
      };
      const Time until =
          now + Duration(static_cast<std::int64_t>(below(n % 100 == 0 ? 3'000'000'000 : 20'000'000)));
      for (Time at; (at = reader.sightings.next(opens)) <= until;) collect(at);
      now = until;
      if (below(500) == 0) {  // what waited for a slower pace is told with the change of pace
        opens = !opens;
        reader.collect(now);
        untold.clear();
      }
      const ServerId id{static_cast<std::uint32_t>(1 + below(4))};
      const OfficeObservation what =
          below(bad) != 0 ? OfficeObservation::answered : static_cast<OfficeObservation>(1 + below(4));
      plain[id].stood += what == OfficeObservation::answered;
      plain[id].refused += what == OfficeObservation::refused;
      plain[id].failed += what == OfficeObservation::broke || what == OfficeObservation::silent;
      untold.emplace(id, now);
      const bool at_once = reader.sightings.saw(now, id, what);
      if (what == OfficeObservation::broke) {
        ASSERT_FALSE(at_once);
        continue;
      }
      const bool up = what == OfficeObservation::answered || what == OfficeObservation::refused;
      const bool turn = !there.contains(id) || there[id] != up;
      there[id] = up;
      if (!turn) {
        ASSERT_FALSE(at_once) << seed;
        continue;
      }
      const bool first_of_late = !turned.contains(id) || now >= turned[id] + sums::kFastReportInterval;
      ASSERT_EQ(at_once, first_of_late) << seed;
      if (at_once) turned[id] = now;
      ASSERT_LE(reader.sightings.next(opens), at_once ? now : now + sums::kFastReportInterval) << seed;
      if (!at_once) continue;
      reader.collect(now);
      untold.clear();
      ASSERT_EQ(reader.seen[id].back() == Seen::answered, up) << seed;
    }
  }
}

TEST(Sightings, AThousandCallsASecondAreToldOnceASecond) {
  Reader reader;
  reader.sightings.name(office(1));
  const Time begin{1h};
  for (int n = 0; n <= 10'000; ++n) {
    const Time now = begin + n * 1ms;
    if (now >= reader.sightings.next(false)) reader.collect(now);
    (void)reader.sightings.saw(now, ServerId{1},
                               n % 4 == 3 ? OfficeObservation::refused : OfficeObservation::answered);
  }
  EXPECT_LE(reader.times, 13U);
  EXPECT_LE(reader.events, 3 * reader.times);
  EXPECT_NEAR(reader.carried[ServerId{1}], 750.0, 1.0);
  reader.collect(begin + 12s);
  reader.collect(begin + 13s);
  EXPECT_EQ(reader.carried[ServerId{1}], 0.0) << "it carries nothing any more";
}

TEST(Sightings, WhatWasSeenOfAnEarlierLifeIsNotToldOfThisOne) {
  Reader reader;
  const Time now{1h};
  (void)reader.sightings.saw(now, ServerId{1}, OfficeObservation::answered);
  reader.collect(now);
  EXPECT_EQ(reader.events, 0U) << "it has no name yet";
  reader.sightings.name(office(1));
  (void)reader.sightings.saw(now + 1ms, ServerId{1}, OfficeObservation::answered);
  reader.sightings.name(office(1, 2000));
  reader.collect(now + 2ms);
  EXPECT_EQ(reader.events, 0U);
  (void)reader.sightings.saw(now + 3ms, ServerId{1}, OfficeObservation::silent);
  reader.collect(now + 3ms);
  EXPECT_EQ(counted(reader.sum[ServerId{1}]), (Counted{0, 0, 1}));
  EXPECT_EQ(reader.seen[ServerId{1}], std::vector{Seen::silent});
}

// Two threads, as in service; more offices than there are places.
TEST(Sightings, TheCoreCountsWhileTheLinkReads) {
  constexpr std::uint32_t kTwice = 2 * sums::kMaxOffices;
  Reader reader;
  for (std::uint32_t id = 0; id < kTwice; ++id) reader.sightings.name(office(id));
  std::atomic<bool> over{false};
  std::thread core([&] {
    for (std::uint32_t n = 0; n < 20 * kTwice; ++n)
      (void)reader.sightings.saw(Time{1h} + n * 1us, ServerId{n % kTwice}, OfficeObservation::answered);
    over = true;
  });
  while (!over) reader.collect(Time{1h});
  core.join();
  reader.collect(Time{1h});
  EXPECT_EQ(reader.sum.size(), sums::kMaxOffices);
  for (const auto& [id, sum] : reader.sum) ASSERT_EQ(counted(sum), (Counted{20, 0, 0}));
}

}  // namespace
}  // namespace reeltack::fleet
