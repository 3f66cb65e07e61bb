// Calls that fail for a while, or for good: this host's ports, descriptors and memory, and short reads and
// writes at every byte.
#include <gtest/gtest.h>

#include <cerrno>

#include "system_calls/exchange.h"
#include "system_calls/faults.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;
using faults::Call;
using faults::Fault;

class Shortage : public ::testing::Test {
 protected:
  faults::TestThread exempt_;
};

// The whole exchange with a fault that lasts: everybody gets what they get without it.
void play_undisturbed(const Fault& fault) {
  SCOPED_TRACE(to_text(fault));
  const std::size_t before = faults::open_descriptors();
  {
    Exchange exchange;
    exchange.start();
    faults::arm(fault);
    exchange.list();
    exchange.play();
    exchange.expect_serving();
    exchange.finish();
    faults::disarm();
    EXPECT_GT(faults::failed(), 0U);
    exchange.expect_each_answered_once();
    exchange.expect_undisturbed();
    EXPECT_EQ(exchange.cut(), 0U);
    EXPECT_EQ(exchange.blamed(), 0);
  }
  EXPECT_EQ(faults::open_descriptors(), before);
}

TEST_F(Shortage, EveryReadAndWriteMovesOneByte) {
  play_undisturbed({.call = Call::recv, .repeat = faults::kForEver});
  play_undisturbed({.call = Call::send, .repeat = faults::kForEver});
}

TEST_F(Shortage, StormsOfInterruptions) {
  for (const Call call : {Call::recv, Call::send, Call::accept4, Call::epoll_wait, Call::poll, Call::read,
                          Call::write, Call::connect})
    play_undisturbed({.call = call, .error = EINTR, .repeat = call == Call::connect ? 2U : 300U});
}

// A call waits at an endpoint while this host has no room to connect to it: it waits on, and is sent once
// there is; the endpoint is not blamed.
TEST_F(Shortage, CallWaitsForAPortOrADescriptorAndIsSentOnce) {
  constexpr std::uint64_t kTries = 12;
  std::vector<Fault> all;
  for (const int error : {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ENOBUFS, ENOMEM})
    all.push_back({.call = Call::connect, .error = error, .repeat = kTries});
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM})
    all.push_back({.call = Call::socket, .error = error, .repeat = kTries});
  for (const Fault& fault : all) {
    SCOPED_TRACE(to_text(fault));
    Exchange exchange;
    exchange.start();
    faults::arm(fault);
    exchange.list();
    ASSERT_TRUE(exchange.until([&] { return exchange.core->ready(); }));
    exchange.invite("a", 1, FakeEndpoint::kAnswers);
    EXPECT_TRUE(exchange.await_final(1));
    EXPECT_EQ(exchange.client->calls[1].finals, std::vector{200});
    EXPECT_EQ(exchange.starts(1), 1);
    EXPECT_EQ(exchange.blamed(), 0);
    faults::disarm();
    EXPECT_GE(faults::failed(), 3U);  // also while the call waited, not as the list was taken alone
  }
}

// For good: the call has its one final answer before its client leaves, was sent nowhere, and the dials are
// counted: no busy loop.
TEST_F(Shortage, CallIsRefusedWhereNoPortComesFree) {
  Exchange exchange;
  exchange.start();
  faults::arm({.call = Call::connect, .error = EADDRNOTAVAIL, .repeat = faults::kForEver});
  exchange.list();
  ASSERT_TRUE(exchange.until([&] { return exchange.core->ready(); }));
  const Time from = net::now();
  exchange.invite("a", 1, FakeEndpoint::kAnswers);
  EXPECT_TRUE(exchange.await_final(1));
  const auto spent = std::chrono::ceil<std::chrono::milliseconds>(net::now() - from).count();
  // Refused as one that went nowhere, not at its deadline.
  EXPECT_EQ(exchange.client->calls[1].finals, std::vector{503});
  EXPECT_EQ(exchange.starts(1), 0);
  EXPECT_EQ(exchange.blamed(), 0);
  EXPECT_LE(faults::visited(Call::connect), static_cast<std::uint64_t>(spent / 10 + 20));
  faults::disarm();
  exchange.expect_serving();
}

// No descriptor for anybody for a while: the listener is asked each 5 ms, not without end, and comes back.
TEST_F(Shortage, ListenerComesBackAfterALackOfDescriptorsWithoutABusyLoop) {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    Exchange exchange;
    exchange.start();
    exchange.list();
    ASSERT_TRUE(exchange.until([&] { return exchange.core->ready(); }));
    faults::arm({.call = Call::accept4, .error = error, .repeat = 20});
    const Time from = net::now();
    exchange.invite("a", 1, FakeEndpoint::kAnswers);
    EXPECT_TRUE(exchange.await_final(1));
    EXPECT_EQ(exchange.client->calls[1].finals, std::vector{200});
    EXPECT_GE(net::now() - from, 19 * 4ms) << "20 failures must take 5 ms each";
    faults::disarm();
  }
}

