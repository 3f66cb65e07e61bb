// The release guard: how long after an attempt has been cancelled its call may be sent again.
#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

#include "core/core.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

constexpr Duration kReleaseGuard = 300ms;
constexpr Duration kCancelTime = 400ms;  // more than the guard

// Endpoints that fail the first attempt of a call. Cancelling it blocks the core's thread, as can happen on a
// busy machine.
class SlowCancelBackend final : public core::OfficeBackend {
 public:
  explicit SlowCancelBackend(core::Core& core) : core_(core) {}
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& /*offices*/) override {}
  void start(const core::SetUp& set_up) override {
    if (set_up.attempt == 0) return core_.attempt_failed(set_up.call, set_up.attempt, AttemptOutcome::reset);
    const std::lock_guard hold(lock_);
    second_sent_at_ = Steady::now();
    changed_.notify_all();
  }
  void cancel(ServerId /*office*/, CallId /*call*/, std::uint32_t /*attempt*/) override {
    std::this_thread::sleep_for(kCancelTime);
    const std::lock_guard hold(lock_);
    cancelled_at_ = Steady::now();
  }
  void release(ServerId /*office*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*office*/, bool /*calls_established*/) override {}

  // The time from the cancellation of the first attempt to the second attempt; nothing: there was none.
  std::optional<Steady::duration> await_gap() {
    std::unique_lock hold(lock_);
    if (!changed_.wait_for(hold, 20s, [this] { return second_sent_at_ != Steady::time_point{}; }))
      return std::nullopt;
    return second_sent_at_ - cancelled_at_;
  }

 private:
  core::Core& core_;
  std::mutex lock_;  // guards what follows
  std::condition_variable changed_;
  Steady::time_point cancelled_at_{};
  Steady::time_point second_sent_at_{};
};

class NullFrontend final : public core::CallerFrontend {
 public:
  bool established(CallId /*call*/, const std::string& /*description*/) override { return true; }
  void rejected(CallId /*call*/, core::FailureReason /*reason*/, Duration /*retry_after*/) override {}
  void released(CallId /*call*/, int /*cause*/) override {}
  void ended(CallId /*call*/) override {}
};

// The guard runs from when the cancellation has been passed to the endpoint, not from the decision to cancel.
TEST(ReleaseGuard, CountsFromTheEndOfTheCancellation) {
  Settings settings;
  settings.classes.push_back({.aim = 10s, .deadline = 20s});
  settings.release_guard = kReleaseGuard;
  settings.attempts_cap = 5;
  core::Core core(settings, 1);
  SlowCancelBackend endpoints(core);
  NullFrontend frontend;
  core.start(endpoints);
  std::vector<core::OfficeEntry> list;
  for (const std::uint32_t id : {1U, 2U})
    list.push_back({{.server = ServerId{id}, .place = 0, .state = ServerState::ready}, "127.0.0.1:1"});
  core.update_offices(true, list);
  core::Request request;
  request.arrival.call = CallId{7};
  request.arrival.number = CalledNumber{7};
  request.arrival.caller_leaves_at = base::now() + 20s;
  request.frontend = &frontend;
  core.request(std::move(request));
  const auto gap = endpoints.await_gap();
  core.stop();
  ASSERT_TRUE(gap) << "no second attempt";
  EXPECT_GE(*gap, kReleaseGuard) << std::chrono::duration<double>(*gap).count() << " s";
}

}  // namespace
}  // namespace reeltack::test
