// Runs the real program while its machine's wall clock is stepped by 5 s or an hour either way: at each stage
// of a call, during a drain and between two attempts to reach discovery. Nothing may happen early or be
// delayed.
#include <sys/mman.h>

#include <atomic>
#include <cstdlib>

#include "../scenario.h"

namespace reeltack::test {
namespace {

// How long before its caller's deadline a call may be answered: 8 ms by the core (src/core/admit.cpp), and
// two intervals of the module, of 37.5 ms each, earlier where the call waits to be sent again.
constexpr auto kAnswerLead = 8ms + 2 * 38ms;

class WallStep : public Scenario, public ::testing::WithParamInterface<std::chrono::seconds> {
 protected:
  void SetUp() override {
    Scenario::SetUp();
    known_ = known_.substr(0, known_.find(",{"));  // office a alone, so a second call is queued
    ::mkdir(dir().c_str(), 0700);
    const std::string path = dir() + "/wall-step";
    const net::Fd file(::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC, 0600));
    ASSERT_EQ(::ftruncate(file.get(), sizeof(std::int64_t)), 0);
    void* at = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0);
    ASSERT_NE(at, MAP_FAILED);
    step_ = static_cast<std::atomic<std::int64_t>*>(at);
    environment_["REELTACK_WALL_STEP"] = path;
    environment_["LD_PRELOAD"] = STEPPABLE_WALL_CLOCK;
    const char* asan = std::getenv("ASAN_OPTIONS");  // its library demands to be loaded first
    environment_["ASAN_OPTIONS"] =
        (asan == nullptr ? std::string() : std::string(asan) + ":") + "verify_asan_link_order=0";
  }
  void TearDown() override {
    Scenario::TearDown();
    if (step_ != nullptr) ::munmap(step_, sizeof(std::int64_t));
  }
  void step_wall_clock() { step_->store(std::chrono::nanoseconds(GetParam()).count()); }

  void start_with_a_up() {
    start();
    play(R"(
      a wait
      a send {"verb":"LOAD","tag":"","opts":{"load":"x0:40;x1:40"}}
      c open sip
    )");
  }
  // Waits until the core has taken a step and run whatever was due by its clock: it refuses a call without
  // time left.
  void await_core() {
    const std::string id = "#" + std::to_string(next_refused_--);
    play("c send INVITE " + id + " Subject:patient X-Patience:1 X-Facts:dest:0 | d\nc expect 408 " + id);
  }
  // The time left according to office a's next message, a START.
  std::chrono::milliseconds left_of_start() {
    const std::string line = peers_.at("a").next();
    const std::size_t at = line.find(R"("left":")");
    EXPECT_NE(at, std::string::npos) << line;
    return std::chrono::milliseconds(at == std::string::npos ? -1 : std::atoll(line.c_str() + at + 8));
  }
  std::atomic<std::int64_t>* step_ = nullptr;
  int next_refused_ = 9;
};

// The program reads the stepped clock; otherwise these tests would show nothing.
TEST_P(WallStep, ShowsInTheLog) {
  const auto stamp = [this] {
    const std::size_t end = seen_.rfind('\n');
    return std::atoll(seen_.c_str() + (end == std::string::npos ? 0 : seen_.rfind('\n', end - 1) + 1));
  };
  start_with_a_up();
  const long long before = stamp();
  step_wall_clock();
  stop();
  EXPECT_LE(std::abs(stamp() - before - std::chrono::milliseconds(GetParam()).count()), 4500) << seen_;
}

TEST_P(WallStep, QueuedCallIsSentWithTheTimeLeft) {
  start_with_a_up();
  play(R"(
    c send INVITE #1 Subject:patient X-Patience:4000 X-Facts:dest:0 | d
    a expect START #1
    c send INVITE #2 Subject:patient X-Patience:4000 X-Facts:dest:0 | d
  )");
  await_core();
  step_wall_clock();
  await_core();
  play(R"(
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 INVITE by a
  )");
  const auto left = left_of_start();
  EXPECT_GT(left, 0ms);
  EXPECT_LT(left, 4000ms);
  play(R"(
    a send {"verb":"STARTED","tag":"#2","opts":{},"blob":"again"}
    c expect 200 #2 INVITE again
  )");
}

