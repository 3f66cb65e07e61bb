// Runs the core in virtual time while the wall clock is stepped at each stage of a call: everything happens
// as, and when, it does without a step.
#include <gtest/gtest.h>

#include <future>
#include <mutex>
#include <string>
#include <vector>

#include "controlled_clocks.h"
#include "core/core.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

enum class Stage { none, queued, sent, awaiting_release, sent_again, standing, unanswered, late, drain };
constexpr Stage kStages[] = {Stage::queued,     Stage::sent,     Stage::awaiting_release,
                             Stage::sent_again, Stage::standing, Stage::unanswered,
                             Stage::late,       Stage::drain};
constexpr Duration kSteps[] = {-1h, -5s, 5s, 1h};

constexpr ServerId kEndpoint{1};
constexpr CallId kAnswered{1};   // queued, sent, fails, sent again, established and released
constexpr CallId kForgotten{2};  // never answered: its attempt times out
constexpr CallId kLate{3};       // never answered either; its caller waits less long than an attempt may take
constexpr CallId kDrained{4};    // still open as the program ends
constexpr Duration kReleaseGuard = 300ms;
constexpr Duration kClockStep = 5ms;  // of the virtual clock

// Both sides of the core; records what the core does and when.
class Recorder final : public core::OfficeBackend, public core::CallerFrontend {
 public:
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& /*endpoints*/) override {}
  void start(const core::SetUp& set_up) override {
    note("start", set_up.call, set_up.attempt);
    note("left in ms:", set_up.call, static_cast<std::uint32_t>((set_up.expires_at - base::now()) / 1ms));
  }
  void cancel(ServerId /*endpoint*/, CallId call, std::uint32_t attempt) override {
    note("give up", call, attempt);
  }
  void release(ServerId /*endpoint*/, CallId call) override { note("release", call); }
  void keep_connection(ServerId /*endpoint*/, bool calls_established) override {
    note("keep", CallId{}, calls_established);
  }
  bool established(CallId call, const std::string& /*description*/) override {
    note("stands", call);
    return true;
  }
  void rejected(CallId call, core::FailureReason reason, Duration retry_after) override {
    note("refused " + std::to_string(retry_after / 1ms), call, static_cast<std::uint32_t>(reason));
  }
  void released(CallId call, int cause) override {
    note("released", call, static_cast<std::uint32_t>(cause));
  }
  void ended(CallId call) override { note("over", call); }

  [[nodiscard]] std::vector<std::string> notes() const {
    const std::lock_guard hold(lock_);
    return notes_;
  }
  // When this event happened, since the start; negative if it did not.
  [[nodiscard]] Duration when(const std::string& what, CallId call, std::uint32_t number = 0) const {
    const std::lock_guard hold(lock_);
    const auto at = times_.find(name(what, call, number));
    return at == times_.end() ? Duration{-1} : at->second;
  }

 private:
  static std::string name(const std::string& what, CallId call, std::uint32_t number) {
    return what + " call " + std::to_string(static_cast<std::uint64_t>(call)) + " " + std::to_string(number);
  }
  void note(const std::string& what, CallId call, std::uint32_t number = 0) {
    const std::lock_guard hold(lock_);
    const Duration since = base::now() - start_;
    times_.emplace(name(what, call, number), since);
    notes_.push_back(std::to_string(since / 1us) + " us: " + name(what, call, number));
  }

  const Time start_ = base::now();
  mutable std::mutex lock_;  // guards what follows
  std::vector<std::string> notes_;
  std::map<std::string, Duration> times_;
};

// One run of a core on the frozen clock, with a step of the wall clock at one of its stages.
class CoreRun {
 public:
  CoreRun(Stage stage, Duration step) : stage_(stage), step_(step) {
    core_.start(recorder_);
    play();
    core_.stop();
  }
  [[nodiscard]] const Recorder& recorder() const { return recorder_; }