// A call is in the listener's queue as the program is asked to end, and there is no descriptor for it yet.
TEST_F(Shortage, CallInTheQueueIsTakenInAtTheEndOnceThereIsRoom) {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM, ECONNABORTED, EINTR, EAGAIN}) {
    SCOPED_TRACE(error);
    Exchange exchange;
    exchange.start();
    exchange.list();
    ASSERT_TRUE(exchange.until([&] { return exchange.core->ready(); }));
    exchange.client->reconnects(false);
    // It stays in the queue for 40 looks, 5 ms apart; the end, which begins meanwhile, looks 50 times.
    faults::arm({.call = Call::accept4, .error = EMFILE, .repeat = 40, .after = error});
    exchange.invite("a", 1, FakeEndpoint::kAnswers);
    ASSERT_TRUE(exchange.until([] { return faults::failed() > 0; }));
    base::Thread closing([&] { exchange.sip->close_idle(); });
    EXPECT_TRUE(exchange.await_final(1));
    EXPECT_EQ(exchange.client->calls[1].finals, std::vector{200});
    closing.join();
    faults::disarm();
  }
}

// Whatever the listener answers to the end, the end comes.
TEST_F(Shortage, ProgramEndsWhereNoConnectionCanBeAccepted) {
  for (const int error : {EMFILE, ECONNABORTED, EINTR, EBADF}) {
    SCOPED_TRACE(error);
    Exchange exchange;
    exchange.start();
    exchange.list();
    exchange.client->reconnects(false);
    exchange.client->connect("a");
    faults::arm({.call = Call::accept4, .error = error, .repeat = faults::kForEver});
    exchange.client->connect("b");
    exchange.sip->close_idle();
    EXPECT_TRUE(exchange.until([&] { return exchange.sip->closed(); }));
    faults::disarm();
  }
}

// Memory to watch a descriptor comes back only after a while: what is not watched is looked at meanwhile.
TEST_F(Shortage, DescriptorsThatCantBeWatchedAreLookedAt) {
  for (const int error : {ENOMEM, ENOSPC}) {
    Exchange exchange;
    exchange.start();
    faults::arm({.call = Call::epoll_ctl, .error = error, .repeat = faults::kForEver});
    exchange.list();
    exchange.play();
    exchange.expect_undisturbed();
    exchange.expect_each_answered_once();
    faults::disarm();
    exchange.expect_serving();
  }
}

// The kernel refuses what a handover asks for: the log says so, and who comes is still served here.
TEST_F(Shortage, PortThatCantBeYieldedIsSaidAndServedOn) {
  for (const int error : {ENOMEM, EINVAL}) {
    Exchange exchange;
    exchange.start();
    exchange.list();
    ASSERT_TRUE(exchange.until([&] { return exchange.core->ready(); }));
    ::testing::internal::CaptureStderr();
    faults::arm({.call = Call::setsockopt, .error = error});
    {
      const faults::ProgramCalls counted;
      exchange.sip->yield(100);
    }
    const std::uint64_t failed = faults::failed();
    faults::disarm();
    const std::string log = ::testing::internal::GetCapturedStderr();
    EXPECT_EQ(failed, 1U);
    EXPECT_NE(log.find("the port can't be yielded: new connections still come here too"), std::string::npos)
        << log;
    exchange.expect_serving();
  }
}

// Each call of the start fails: the program says so, or goes on without; it neither hangs nor leaks.
TEST_F(Shortage, StartThatFailsEndsAndLeaksNothing) {
  const std::vector<std::pair<Call, int>> all = {{Call::socket, EMFILE},     {Call::epoll_create1, EMFILE},
                                                 {Call::eventfd, ENFILE},    {Call::epoll_ctl, ENOMEM},
                                                 {Call::bind, EADDRINUSE},   {Call::listen, EADDRINUSE},
                                                 {Call::setsockopt, ENOMEM}, {Call::pthread_create, EAGAIN}};
  for (const auto& [call, error] : all) {
    std::uint64_t hits = 1;
    std::uint64_t refused = 0;
    for (std::uint64_t n = 1; hits > 0 && n < 50; ++n) {
      const Fault fault{.call = call, .error = error, .first = n};
      SCOPED_TRACE(to_text(fault));
      const std::size_t before = faults::open_descriptors();
      {
        Exchange exchange;
        faults::arm(fault);
        try {
          exchange.start();
          faults::disarm();
          exchange.list();
          exchange.expect_serving();
        } catch (const std::runtime_error& said) {
          faults::disarm();
          ++refused;
          // A thread is named by its own word.
          const char* named = call == Call::pthread_create ? "no thread" : faults::name_of(call);
          EXPECT_NE(std::string(said.what()).find(named), std::string::npos) << said.what();
        }
        hits = faults::failed();
      }
      EXPECT_EQ(faults::open_descriptors(), before);
    }
    EXPECT_EQ(refused > 0, call != Call::setsockopt) << faults::name_of(call);
  }
}

}  // namespace
}  // namespace reeltack::test
