// Watches that fall silent while open, and discovery that is slow: the one is replaced, the other followed.
#include "crossings/discovery_world.h"

namespace reeltack::test {
namespace {

class DiscoverySilence : public DiscoveryWorld {};

// It falls silent while open: another connection is opened, and what that tells holds.
TEST_F(DiscoverySilence, SilentWatchIsReplaced) {
  FakeDiscovery discovery(1);
  watch_impatiently(discovery);
  std::uint64_t after = 99;
  const net::Fd silent = discovery.accept(after);
  say(silent, frame(1, 1, {{kEndpoint, 0}}));
  EXPECT_TRUE(notified_.await(kEndpoint, ServerState::ready));
  // On a loaded machine the next one may have been taken for silent too before the test has come to speak.
  for (bool told = false; !told && !HasFailure();) {
    const net::Fd next = discovery.accept(after);
    EXPECT_EQ(after, 1U);
    net::write_all(next, frame(2, 2, {{kEndpoint, 1}}));
    do {
      told = notified_.of(kEndpoint) == ServerState::draining;
    } while (!told && !net::readable(next, net::now() + 10ms));
  }
  EXPECT_TRUE(closed(silent)) << "only one is kept once one speaks";
}

// Discovery that answers each connection only after the watch has taken it for silent, and opened another:
// the first one is still read, or none would ever be followed.
TEST_F(DiscoverySilence, SlowDiscoveryIsFollowed) {
  FakeDiscovery discovery(1);
  watch_impatiently(discovery);
  std::uint64_t after = 99;
  const net::Fd slow = discovery.accept(after);
  const net::Fd next = discovery.accept(after);
  say(slow, frame(1, 1, {{kEndpoint, 0}}));
  EXPECT_TRUE(notified_.await(kEndpoint, ServerState::ready));
  EXPECT_TRUE(closed(next));
  // And it is the one that is followed from then on.
  say(slow, frame(2, 2, {{kEndpoint, 1}}));
  EXPECT_TRUE(notified_.await(kEndpoint, ServerState::draining));
}

// Slower by far: further connections are opened and let go, and the oldest still speaks in the end.
TEST_F(DiscoverySilence, TheOldestOfSeveralSilentConnectionsIsKept) {
  FakeDiscovery discovery(1);
  watch_impatiently(discovery);
  std::uint64_t after = 99;
  const net::Fd slow = discovery.accept(after);
  const net::Fd second = discovery.accept(after);
  EXPECT_TRUE(closed(second));
  const net::Fd third = discovery.accept(after);
  say(slow, frame(1, 1, {{kEndpoint, 0}}));
  EXPECT_TRUE(notified_.await(kEndpoint, ServerState::ready));
}

}  // namespace
}  // namespace reeltack::test
