// How many system calls a set-up costs that is answered: counted, since times on a shared machine tell
// little.
#include <gtest/gtest.h>

#include <algorithm>

#include "system_calls/exchange.h"
#include "system_calls/faults.h"

namespace reeltack::test {
namespace {

using faults::Call;

constexpr std::uint64_t kFirstCall = 1000;
constexpr std::uint64_t kSetUps = 20;

struct Cost {
  std::uint64_t polls = 0;
  std::uint64_t sends = 0;
};

// From the INVITE to the 200 at the caller.
Cost cost_of_set_up(Exchange& exchange, std::uint64_t call) {
  faults::count_only();
  exchange.invite("a", call, FakeEndpoint::kAnswers);
  EXPECT_TRUE(exchange.await_final(call));
  EXPECT_EQ(exchange.client->calls[call].finals, std::vector{200});
  return {faults::visited(Call::poll), faults::visited(Call::send)};
}

// One look at each far end, before the START and before the 200, and one write of each. A set-up that is held
// up, or that comes as a connection is dialled, costs more looks; so the cheapest of several is judged.
TEST(SystemCallCost, SetUpLooksOnceAtEachFarEndAndWritesOnceToEach) {
  const faults::TestThread exempt;
  Exchange exchange;
  exchange.start();
  exchange.list();
  ASSERT_TRUE(exchange.until([&] { return exchange.core->ready(); }));
  exchange.expect_serving();  // the connections are up
  Cost least{UINT64_MAX, UINT64_MAX};
  for (std::uint64_t call = kFirstCall; call < kFirstCall + kSetUps; ++call) {
    const Cost cost = cost_of_set_up(exchange, call);
    least.polls = std::min(least.polls, cost.polls);
    least.sends = std::min(least.sends, cost.sends);
    exchange.release(call);
  }
  EXPECT_EQ(least.polls, 2U);
  EXPECT_EQ(least.sends, 2U);
  exchange.finish();
}

}  // namespace
}  // namespace reeltack::test
