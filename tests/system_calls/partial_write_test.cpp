// A set-up of which only a part could be written to its endpoint.
#include <gtest/gtest.h>

#include <cerrno>

#include "crossings/endpoint_world.h"
#include "system_calls/faults.h"

namespace reeltack::test {
namespace {

using faults::Call;

constexpr CallId kCall{0x71};
constexpr CallId kOther{0x72};

class PartialWrite : public EndpointWorld {
 protected:
  // The next set-up leaves by one byte, and its connection takes no more for now.
  static void take_one_byte() { faults::arm({.call = Call::send, .repeat = 1, .after = EAGAIN}); }
  static void take_nothing() {
    faults::arm({.call = Call::send, .error = EAGAIN, .repeat = faults::kForEver});
  }
  const faults::TestThread exempt_;
};

// It may have run for all we know: as one that has left whole, it is not sent again where it must not run
// twice, and the endpoint is told that it is over.
TEST_F(PartialWrite, ThenAResetCountsAsSent) {
  FakeEndpoint& endpoint = add(1);
  net::Fd connection = connected(endpoint);
  endpoint.held = true;
  take_one_byte();
  request(kCall, 9s, kOnce);
  ASSERT_TRUE(links_.await_start(endpoint.id, kCall));
  ASSERT_EQ(faults::failed(), 2U);
  faults::disarm();
  const linger abrupt{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(connection.get(), SOL_SOCKET, SO_LINGER, &abrupt, sizeof abrupt);
  connection.reset();
  endpoint.held = false;
  const net::Fd next = accept(endpoint);
  EXPECT_TRUE(is(line(next), "FINISH", kCall));
  ASSERT_TRUE(callers_.await(kCall, 1));
  EXPECT_EQ(callers_.events(kCall),
            std::vector{"ended " + std::to_string(static_cast<int>(core::FailureReason::attempts_failed))});
  EXPECT_EQ(lines_until_now(endpoint, next), std::vector<std::string>{});
}

// One that waits behind it has not begun to leave: as the endpoint drains it goes elsewhere at once, and what
// was begun is written to its end.
TEST_F(PartialWrite, WhatWaitsBehindItLeavesElsewhereAsTheEndpointDrains) {
  FakeEndpoint& first = add(1);
  const net::Fd connection = connected(first);
  first.held = true;
  take_one_byte();
  {
    const faults::ProgramCalls counted;
    EXPECT_TRUE(start(first, kCall));
  }
  ASSERT_EQ(faults::failed(), 2U);
  take_nothing();
  request(kOther, 9s, kOnce);
  ASSERT_TRUE(links_.await_start(first.id, kOther));
  ASSERT_GT(faults::failed(), 0U);
  FakeEndpoint& second = add(2);
  const net::Fd other = connected(second);
  faults::disarm();
  tell(first, ServerState::draining);
  EXPECT_TRUE(is(line(other), "START", kOther));
  EXPECT_EQ(callers_.events(kOther), std::vector<std::string>{});
  first.held = false;
  EXPECT_TRUE(is(line(connection), "START", kCall));
  EXPECT_EQ(lines_until_now(first, connection), std::vector<std::string>{});
}

}  // namespace
}  // namespace reeltack::test
