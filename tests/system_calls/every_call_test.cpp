// The fixed exchange with the n-th system call of each kind failing, for every n and every documented errno.
#include "system_calls/every_call.h"

#include <gtest/gtest.h>

#include <cerrno>

#include "system_calls/exchange.h"
#include "system_calls/faults.h"

namespace reeltack::test {
namespace {

using faults::Call;

std::vector<Kind> kinds() {
  return {
      {Call::accept4,
       {ECONNABORTED, EINTR, EAGAIN, EPROTO, EPERM, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENETDOWN, EHOSTUNREACH},
       {}},
      {Call::socket, {EMFILE, ENFILE, ENOBUFS, ENOMEM}, {}},
      {Call::connect,
       {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ENOBUFS, ENOMEM, EINTR},
       {ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH}},
      {Call::getsockopt, {}, {ENOBUFS}},
      {Call::ioctl, {EINVAL}, {}},
      {Call::recv, {EINTR, EAGAIN, ENOBUFS, ENOMEM, faults::kShort}, {ECONNRESET, ETIMEDOUT, EHOSTUNREACH}},
      {Call::send,
       {EINTR, EAGAIN, ENOBUFS, ENOMEM, faults::kShort},
       {ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH}},
      {Call::read, {EINTR, EAGAIN}, {}},
      {Call::write, {EINTR, EAGAIN}, {}},
      {Call::poll, {EINTR, ENOMEM}, {}},
      {Call::epoll_ctl, {ENOMEM, ENOSPC}, {}},
      {Call::epoll_wait, {EINTR}, {}},
      {Call::setsockopt, {ENOMEM, ENOBUFS}, {}},
      {Call::shutdown, {ENOTCONN}, {}},
      {Call::close, {EINTR, EIO}, {}},
  };
}

class EveryCall : public ::testing::TestWithParam<Kind> {
 protected:
  // Plays the whole; counts what it visits from the first dial on.
  static void run(const std::function<void()>& begin, bool undisturbed) {
    const std::size_t before = faults::open_descriptors();
    {
      Exchange exchange;
      exchange.start();
      begin();
      exchange.list();
      exchange.play();
      exchange.expect_serving();
      exchange.finish();
      faults::disarm();
      exchange.expect_each_answered_once();
      if (undisturbed) exchange.expect_undisturbed();
      if (undisturbed) {
        EXPECT_EQ(exchange.cut(), 0U);
      }
    }
    EXPECT_EQ(faults::open_descriptors(), before) << "descriptors leak";
  }
};

TEST_P(EveryCall, FailsOnceWithEachErrnoAndEachCallIsAnsweredOnce) {
  const faults::TestThread exempt;
  fail_each_call(GetParam(), run);
}

// An INVITE of which one byte has left may have reached its endpoint: it is not taken for unsent, and goes to
// no other. The same where its first write fails: what the kernel took is not known.
TEST(PartialWrite, CountsAsSent) {
  const faults::TestThread exempt;
  for (const std::uint64_t bytes : {0U, 1U, 2U, 50U}) {
    for (const int error : {ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH}) {
      SCOPED_TRACE(std::to_string(bytes) + " bytes, " + std::to_string(error));
      Exchange exchange;
      exchange.start();
      exchange.list();
      exchange.expect_serving();
      // The first that the program writes for it is the INVITE to its endpoint.
      faults::arm({.call = Call::send, .repeat = bytes, .after = error});
      exchange.invite("a", 1, FakeEndpoint::kAnswers);
      EXPECT_TRUE(exchange.await_final(1));
      EXPECT_EQ(faults::failed(), bytes + 1);
      faults::disarm();
      EXPECT_EQ(exchange.client->calls[1].finals, std::vector{500});
      EXPECT_EQ(exchange.starts(1), 0);
      exchange.expect_serving();
      exchange.expect_each_answered_once();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(SystemCalls, EveryCall, ::testing::ValuesIn(kinds()),
                         [](const auto& kind) { return std::string(faults::name_of(kind.param.call)); });

}  // namespace
}  // namespace reeltack::test
