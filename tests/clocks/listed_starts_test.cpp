// The `started_at` that OfficeList derives from reported starts while the wall clock is stepped.
#include <gtest/gtest.h>

#include "core/office_list.h"

namespace reeltack::core {
namespace {

using namespace std::chrono_literals;

constexpr Duration kOffset = std::chrono::hours(400'000);
constexpr Duration kSteps[] = {-1h, -5s, 5s, 1h};

// Records the entries passed to the backend, which receives them before the core.
class RecordingBackend final : public OfficeBackend {
 public:
  void listed(bool /*complete*/, const std::vector<OfficeEntry>& offices) override {
    for (const OfficeEntry& o : offices) entries[o.entry.server] = o.entry;
  }
  void start(const SetUp& /*set_up*/) override {}
  void cancel(ServerId /*office*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*office*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*office*/, bool /*calls_established*/) override {}
  std::map<ServerId, ServerEntry> entries;
};

class ListedStarts : public ::testing::Test {
 protected:
  ListedStarts() { core.start(backend); }
  ~ListedStarts() override { core.stop(); }
  [[nodiscard]] OfficeEntry endpoint(std::uint32_t id, Duration age) const {
    OfficeEntry out;
    out.entry.server = ServerId{id};
    out.entry.start = StartId{static_cast<std::uint64_t>((now.time_since_epoch() + kOffset - age) / 1ms)};
    out.address = "127.0.0.1:1000";
    return out;
  }
  [[nodiscard]] Duration age(std::uint32_t id) const {
    return now - backend.entries.at(ServerId{id}).started_at;
  }

  Time now{100h};
  Duration step{};
  Core core{Settings{}, 1};
  RecordingBackend backend;
  OfficeList list{
      core, [this] {
        return clocks::ClockReading{now, clocks::WallTime{now.time_since_epoch() + kOffset + step}};
      }};
};

TEST_F(ListedStarts, AreConvertedOnceAndUnaffectedBySteps) {
  const OfficeEntry cold = endpoint(1, 3s);
  const OfficeEntry warm = endpoint(2, 2h);
  list.update(Source::platform, true, {cold, warm});
  for (const Duration by : kSteps) {
    step = by;
    now += 1s;
    list.confirm_current();
    list.update(Source::platform, true, {cold, warm});
    EXPECT_EQ(now - backend.entries.at(ServerId{1}).started_at, now - Time{100h} + 3s);
    EXPECT_EQ(now - backend.entries.at(ServerId{2}).started_at, now - Time{100h} + 2h);
    EXPECT_EQ(backend.entries.at(ServerId{1}).start, cold.entry.start)
        << "the start itself is passed on unchanged";
  }
}

TEST_F(ListedStarts, RestartReportedByFollowedDiscoveryIsYoungAfterEachStep) {
  list.update(Source::platform, true, {endpoint(1, 2h)});
  for (const Duration by : kSteps) {
    step = by;
    now += 60s;
    list.confirm_current();
    list.update(Source::platform, false, {endpoint(1, 1s)});
    EXPECT_GE(age(1), 0s);
    EXPECT_LE(age(1), clocks::kMaxDiscoveryDelay);
  }
}

TEST_F(ListedStarts, AreConvertedForRegisteredEndpointsToo) {
  list.update(Source::registered, false, {endpoint(3, 20s)});
  EXPECT_EQ(age(3), 20s);
}

}  // namespace
}  // namespace reeltack::core
