// Offices that have left the zone: listed for as long as they hold calls, and not without end.
#include "dns/leaving_offices.h"

#include <unistd.h>

#include <filesystem>

#include "zone_process.h"

namespace reeltack::test {
namespace {

using dns::kIdleBeforeRemoval;
using dns::LeavingOffices;
using Ids = std::vector<ServerId>;

constexpr ServerId kA{1};
constexpr ServerId kB{2};
constexpr Time kLeft{1000s};

TEST(LeavingOffices, IdleOfficeIsTakenAfterItsTimeAndOnce) {
  LeavingOffices leaving;
  leaving.left(kA, kLeft);
  EXPECT_EQ(leaving.take_idle({}, kLeft + kIdleBeforeRemoval - 1ns), Ids{});
  EXPECT_EQ(leaving.take_idle({}, kLeft + kIdleBeforeRemoval), Ids{kA});
  EXPECT_TRUE(leaving.empty());
  EXPECT_EQ(leaving.take_idle({}, kLeft + 2 * kIdleBeforeRemoval), Ids{});
}
TEST(LeavingOffices, TimeCountsFromTheLastUse) {
  LeavingOffices leaving;
  leaving.left(kA, kLeft);
  leaving.left(kB, kLeft);
  EXPECT_EQ(leaving.take_idle({kA}, kLeft + 60s), Ids{kB});
  EXPECT_EQ(leaving.take_idle({}, kLeft + 60s + kIdleBeforeRemoval - 1ns), Ids{});
  EXPECT_EQ(leaving.take_idle({}, kLeft + 60s + kIdleBeforeRemoval), Ids{kA});
}
TEST(LeavingOffices, OfficeThatReturnsIsNotTaken) {
  LeavingOffices leaving;
  leaving.left(kA, kLeft);
  leaving.returned(kA);
  EXPECT_TRUE(leaving.empty());
  EXPECT_EQ(leaving.take_idle({}, kLeft + 60s), Ids{});
}

// Answers each set-up at once.
class AnsweringOffices final : public core::OfficeBackend {
 public:
  explicit AnsweringOffices(core::Core*& core) : core_(core) {}
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& offices) override {
    const std::lock_guard hold(lock_);
    for (const core::OfficeEntry& o : offices) states_[o.address] = o.entry.state;
  }
  void start(const core::SetUp& set_up) override { core_->office_answered(set_up.office, set_up.call, "x"); }
  void cancel(ServerId /*office*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*office*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*office*/, bool /*calls_established*/) override {}
  std::size_t count(ServerState state) {
    const std::lock_guard hold(lock_);
    return static_cast<std::size_t>(
        std::count_if(states_.begin(), states_.end(), [state](const auto& s) { return s.second == state; }));
  }

 private:
  core::Core*& core_;
  std::mutex lock_;
  std::map<std::string, ServerState> states_;
};

class Caller final : public core::CallerFrontend {
 public:
  bool established(CallId /*call*/, const std::string& /*description*/) override { return stands = true; }
  void rejected(CallId /*call*/, core::FailureReason /*reason*/, Duration /*later*/) override {}
  void released(CallId /*call*/, int /*cause*/) override { released_by_office = true; }
  void ended(CallId /*call*/) override {}
  std::atomic<bool> stands{false};
  std::atomic<bool> released_by_office{false};
};

// Guards against memory that grows with each name that a zone has ever had: all but the office that holds a
// call are removed from the list, and that one once its call has ended.
TEST(LeavingOfficesOfAZone, AreRemovedOnceTheyHoldNoCalls) {
  core::Core* pointer = nullptr;
  AnsweringOffices offices(pointer);
  core::Core core(one_class(), 1);
  pointer = &core;
  core::OfficeList list(core);
  core.start(offices);
  dns::UpdateServer zone(list, dns::Zone::read(zone_text(), "zone"), kService, "");
  const auto wait_until = [&zone](Duration limit, const auto& holds) {
    for (const Time by = net::now() + limit; !holds() && net::now() < by; net::pause_until(net::now() + 20ms))
      zone.follow();
    return holds();
  };
  Caller caller;
  core::Request request;
  request.arrival.call = CallId{7};
  request.arrival.caller_leaves_at = net::now() + 9s;
  request.frontend = &caller;
  core.request(std::move(request));
  ASSERT_TRUE(wait_until(10s, [&caller] { return caller.stands.load(); }));
  for (int office = 0; office < kOffices; ++office)
    ASSERT_EQ(dns::read_number(zone.answer(update(kClassNone, office)), 2, 2) & 15U, 0U);
  EXPECT_EQ(offices.count(ServerState::draining), static_cast<std::size_t>(kOffices));
  const auto one_left = [&offices] { return offices.count(ServerState::gone) == kOffices - 1U; };
  EXPECT_TRUE(wait_until(kIdleBeforeRemoval + 10s, one_left));
  EXPECT_EQ(offices.count(ServerState::draining), 1U) << "its call stands";
  EXPECT_FALSE(caller.released_by_office);
  core.release(CallId{7}, caller);
  EXPECT_TRUE(
      wait_until(kIdleBeforeRemoval + 10s, [&offices] { return offices.count(ServerState::draining) == 0; }));
  zone.close_all();
  core.stop();
}

}  // namespace
}  // namespace reeltack::test
