// An endpoint that accepts no further connection, because it holds as many as it accepts or because its
// process has died: a refused connection proves nothing about a call that stands on one that is open.
#include <algorithm>

#include "crossings/established_calls.h"
#include "crossings/kernel_connections.h"

namespace reeltack::test {
namespace {

using Events = std::vector<std::string>;
constexpr CallId kCall{0x91};

// How many connections to an address the kernel keeps alive by probes of its own, as it lists them.
std::ptrdiff_t kept_alive_to(const net::Address& address) {
  const std::vector<std::string> connections = connections_to(address, KernelState::established);
  return std::count_if(connections.begin(), connections.end(),
                       [](const std::string& row) { return row.find(" 02:") != std::string::npos; });
}

class ScarceConnections : public EstablishedCalls {
 protected:
  void SetUp() override {
    EndpointWorld::SetUp();
    endpoint_ = &add(1);
    first_ = connected(*endpoint_);
    establish(kCall, first_);
  }
  void refuse_connections() { endpoint_->listening.reset(); }
  void accept_connections() { endpoint_->listening = net::listen_on(endpoint_->address); }
  void expect_stands_until_its_end(const net::Fd& connection) {
    EXPECT_EQ(callers_.events(kCall), Events{"stands sdp"});
    say(connection, end_line(kCall, 16));
    turns();
    ASSERT_TRUE(callers_.await(kCall, 2));
    EXPECT_EQ(callers_.events(kCall), (Events{"stands sdp", "released 16"}));
  }

  FakeEndpoint* endpoint_ = nullptr;
  net::Fd first_;
};

// Guards against calls that are cut while their office holds them (review/9).
TEST_F(ScarceConnections, QuietConnectionIsKeptWhereASecondOneIsRefused) {
  refuse_connections();
  turn_for(7s);
  expect_stands_until_its_end(first_);
}

// It is for the kernel to find out whether the quiet connection still leads anywhere.
TEST_F(ScarceConnections, QuietConnectionIsKeptAliveOnceASecondOneIsRefused) {
  EXPECT_EQ(kept_alive_to(endpoint_->address), 0);
  refuse_connections();
  turn_for(3s);
  EXPECT_EQ(kept_alive_to(endpoint_->address), 1);
}

// The connection ends by the far end's doing after a refusal: the process has died.
TEST_F(ScarceConnections, ProcessThatDiesAfterARefusalIsDead) {
  refuse_connections();
  turn_for(3s);
  first_.reset();
  turn_for(300ms);
  ASSERT_TRUE(callers_.await(kCall, 2));
  EXPECT_EQ(callers_.events(kCall), (Events{"stands sdp", "released 41"}));
}

// This side has closed the connection, and another controller has taken its place.
TEST_F(ScarceConnections, RefusalAfterAConnectionThatThisSideClosedEndsNoCall) {
  refuse_connections();
  say(first_, "not a line of the protocol\n");
  turn_for(1s);
  EXPECT_TRUE(first_.far_end_closed());
  accept_connections();
  const net::Fd second = accept(*endpoint_);
  turns();
  expect_stands_until_its_end(second);
}

// As long as that, no message and no connection: its calls count as lost, as those of any silent office.
TEST_F(ScarceConnections, RefusalsWithoutEndAfterSuchACloseAreALoss) {
  refuse_connections();
  say(first_, "not a line of the protocol\n");
  turn_for(7s);
  ASSERT_TRUE(callers_.await(kCall, 2));
  EXPECT_EQ(callers_.events(kCall), (Events{"stands sdp", "released 41"}));
}

}  // namespace
}  // namespace reeltack::test