TEST_P(WallStep, SentCallIsAnsweredAtItsDeadline) {
  start_with_a_up();
  const Time asked = net::now();
  play("c send INVITE #1 Subject:patient X-Patience:1500 X-Facts:dest:0 | d\na expect START #1");
  step_wall_clock();
  const std::string answer = peers_.at("c").next();
  const Time answered = net::now();
  EXPECT_TRUE(answer.rfind("SIP/2.0 408", 0) == 0 || answer.rfind("SIP/2.0 50", 0) == 0) << answer;
  EXPECT_GE((answered - asked) / 1ms, (1500ms - kAnswerLead) / 1ms);
}

TEST_P(WallStep, SentCallCanBeAnswered) {
  start_with_a_up();
  play("c send INVITE #1 Subject:patient X-Patience:4000 X-Facts:dest:0 | d\na expect START #1");
  step_wall_clock();
  await_core();
  play(R"(
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 INVITE by a
  )");
}

// After its connection is dropped the set-up may still run for 300 ms, so it is not sent again sooner.
TEST_P(WallStep, GuardAfterADroppedConnectionIsObserved) {
  start_with_a_up();
  play("c send INVITE #1 Subject:patient X-Patience:8000 X-Facts:dest:0 | d\na expect START #1");
  const Time dropped = net::now();
  play("a close");
  step_wall_clock();
  // The dropped attempt is cancelled on the next connection, before the next attempt.
  play("a wait\na expect \"verb\":\"FINISH\" \"tag\":\"#1\" \"rc\":16\na expect START #1");
  EXPECT_GE(net::now(), dropped + 300ms);
  play(R"(
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 INVITE by a
  )");
}

TEST_P(WallStep, EstablishedCallIsReleasedByItsCallerOnly) {
  start_with_a_up();
  play(R"(
    c send INVITE #1 Subject:patient X-Patience:8000 X-Facts:dest:0 | d
    a expect START #1
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 INVITE by a
    c send ACK #1
  )");
  step_wall_clock();
  await_core();
  play(R"(
    a send {"verb":"LOAD","tag":"","opts":{"load":"x0:39;x1:40"}}
    c send BYE #1 Reason:Q.850;cause=16
    c expect 200 #1 BYE
    a expect "verb":"FINISH" "tag":"#1" "rc":16
  )");
}

// With the clock an hour ahead, the drain deadline would be long past and the call would be refused.
TEST_P(WallStep, DrainAnswersAcceptedCalls) {
  start_with_a_up();
  play("c send INVITE #1 Subject:patient X-Patience:8000 X-Facts:dest:0 | d\na expect START #1");
  ::kill(child_, SIGTERM);
  ASSERT_TRUE(read_log("asked to end")) << seen_;
  net::pause_until(net::now() + 100ms);  // it has read the clock for its deadline
  step_wall_clock();
  net::pause_until(net::now() + 100ms);  // it checks every 10 ms whether its time is up
  play(R"(
    a send {"verb":"STARTED","tag":"#1","opts":{},"blob":"by a"}
    c expect 200 #1 INVITE by a
  )");
  stop();
}

TEST_P(WallStep, DiscoveryIsRetried) {
  start(true, "{\"on\":false}", 7300);
  step_wall_clock();
  const net::Fd discovery = net::listen_on({host(0), 7300});
  EXPECT_TRUE(static_cast<bool>(net::accept_one(discovery, soon())));
}

INSTANTIATE_TEST_SUITE_P(Both, WallStep, ::testing::Values(-3600s, -5s, 5s, 3600s), [](const auto& step) {
  return (step.param < 0s ? "back_" : "ahead_") + std::to_string(std::abs(step.param.count())) + "_s";
});

}  // namespace
}  // namespace reeltack::test
