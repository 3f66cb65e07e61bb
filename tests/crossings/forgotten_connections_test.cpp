// Calls that outlive the connection on which they were set up, while the endpoint still considers it open.
#include "crossings/endpoint_world.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{0x81};
constexpr Duration kForgotten = 9s;         // a left connection is read for 8 s
constexpr Duration kReleaseLimit = 8050ms;  // from the end of a call to its release towards the caller

class ForgottenConnections : public EndpointWorld {
 protected:
  void SetUp() override {
    EndpointWorld::SetUp();
    endpoint_ = &add(1);
    quiet_ = connected(*endpoint_);
    request(kCall);
    ASSERT_TRUE(is(line(quiet_), "START", kCall));
    say(quiet_, started_line(kCall));
    turns();
    ASSERT_TRUE(callers_.await(kCall, 1));
  }
  // The endpoint speaks on the connection in use, so that it is never quiet. Returns the connections that
  // come up meanwhile, those that collect (closed on our side) and others.
  std::vector<net::Fd> speak_until(Time by, std::size_t wanted = std::numeric_limits<std::size_t>::max()) {
    std::vector<net::Fd> out;
    while (net::now() < by && out.size() < wanted) {
      if (in_use_) say(in_use_, "{\"verb\":\"PENDING\",\"tag\":\"0000000000000005\",\"opts\":{}}\n");
      turns();
      net::Fd next = net::accept_one(endpoint_->listening, net::now() + 20ms);
      if (!next) continue;
      turns();
      if (!in_use_) {
        in_use_ = std::move(next);
      } else {
        out.push_back(std::move(next));
      }
    }
    return out;
  }
  FakeEndpoint* endpoint_ = nullptr;
  net::Fd quiet_;
  net::Fd in_use_;
};

// Guards against a lost release: its call ends after the quiet connection of its set-up was forgotten, so
// that the endpoint says it on the next connection that is opened.
TEST_F(ForgottenConnections, ReleaseOfACallThatOutlivesItsQuietConnectionIsCollected) {
  speak_until(net::now() + 2500ms + kForgotten);
  ASSERT_TRUE(in_use_);
  const Time over = net::now();
  const std::vector<net::Fd> opened = speak_until(over + kReleaseLimit, 1);
  ASSERT_EQ(opened.size(), 1U) << "no connection is opened for the release";
  say(opened.front(), end_line(kCall, 16));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 2));
  EXPECT_EQ(callers_.events(kCall).back(), "released 16");
  EXPECT_LE(net::now(), over + kReleaseLimit);
}

// Guards against connections without end: no call of the quiet connection is left to collect for.
TEST_F(ForgottenConnections, NothingIsCollectedOnceTheCallsOfTheQuietConnectionHaveEnded) {
  constexpr CallId kLater{0x82};
  speak_until(net::now() + 2500ms + kForgotten);
  ASSERT_TRUE(in_use_);
  request(kLater);
  ASSERT_TRUE(is(line(in_use_), "START", kLater));
  say(in_use_, started_line(kLater));
  say(in_use_, end_line(kCall, 16));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 2));
  speak_until(net::now() + 2500ms);  // the one that was due
  EXPECT_TRUE(speak_until(net::now() + 5s).empty());
}

// Guards against a lost release: we closed the connection, and the endpoint can't have noticed.
TEST_F(ForgottenConnections, ReleaseOfACallWhoseConnectionWeClosedIsCollected) {
  say(quiet_, "not a message\n");
  turns();
  speak_until(net::now() + 1s);
  ASSERT_TRUE(in_use_);
  const std::vector<net::Fd> opened = speak_until(net::now() + kReleaseLimit, 1);
  ASSERT_EQ(opened.size(), 1U) << "no connection is opened for the release";
  say(opened.front(), end_line(kCall, 16));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 2));
}

}  // namespace
}  // namespace reeltack::test
