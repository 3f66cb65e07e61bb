// Starts of endpoints that register themselves, and the bounds on what is retained.
#include <gtest/gtest.h>

#include <vector>

#include "start_times_fixture.h"

namespace reeltack::clocks {
namespace {

// Discovery knows nothing of an endpoint that registers itself: with a correct wall clock its age is the
// reported one, also while discovery is followed.
TEST_F(Clocks, RegisteredEndpointHasItsReportedAge) {
  StartTimes times(reading());
  times.mark_followed(now_);
  EXPECT_EQ(age(times, entry(1, start_of_age(3h)), 0s, Origin::endpoint), 3h);
}

TEST_F(Clocks, RestartOfARegisteredEndpointIsYoungWhateverTheWallClockSays) {
  for (const Duration wrong : kSteps) {
    StartTimes times(reading(wrong));
    age(times, entry(1, start_of_age(50h)), wrong, Origin::endpoint);
    now_ += 60s;
    age(times, entry(1, start_of_age(50h + 60s)), wrong,
        Origin::endpoint);  // reported again as its connection ends
    now_ += 2s;
    EXPECT_LE(age(times, entry(1, start_of_age(1s)), wrong, Origin::endpoint), 2s + kMaxDiscoveryDelay)
        << wrong / 1s;
  }
}

// A report by discovery does not tell when the endpoint registered.
TEST_F(Clocks, EndpointKnownFromDiscoveryHasItsReportedAgeWhenItRegisters) {
  StartTimes times(reading());
  age(times, entry(1, start_of_age(50h)));
  now_ += 10s;
  EXPECT_EQ(age(times, entry(1, start_of_age(60s)), 0s, Origin::endpoint), 60s);
}

// Only discovery's clock bounds ours: an endpoint that registers with a start in the future makes no other
// older.
TEST_F(Clocks, StartsNotFromDiscoveryBoundNothing) {
  StartTimes times(reading());
  age(times, entry(1, start_of_age(-10h)), 0s, Origin::controllers);
  age(times, entry(2, start_of_age(-10h)), 0s, Origin::endpoint);
  EXPECT_EQ(age(times, entry(3, start_of_age(3s))), 3s);
}

// Of many starts of an endpoint the newest are retained; the age of a forgotten one is derived again.
TEST_F(Clocks, RetainsTheNewestStartsOfAnEndpoint) {
  StartTimes times(reading());
  const StartId first = start_of_age(10s);
  age(times, entry(1, first));
  std::vector<StartId> starts;
  for (std::size_t i = 0; i < kMaxStartsPerEndpoint; ++i) {
    now_ += 60s;
    times.mark_followed(now_);
    starts.push_back(start_of_age(3s));
    EXPECT_EQ(age(times, entry(1, starts.back())), 3s);
  }
  const auto passed = [](std::size_t i) {
    return std::chrono::seconds(60 * (kMaxStartsPerEndpoint - 1 - i));
  };
  for (std::size_t i = 0; i < starts.size(); ++i)
    EXPECT_EQ(age(times, entry(1, starts[i]), -1h), 3s + passed(i)) << i;
  // Forgotten, so its age is derived again, by the wall clock and the bound that the youngest has set.
  EXPECT_EQ(age(times, entry(1, first), -1h), 10s + 60s * kMaxStartsPerEndpoint - 3s);
}

// The endpoint with the oldest start is forgotten; if it is reported again, it is found to be old again.
TEST_F(Clocks, ForgetsTheEndpointThatStartedTheLongestAgo) {
  StartTimes times(reading());
  std::vector<ServerEntry> list;
  for (std::uint32_t id = 0; id < kMaxEndpoints; ++id)
    list.push_back(entry(id, start_of_age(id == 7 ? 9h : 1h + std::chrono::seconds(id))));
  fill(times, list);
  age(times, entry(kMaxEndpoints, start_of_age(30min)), 0s, Origin::endpoint);
  EXPECT_EQ(times.endpoints(), kMaxEndpoints);
  const ServerEntry latest = entry(kMaxEndpoints, start_of_age(30min));
  EXPECT_EQ(age(times, latest, -10min, Origin::endpoint), 30min) << "retained, so no step moves it";
  for (const std::uint32_t id : {0U, 1U, 8U, 100U})
    EXPECT_EQ(age(times, list[id], 3600s), 1h + std::chrono::seconds(id)) << "retained as well";
  EXPECT_EQ(age(times, list[7], -10min, Origin::endpoint), 9h - 10min)
      << "forgotten, so derived from the wall clock";
}

TEST_F(Clocks, RetainsABoundedNumberOfEndpoints) {
  StartTimes times(reading());
  const StartId last = start_of_age(1s);
  for (std::uint32_t id = 0; id < kMaxEndpoints + 100; ++id) {
    times.mark_followed(now_);
    age(times, entry(id, StartId{static_cast<std::uint64_t>(last) - kMaxEndpoints - 100 + id}));
  }
  EXPECT_EQ(times.endpoints(), kMaxEndpoints);
}

}  // namespace
}  // namespace reeltack::clocks
