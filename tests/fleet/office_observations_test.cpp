// The core's observations of offices on their way to the fleet: no outcome is lost or late, a change between
// up and down is reported at once, and the core's thread and the link's thread do not race.
#include "fleet/service/office_observations.h"

#include <gtest/gtest.h>

#include <random>
#include <thread>

namespace reeltack::fleet {
namespace {

using namespace std::chrono_literals;
using recovery::OfficeState;
using OfficeObservation = core::OfficeObserver::OfficeObservation;

recovery::Office office(std::uint32_t id, std::uint64_t start = 1000) {
  recovery::Office out;
  out.id = ServerId{id};
  out.start = start;
  return out;
}

struct Reader {  // on the link's thread
  OfficeObservations sightings{MemberId{7}};
  std::map<ServerId, recovery::OfficeLoad> sum;
  std::map<ServerId, std::vector<OfficeState>> states;
  std::map<ServerId, double> carried;
  std::size_t times = 0, events = 0;
  std::vector<recovery::Event> collected;
  void collect(Time now) {
    collected.clear();
    sightings.collect(now, collected);
    ++times;
    events += collected.size();
    for (const recovery::Event& event : collected) {
      if (const auto* p = std::get_if<recovery::OfficeLoad>(&event)) {
        sum[p->office].established += p->established;
        sum[p->office].refused += p->refused;
        sum[p->office].failed += p->failed;
      } else if (const auto* s = std::get_if<recovery::OfficeObserved>(&event)) {
        states[s->evidence.office.id].push_back(s->evidence.state);
      } else if (const auto* c = std::get_if<recovery::CarriedRate>(&event)) {
        carried[c->office] = c->per_second;
      }
    }
  }
};
struct Counted {
  std::uint32_t established = 0, refused = 0, failed = 0;
  auto operator<=>(const Counted&) const = default;
};
Counted counted(const recovery::OfficeLoad& p) { return {p.established, p.refused, p.failed}; }

// Compared with expected counting at random paces: the reader collects only when next() says so, and by then
// every outcome is reported.
TEST(OfficeObservations, AreCompleteAndReportedInTime) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t n) { return random() % n; };
    Reader reader;
    std::map<ServerId, Counted> expected;
    std::map<ServerId, Time> unreported_since;
    std::map<ServerId, bool> is_up;
    std::map<ServerId, Time> changed_at;
    for (std::uint32_t id = 1; id <= 4; ++id) reader.sightings.track(office(id));
    Time now{1h};
    bool opens = below(2) == 0;
    const std::uint64_t bad = below(2) == 0 ? 40 : 4;  // about one outcome in this many
    reader.collect(now);
    for (int n = 0; n < 2000; ++n) {
      const auto collect = [&](Time at) {
        for (const auto& [id, since] : unreported_since)  // next() is never later than the bound
          ASSERT_LE(at - since,
                    opens ? outcome_counters::kFastReportInterval : outcome_counters::kSlowReportInterval)
              << seed;
        reader.collect(at);
        unreported_since.clear();
        for (const auto& [id, count] : expected) ASSERT_EQ(counted(reader.sum[id]), count) << seed;
      };
      const Time until =
          now + Duration(static_cast<std::int64_t>(below(n % 100 == 0 ? 3'000'000'000 : 20'000'000)));
      for (Time at; (at = reader.sightings.next(opens)) <= until;) collect(at);
      now = until;
      if (below(500) == 0) {  // what waited for the slower interval is reported when the interval changes
        opens = !opens;
        reader.collect(now);
        unreported_since.clear();
      }
      const ServerId id{static_cast<std::uint32_t>(1 + below(4))};
      const OfficeObservation what =
          below(bad) != 0 ? OfficeObservation::answered : static_cast<OfficeObservation>(1 + below(4));
      expected[id].established += what == OfficeObservation::answered;
      expected[id].refused += what == OfficeObservation::refused;
      expected[id].failed += what == OfficeObservation::broke || what == OfficeObservation::silent;
      unreported_since.emplace(id, now);
      const bool at_once = reader.sightings.saw(now, id, what);
      if (what == OfficeObservation::broke) {
        ASSERT_FALSE(at_once);
        continue;
      }
      const bool up = what == OfficeObservation::answered || what == OfficeObservation::refused;
      const bool changed = !is_up.contains(id) || is_up[id] != up;
      is_up[id] = up;
      if (!changed) {
        ASSERT_FALSE(at_once) << seed;
        continue;
      }
      const bool first_in_interval =
          !changed_at.contains(id) || now >= changed_at[id] + outcome_counters::kFastReportInterval;
      ASSERT_EQ(at_once, first_in_interval) << seed;
      if (at_once) changed_at[id] = now;
      ASSERT_LE(reader.sightings.next(opens), at_once ? now : now + outcome_counters::kFastReportInterval)
          << seed;
      if (!at_once) continue;
      reader.collect(now);
      unreported_since.clear();
      ASSERT_EQ(reader.states[id].back() == OfficeState::answered, up) << seed;
    }
  }
}

TEST(OfficeObservations, AThousandCallsPerSecondAreReportedOncePerSecond) {
  Reader reader;
  reader.sightings.track(office(1));
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
  EXPECT_EQ(reader.carried[ServerId{1}], 0.0) << "the office no longer carries calls";
}

TEST(OfficeObservations, ObservationsOfAnEarlierInstanceAreNotReportedForThisOne) {
  Reader reader;
  const Time now{1h};
  (void)reader.sightings.saw(now, ServerId{1}, OfficeObservation::answered);
  reader.collect(now);
  EXPECT_EQ(reader.events, 0U) << "the instance is not known yet";
  reader.sightings.track(office(1));
  (void)reader.sightings.saw(now + 1ms, ServerId{1}, OfficeObservation::answered);
  reader.sightings.track(office(1, 2000));
  reader.collect(now + 2ms);
  EXPECT_EQ(reader.events, 0U);
  (void)reader.sightings.saw(now + 3ms, ServerId{1}, OfficeObservation::silent);
  reader.collect(now + 3ms);
  EXPECT_EQ(counted(reader.sum[ServerId{1}]), (Counted{0, 0, 1}));
  EXPECT_EQ(reader.states[ServerId{1}], std::vector{OfficeState::silent});
}

// Two threads, as in production, and more offices than there are slots.
TEST(OfficeObservations, TheCoreCountsWhileTheLinkCollects) {
  constexpr std::uint32_t kTwice = 2 * outcome_counters::kMaxOffices;
  Reader reader;
  for (std::uint32_t id = 0; id < kTwice; ++id) reader.sightings.track(office(id));
  std::atomic<bool> finished{false};
  std::thread core([&] {
    for (std::uint32_t n = 0; n < 20 * kTwice; ++n)
      (void)reader.sightings.saw(Time{1h} + n * 1us, ServerId{n % kTwice}, OfficeObservation::answered);
    finished = true;
  });
  while (!finished) reader.collect(Time{1h});
  core.join();
  reader.collect(Time{1h});
  EXPECT_EQ(reader.sum.size(), outcome_counters::kMaxOffices);
  for (const auto& [id, sum] : reader.sum) ASSERT_EQ(counted(sum), (Counted{20, 0, 0}));
}

}  // namespace
}  // namespace reeltack::fleet
