// Connections that a link has left while the endpoint keeps them open: more of them than are kept.
#include "crossings/endpoint_world.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{0x71};

class LeftConnections : public EndpointWorld {
 protected:
  void SetUp() override {
    EndpointWorld::SetUp();
    endpoint_ = &add(1);
    kept_.push_back(connected(*endpoint_));
    request(kCall);
    ASSERT_TRUE(is(line(kept_.back()), "START", kCall));
    say(kept_.back(), started_line(kCall));
    turns();
    ASSERT_TRUE(callers_.await(kCall, 1));
  }
  // The next connection; a collecting one is closed on our side at once.
  net::Fd next(bool& collects) {
    net::Fd out = accept(*endpoint_);
    turns();
    collects = out.far_end_closed();
    return out;
  }
  // The endpoint is quiet until it has `count` connections that it keeps, and closes those that collect.
  void await_kept(std::size_t count) {
    while (kept_.size() < count && !HasFailure()) {
      bool collects = false;
      net::Fd connection = next(collects);
      if (!collects) kept_.push_back(std::move(connection));
    }
  }
  // The next connection to collect, while the endpoint speaks on the one in use, so that none replaces it.
  net::Fd collecting() {
    net::Fd out;
    for (const Time by = net::now() + 10s; !out && net::now() < by;) {
      say(kept_.back(), "{\"verb\":\"PENDING\",\"tag\":\"0000000000000005\",\"opts\":{}}\n");
      turns();
      out = net::accept_one(endpoint_->listening, net::now() + 20ms);
    }
    EXPECT_TRUE(static_cast<bool>(out)) << "no connection";
    turns();
    EXPECT_TRUE(out.far_end_closed()) << "it is not to collect";
    return out;
  }
  FakeEndpoint* endpoint_ = nullptr;
  std::vector<net::Fd> kept_;
};

// Two that were left are kept, and a third one collects for them: one of the two gives way, not the third, on
// which the endpoint says what it owes.
TEST_F(LeftConnections, CollectingConnectionIsReadThoughItMakesTooMany) {
  await_kept(3);
  const net::Fd collects = collecting();
  say(collects, end_line(kCall, 16));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 2));
  EXPECT_EQ(callers_.events(kCall).back(), "released 16");
}

// The one that gave way may have been given a release: another connection is opened for it.
TEST_F(LeftConnections, OneThatGaveWayIsCollectedForAgain) {
  await_kept(3);
  collecting().reset();
  turns();
  // The endpoint closes the others that were left: nothing but the one that gave way is left to collect for.
  kept_.erase(kept_.begin(), kept_.end() - 1);
  turns();
  const net::Fd second = collecting();
  say(second, end_line(kCall, 16));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 2));
}

}  // namespace
}  // namespace reeltack::test
