// When a fake endpoint says that a message came, though its thread had no turn for long: here it has one only
// when the test gives it.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <thread>

#include "load/plan/rules.h"
#include "standin/centrale.h"
#include "standin/centrale_log.h"
#include "standin/controller.h"
#include "standin/sockets.h"

namespace reeltack::standin {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using Steady = std::chrono::steady_clock;
using What = load::OfficeEvent::What;

constexpr std::uint64_t kCall = 7;
constexpr Duration kGuard = 300ms;

class Arrivals : public ::testing::Test {
 protected:
  void SetUp() override {
    for (int i = 0; i < 2; ++i) {
      CentraleSettings settings;
      settings.id = static_cast<std::uint32_t>(i + 1);
      settings.at = {own_host(40 + i), 2905};
      endpoints_.push_back(
          std::make_unique<Centrale>(io_, settings, 1, base::now() - 24h, [this](auto event, auto known) {
            if (known == Centrale::Known::by_its_end) event.earliest = std::min(all_heard_, event.at);
            log_.push_back(event);
          }));
      endpoints_.back()->silent(true);
      callers_.emplace_back(far_).connect(endpoint(settings.at));
      callers_.back().set_option(tcp::no_delay(true));
    }
    // The kernel begins to stamp soon after it is asked to.
    for (std::uint64_t call = 100; call < 1100; ++call) {
      start(0, call);
      give_up(0, call);
      until_heard(call, What::given_up);
      if (!log_.back().earliest) break;
      std::this_thread::sleep_for(1ms);
    }
    ASSERT_FALSE(log_.back().earliest) << "the kernel stamps nothing";
    log_.clear();
  }

  void say(std::size_t to, const std::string& line) {
    boost::asio::write(callers_[to], boost::asio::buffer(line));
  }
  static std::string message(const char* verb, std::uint64_t call) {
    return std::string(R"({"verb":")") + verb + R"(","tag":")" + base::hex16(call) + "\",\"opts\":{}}\n";
  }
  void start(std::size_t to, std::uint64_t call) { say(to, message("START", call)); }
  void give_up(std::size_t to, std::uint64_t call) { say(to, message("FINISH", call)); }

  void turn() {
    const Time before = base::now();
    io_.restart();
    io_.poll();
    all_heard_ = before;
  }
  void until_heard(std::uint64_t call, What what) {
    for (int turns = 0; turns < 10'000; ++turns) {
      turn();
      for (const auto& event : log_)
        if (event.call == call && event.what == what) return;
      std::this_thread::sleep_for(1ms);
    }
    FAIL() << load::name_of(what) << " was not heard";
  }
  load::RulesChecker::Found judged() {
    std::stable_sort(log_.begin(), log_.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    load::RulesChecker rules;
    for (const auto& event : log_) rules.take(event);
    rules.finish();
    return rules.found();
  }
  std::string log() const {
    std::string out;
    for (const auto& event : log_) out += as_json(event) + "\n";
    return out;
  }

  boost::asio::io_context io_;   // the endpoints'
  boost::asio::io_context far_;  // of whoever sends
  Time all_heard_ = base::now();
  std::vector<load::OfficeEvent> log_;
  std::vector<std::unique_ptr<Centrale>> endpoints_;
  std::vector<tcp::socket> callers_;
};

// A controller keeps the guard, and the endpoint reads all of it at once.
TEST_F(Arrivals, AKeptGuardIsSeenThoughAllIsReadAtOnce) {
  start(0, kCall);
  until_heard(kCall, What::set_up);
  give_up(0, kCall);
  std::this_thread::sleep_for(kGuard);
  start(1, kCall);
  turn();
  until_heard(kCall, What::given_up);
  ASSERT_EQ(log_.size(), 3U) << log();
  const auto found = judged();
  EXPECT_EQ(found.set_ups, 2U);
  EXPECT_EQ(found.total() + found.unsure, 0U) << log();
}

// The same where the set-up that is given up had not been read either.
TEST_F(Arrivals, AKeptGuardIsSeenThoughNothingOfItWasRead) {
  start(0, kCall);
  give_up(0, kCall);
  std::this_thread::sleep_for(kGuard);
  start(1, kCall);
  until_heard(kCall, What::given_up);
  EXPECT_EQ(judged().total(), 0U) << log();
}

// A controller sends again at once, and the endpoint reads that a second later.
TEST_F(Arrivals, ABrokenGuardIsSeenThoughItIsReadLate) {
  for (std::uint64_t call = kCall; call < kCall + 100; ++call) {
    log_.clear();
    start(0, call);
    until_heard(call, What::set_up);
    const auto before = Steady::now();
    give_up(0, call);
    start(1, call);
    const bool prompt = Steady::now() - before < kGuard / 2;  // else this machine has kept the guard itself
    std::this_thread::sleep_for(1s);
    until_heard(call, What::given_up);
    const auto found = judged();
    if (!prompt) continue;
    EXPECT_EQ(found.too_soon, 1U) << log();
    return;
  }
  FAIL() << "this machine was never prompt enough to break the guard";
}

// What several messages read at once cannot tell is said to be unsure, within its bounds.
TEST_F(Arrivals, OfMessagesReadAtOnceAllButTheLastAreBounded) {
  start(0, kCall);
  until_heard(kCall, What::set_up);
  const Time before = base::now();
  give_up(0, kCall);
  std::this_thread::sleep_for(kGuard);
  start(0, kCall);
  until_heard(kCall, What::given_up);
  ASSERT_EQ(log_.size(), 3U) << log();
  ASSERT_TRUE(log_[1].earliest) << log();
  EXPECT_LE(*log_[1].earliest, before) << log();
  EXPECT_FALSE(log_[2].earliest) << log();
  const auto found = judged();
  EXPECT_EQ(found.total(), 0U) << log();
  EXPECT_EQ(found.unsure, 1U) << log();
}

}  // namespace
}  // namespace reeltack::standin