 private:
  static Settings settings() {
    Settings out;
    out.classes.push_back({.aim = 10s, .deadline = 20s});
    out.release_guard = kReleaseGuard;
    out.attempts_cap = 5;
    return out;
  }
  void play() {
    core_.update_offices(true, {{{.server = kEndpoint, .state = ServerState::ready}, "127.0.0.1:1"}});
    report_lines(0.0);
    request(kAnswered, 15s);
    reach(Stage::queued);
    pass(100ms);
    report_lines(1.0);
    pass(100ms);
    reach(Stage::sent);
    pass(200ms);
    core_.attempt_failed(kAnswered, 0, AttemptOutcome::reset);
    settle();
    reach(Stage::awaiting_release);
    pass(500ms);
    reach(Stage::sent_again);
    pass(100ms);
    core_.office_answered(kEndpoint, kAnswered, "by the endpoint");
    settle();
    reach(Stage::standing);
    pass(2s);
    core_.release(kAnswered, recorder_);
    settle();
    report_lines(1.0);
    request(kForgotten, 1500ms);
    pass(100ms);
    reach(Stage::unanswered);
    pass(2s);
    report_lines(1.0);
    request(kLate, 700ms);
    pass(100ms);
    reach(Stage::late);
    pass(900ms);
    report_lines(1.0);
    request(kDrained, 10s);
    pass(50ms);
    reach(Stage::drain);
    pass(500ms);
    core_.refuse_all();
    settle();
    pass(100ms);
  }
  void reach(Stage stage) const {
    if (stage == stage_) step_wall_clock(step_);
  }
  void request(CallId call, Duration patience) {
    core::Request request;
    request.arrival.call = call;
    request.arrival.number = CalledNumber{7};
    request.arrival.caller_leaves_at = base::now() + patience;
    request.frontend = &recorder_;
    core_.request(std::move(request));
    settle();
  }
  void report_lines(double free) {
    core_.load_reported(kEndpoint, {.free_lines = free, .lines = 1.0});
    settle();
  }
  void pass(Duration span) {
    for (Duration passed{}; passed < span; passed += kClockStep) {
      advance_steady_clock(kClockStep);
      settle();
    }
  }
  // A status query is answered before the timers and the module run in the same step of the core: once the
  // second is answered, the step of the first has ended.
  void settle() {
    for (int i = 0; i < 2; ++i) {
      std::promise<void> answered;
      core_.query(CallId{~std::uint64_t{0}},
                  [&answered](const core::Status& /*status*/) { answered.set_value(); });
      answered.get_future().wait();
    }
  }

  const Stage stage_;
  const Duration step_;
  Recorder recorder_;
  core::Core core_{settings(), 1};
};

class CoreSteps : public ::testing::Test {
 protected:
  CoreSteps() { freeze_steady_clock(); }
  ~CoreSteps() override { unfreeze_steady_clock(); }
};

// Verifies that the steps of the other test come at the stages that they name.
TEST_F(CoreSteps, EachStageIsReached) {
  const CoreRun run(Stage::none, {});
  const Recorder& r = run.recorder();
  std::string all;
  for (const std::string& note : r.notes()) all += note + "\n";
  SCOPED_TRACE(all);
  EXPECT_GE(r.when("start", kAnswered), 100ms) << "it is queued first";
  EXPECT_LE(r.when("start", kAnswered), 200ms);
  EXPECT_GE(r.when("start", kAnswered, 1), 400ms + kReleaseGuard);
  EXPECT_LE(r.when("start", kAnswered, 1), 900ms);
  EXPECT_EQ(r.when("stands", kAnswered), 1000ms);
  EXPECT_EQ(r.when("release", kAnswered), 3s);
  EXPECT_GE(r.when("start", kForgotten), 3s);
  EXPECT_EQ(r.when("give up", kForgotten), 4s);
  const auto refused = [&r](CallId call, core::FailureReason reason) {
    return r.when("refused 0", call, static_cast<std::uint32_t>(reason));
  };
  EXPECT_EQ(refused(kForgotten, core::FailureReason::attempts_failed), 4s);
  EXPECT_GE(r.when("start", kLate), 5100ms);
  EXPECT_GE(refused(kLate, core::FailureReason::deadline_passed), 5790ms);
  EXPECT_LE(refused(kLate, core::FailureReason::deadline_passed), 5800ms);
  EXPECT_EQ(refused(kDrained, core::FailureReason::attempts_failed), 6650ms);
}

TEST_F(CoreSteps, StepsOfTheWallClockChangeNothingAtAnyStage) {
  const CoreRun unstepped(Stage::none, {});
  for (const Stage stage : kStages) {
    for (const Duration step : kSteps) {
      SCOPED_TRACE("stage " + std::to_string(static_cast<int>(stage)) + ", step " +
                   std::to_string(step / 1s));
      const CoreRun stepped(stage, step);
      EXPECT_EQ(stepped.recorder().notes(), unstepped.recorder().notes());
    }
  }
}

// How the endpoints' starts are converted to the core's clock, and what the module sends them accordingly, is
// tested by listed_starts_test.cpp and by the slow-start simulations, into which the check of wall clock
// readings is linked too.

}  // namespace
}  // namespace reeltack::test
