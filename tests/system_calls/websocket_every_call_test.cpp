// The fixed exchange over WebSocket with the n-th system call of each kind failing, for every n and every
// documented errno.
#include <gtest/gtest.h>

#include <cerrno>

#include "system_calls/every_call.h"
#include "system_calls/faults.h"
#include "system_calls/websocket_exchange.h"

namespace reeltack::test {
namespace {

using faults::Call;

std::vector<Kind> kinds() {
  return {
      {Call::accept4,
       {ECONNABORTED, EINTR, EAGAIN, EPROTO, EPERM, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENETDOWN, EHOSTUNREACH},
       {}},
      {Call::recv, {EINTR, EAGAIN, ENOBUFS, ENOMEM, faults::kShort}, {ECONNRESET, ETIMEDOUT, EHOSTUNREACH}},
      {Call::send,
       {EINTR, EAGAIN, ENOBUFS, ENOMEM, faults::kShort},
       {ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH}},
      {Call::read, {EINTR, EAGAIN}, {}},
      // A bell that the loop does not hear costs up to 1 s, in which an attempt may end.
      {Call::write, {EINTR}, {EAGAIN}},
      {Call::poll, {EINTR, ENOMEM}, {}},
      {Call::epoll_ctl, {ENOMEM, ENOSPC}, {}},
      {Call::epoll_wait, {EINTR}, {}},
      {Call::setsockopt, {ENOMEM, ENOBUFS}, {}},
      {Call::shutdown, {ENOTCONN}, {}},
      {Call::close, {EINTR, EIO}, {}},
  };
}

class WebSocketEveryCall : public ::testing::TestWithParam<Kind> {
 protected:
  // Plays the whole; counts what it visits from the first registration on.
  static void run(const std::function<void()>& begin, bool undisturbed) {
    const std::size_t before = faults::open_descriptors();
    {
      WebSocketExchange exchange;
      exchange.start();
      begin();
      exchange.play();
      exchange.expect_serving();
      exchange.finish();
      faults::disarm();
      exchange.expect_each_answered_once();
      if (undisturbed) exchange.expect_undisturbed();
    }
    EXPECT_EQ(faults::open_descriptors(), before) << "descriptors leak";
  }
};

TEST_P(WebSocketEveryCall, FailsOnceWithEachErrnoAndEachCallIsAnsweredOnce) {
  const faults::TestThread exempt;
  fail_each_call(GetParam(), run);
}

INSTANTIATE_TEST_SUITE_P(SystemCalls, WebSocketEveryCall, ::testing::ValuesIn(kinds()),
                         [](const auto& kind) { return std::string(faults::name_of(kind.param.call)); });

}  // namespace
}  // namespace reeltack::test
