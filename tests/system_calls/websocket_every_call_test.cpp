// The fixed exchange over WebSocket with the n-th system call of each kind failing, for every n and every
// documented errno.
#include <gtest/gtest.h>

#include <cerrno>
#include <iostream>

#include "system_calls/faults.h"
#include "system_calls/websocket_exchange.h"

namespace reeltack::test {
namespace {

using faults::Call;
using faults::Fault;

struct Kind {
  Call call{};
  std::vector<int> transient;  // every call gets what it gets where nothing fails
  std::vector<int> final;      // one connection or attempt may be lost
};

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
  const Kind& kind = GetParam();
  run(faults::count_only, true);
  const std::uint64_t visited = faults::visited(kind.call);
  std::uint64_t runs = 0;
  std::uint64_t hits = 0;
  const auto fail_each = [&](int error, bool undisturbed) {
    for (std::uint64_t n = 1; n <= visited && !HasFailure(); ++n) {
      const Fault fault{.call = kind.call, .error = error, .first = n};
      SCOPED_TRACE(to_text(fault));
      run([&] { faults::arm(fault); }, undisturbed);
      ++runs;
      hits += faults::failed();
    }
  };
  for (const int error : kind.transient) fail_each(error, true);
  for (const int error : kind.final) fail_each(error, false);
  std::cout << faults::name_of(kind.call) << ": visited " << visited << " times; " << runs << " runs, "
            << hits << " with a failed call\n";
  EXPECT_GT(visited, 0U);
}

INSTANTIATE_TEST_SUITE_P(SystemCalls, WebSocketEveryCall, ::testing::ValuesIn(kinds()),
                         [](const auto& kind) { return std::string(faults::name_of(kind.param.call)); });

}  // namespace
}  // namespace reeltack::test
