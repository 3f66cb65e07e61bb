// A trunk group with the n-th system call of each kind failing, at either end, and with faults that last.
#include <gtest/gtest.h>

#include <cerrno>

#include "system_calls/every_call.h"
#include "system_calls/peers.h"
#include "system_calls/trunk_exchange.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;
using faults::Call;

void play(const std::function<void()>& begin, bool undisturbed) {
  const std::size_t before = faults::open_descriptors();
  {
    TrunkExchange exchange;
    begin();
    exchange.start();
    exchange.play();
    exchange.expect_serving();
    faults::disarm();
    exchange.expect_idle();
    exchange.close();
    exchange.expect_each_answered_once();
    if (undisturbed) exchange.expect_undisturbed();
  }
  EXPECT_EQ(faults::open_descriptors(), before) << "descriptors leak";
}

std::vector<Kind> kinds() {
  return {
      {Call::accept4, {ECONNABORTED, EINTR, EAGAIN, EPROTO, EMFILE, ENOBUFS, ENOMEM, EHOSTUNREACH}, {}},
      {Call::connect, {EADDRNOTAVAIL, ENETUNREACH, EINTR, ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH}, {}},
      {Call::getsockopt, {ENOBUFS}, {}},
      {Call::fcntl, {EINTR, EINVAL}, {}},
      {Call::recv, {EINTR, EAGAIN, ENOMEM, faults::kShort}, {ECONNRESET, ETIMEDOUT}},
      {Call::send, {EINTR, EAGAIN, ENOBUFS, ENOMEM, faults::kShort}, {ECONNRESET, EPIPE}},
      {Call::poll, {EINTR, ENOMEM}, {}},
      {Call::read, {EINTR, EAGAIN}, {}},
      // EAGAIN of a pipe that is not full is none of Linux's failures: it stands for a wake that is lost,
      // which is found 100 ms later. A call may then be refused that would have stood.
      {Call::write, {EINTR}, {EAGAIN}},
      {Call::setsockopt, {ENOMEM, ENOBUFS}, {}},
  };
}

class TrunkCalls : public ::testing::TestWithParam<Kind> {};

TEST_P(TrunkCalls, EachIsAnsweredOnceWhateverCallFails) {
  const faults::TestThread exempt;
  fail_each_call(GetParam(), play);
}

INSTANTIATE_TEST_SUITE_P(SystemCalls, TrunkCalls, ::testing::ValuesIn(kinds()),
                         [](const auto& kind) { return std::string(faults::name_of(kind.param.call)); });

class TrunkShortage : public ::testing::Test {
 protected:
  // Two ends whose circuits are all idle.
  void SetUp() override {
    exchange_.start();
    ASSERT_TRUE(TrunkExchange::until([this] { return exchange_.all_idle(); }));
  }
  void TearDown() override { faults::disarm(); }
  // How often a call was made in a span in which each fails, and how often at the most by two threads that
  // try again after a millisecond each.
  static void expect_no_busy_loop(const faults::Fault& fault) {
    constexpr auto kSpan = 100ms;
    constexpr int kThreads = 2;
    const Time from = net::now();
    faults::arm(fault);
    net::pause_until(from + kSpan);
    const std::uint64_t visited = faults::visited(fault.call);
    const auto spent = std::chrono::ceil<std::chrono::milliseconds>(net::now() - from).count();
    faults::disarm();
    EXPECT_LE(visited, static_cast<std::uint64_t>(kThreads * (spent + 20)));
  }
  faults::TestThread exempt_;
  TrunkExchange exchange_;
};

// The connection outlasts a lack of memory for what is to be sent: its calls stand.
TEST_F(TrunkShortage, ConnectionOutlastsALackOfMemoryToSend) {
  for (const int error : {ENOBUFS, ENOMEM}) {
    faults::arm({.call = Call::send, .error = error, .repeat = 3});
    exchange_.expect_serving();
    EXPECT_EQ(faults::failed(), 3U);
    faults::disarm();
    EXPECT_EQ(TrunkExchange::figure(*exchange_.dialling, "connections"), 1);
    exchange_.expect_idle();
  }
}

TEST_F(TrunkShortage, PollThatFailsMakesNoBusyLoopWhileConnected) {
  expect_no_busy_loop({.call = Call::poll, .error = ENOMEM, .repeat = faults::kForEver});
  exchange_.expect_serving();
}

TEST_F(TrunkShortage, PollThatFailsMakesNoBusyLoopWithoutAConnection) {
  exchange_.listening->close();
  ASSERT_TRUE(TrunkExchange::until(
      [this] { return exchange_.dialling->status(false).find("\"down") != std::string::npos; }));
  expect_no_busy_loop({.call = Call::poll, .error = ENOMEM, .repeat = faults::kForEver});
}

TEST_F(TrunkShortage, SendThatFailsMakesNoBusyLoop) {
  for (const int error : {ENOBUFS, ENOMEM}) {
    exchange_.dialling->audit();  // something to say
    expect_no_busy_loop({.call = Call::send, .error = error, .repeat = faults::kForEver});
  }
  exchange_.expect_serving();
}

// A read that can't be done now holds nothing else up: the ends keep their time, and end when asked to.
TEST_F(TrunkShortage, ReadThatFailsHoldsNothingUp) {
  for (const int error : {EAGAIN, ENOMEM}) {
    exchange_.dialling->audit();
    expect_no_busy_loop({.call = Call::recv, .error = error, .repeat = faults::kForEver});
  }
  faults::arm({.call = Call::recv, .error = ENOMEM, .repeat = faults::kForEver});
  exchange_.dialling->audit();
  ASSERT_TRUE(TrunkExchange::until([] { return faults::failed() > 0; }));
  exchange_.close();
}

}  // namespace
}  // namespace reeltack::test
