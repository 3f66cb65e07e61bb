// Frames that are cut, malformed or behind, and an outage: the watch resumes after the last whole event.
#include "crossings/discovery_world.h"

namespace reeltack::test {
namespace {

class Discovery : public DiscoveryWorld {};

TEST_F(Discovery, ConnectionClosedWithinARecordIsResumedAfterTheLastWholeEvent) {
  FakeDiscovery discovery(1);
  watch(discovery);
  const std::string event = frame(1, 1, {{kEndpoint, 0}});
  std::uint64_t after = 99;
  for (const std::size_t cut : {std::size_t{1}, std::size_t{4}, std::size_t{12}, std::size_t{13},
                                std::size_t{20}, event.size() - 1}) {
    const net::Fd connection = discovery.accept(after);
    EXPECT_EQ(after, 0U);
    say(connection, event.substr(0, cut));
  }
  EXPECT_EQ(notified_.of(kEndpoint), std::nullopt);
  const net::Fd connection = discovery.accept(after);
  for (const char byte : event) say(connection, std::string(1, byte));
  EXPECT_TRUE(notified_.await(kEndpoint, ServerState::ready));
}

TEST_F(Discovery, EventsThatAreOlderOrEqualAfterAReconnectUndoNothing) {
  FakeDiscovery discovery(1);
  watch(discovery);
  std::uint64_t after = 99;
  {
    const net::Fd connection = discovery.accept(after);
    say(connection, frame(4, 1, {{kEndpoint, 0}, {ServerId{2}, 0}}) + frame(5, 2, {{kEndpoint, 1}}));
    EXPECT_TRUE(notified_.await(kEndpoint, ServerState::draining));
  }
  const net::Fd connection = discovery.accept(after);
  EXPECT_EQ(after, 5U);
  say(connection,
      frame(4, 1, {{kEndpoint, 0}}) + frame(5, 2, {{kEndpoint, 0}}) + frame(6, 2, {{ServerId{2}, 1}}));
  EXPECT_TRUE(notified_.await(ServerId{2}, ServerState::draining));
  EXPECT_EQ(notified_.of(kEndpoint), ServerState::draining);
}

TEST_F(Discovery, MalformedFrameIsResumedAfterTheLastGoodOne) {
  FakeDiscovery discovery(1);
  watch(discovery);
  std::uint64_t after = 99;
  const net::Fd first = discovery.accept(after);
  say(first, frame(1, 1, {{kEndpoint, 0}}) + frame(2, 7) + frame(3, 2, {{kEndpoint, 2}}));
  EXPECT_TRUE(notified_.await(kEndpoint, ServerState::ready));
  const net::Fd next = discovery.accept(after);
  EXPECT_EQ(after, 1U);
  EXPECT_EQ(notified_.of(kEndpoint), ServerState::ready) << "nothing after it is taken from that connection";
  EXPECT_TRUE(closed(first));
}

// Refused for longer than any pause.
TEST_F(Discovery, LongOutageIsFollowedAgain) {
  FakeDiscovery discovery(1);
  std::uint64_t after = 99;
  watch(discovery);
  {
    const net::Fd first = discovery.accept(after);
    say(first, frame(1, 1, {{kEndpoint, 0}}));
    EXPECT_TRUE(notified_.await(kEndpoint, ServerState::ready));
    discovery.listening.reset();
  }
  net::pause_until(net::now() + 2s);  // several pauses; how many does not matter
  discovery.listening = net::listen_on(discovery.address);
  const net::Fd next = discovery.accept(after);
  EXPECT_EQ(after, 1U);
}

}  // namespace
}  // namespace reeltack::test
