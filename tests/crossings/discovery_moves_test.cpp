// A watch that is moved to another address: only the last place that was named is followed.
#include "crossings/discovery_world.h"
#include "crossings/kernel_connections.h"

namespace reeltack::test {
namespace {

// How many connections to an address are begun and not up.
std::size_t connecting_to(const net::Address& address) {
  return connections_to(address, KernelState::connecting).size();
}

class DiscoveryMoves : public DiscoveryWorld {};

// Moved while the old one is being connected to and never comes up.
TEST_F(DiscoveryMoves, MovedWhileConnecting) {
  FakeDiscovery old(1);
  FakeDiscovery fresh(2);
  // A listener whose queue is full drops what asks for a connection without a word.
  ASSERT_EQ(::listen(old.listening.get(), 0), 0);
  net::Dial how{};
  std::vector<net::Fd> queued;
  for (int i = 0; i < 4; ++i) queued.push_back(net::begin_dial(old.address, how));
  while (net::dial_state(queued.front()) == net::Dial::pending) net::pause_until(net::now() + 1ms);
  const std::size_t before = connecting_to(old.address);
  begin(old, 3, {.connect_timeout = 10min, .max_connect_timeout = 10min});
  const Time by = net::now() + 20s;
  while (connecting_to(old.address) <= before && net::now() < by) net::pause_until(net::now() + 5ms);
  ASSERT_GT(connecting_to(old.address), before);
  watch_->move_to(fresh.address);
  std::uint64_t after = 99;
  const net::Fd connection = fresh.accept(after);
  EXPECT_EQ(after, 3U);
  say(connection, frame(4, 1, {{kEndpoint, 0}}));
  EXPECT_TRUE(notified_.await(kEndpoint, ServerState::ready));
}

// There and back in a row: the connections to either from before are over, and the last place is followed.
TEST_F(DiscoveryMoves, MovedThereAndBack) {
  FakeDiscovery a(1);
  FakeDiscovery b(2);
  watch(a);
  std::uint64_t after = 99;
  const net::Fd first = a.accept(after);
  say(first, frame(1, 1, {{kEndpoint, 0}}));
  EXPECT_TRUE(notified_.await(kEndpoint, ServerState::ready));
  watch_->move_to(b.address);
  watch_->move_to(a.address);
  EXPECT_TRUE(closed(first));
  const net::Fd again = a.accept(after);
  EXPECT_EQ(after, 1U);
  say(again, frame(2, 2, {{kEndpoint, 1}}));
  EXPECT_TRUE(notified_.await(kEndpoint, ServerState::draining));
}

// Moved while the watch is silent: what the old place still says on the connection that was kept is not
// followed.
TEST_F(DiscoveryMoves, MovedWhileASlowConnectionIsKept) {
  FakeDiscovery old(1);
  FakeDiscovery fresh(2);
  watch_impatiently(old);
  std::uint64_t after = 99;
  const net::Fd slow = old.accept(after);
  const net::Fd next = old.accept(after);  // so that the first one is kept beside
  watch_->move_to(fresh.address);
  const net::Fd connection = fresh.accept(after);
  EXPECT_TRUE(closed(slow));
  say(connection, frame(1, 1, {{kEndpoint, 0}}));
  EXPECT_TRUE(notified_.await(kEndpoint, ServerState::ready));
}

}  // namespace
}  // namespace reeltack::test
