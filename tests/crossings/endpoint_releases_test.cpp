// Releases that cross the end of a connection, in both directions, and calls at an endpoint that falls
// silent.
#include "crossings/endpoint_world.h"

namespace reeltack::test {
namespace {

using Events = std::vector<std::string>;
constexpr CallId kCall{0x71};
constexpr CallId kOther{0x72};

class EndpointReleases : public EndpointWorld {
 protected:
  // A call that stands at the endpoint.
  void let_stand(const net::Fd& connection) {
    request(kCall);
    ASSERT_TRUE(is(line(connection), "START", kCall));
    say(connection, started_line(kCall));
    turns();
    ASSERT_TRUE(callers_.await(kCall, 1));
  }
  // The endpoint has been quiet for so long that a second connection was opened; the first one is left.
  net::Fd replacement(FakeEndpoint& endpoint) {
    net::Fd out = accept(endpoint);
    turns();
    return out;
  }
  // The endpoint does not answer the call's set-up on `first`; it stands by the set-up on the next
  // connection.
  net::Fd let_stand_on_the_next(FakeEndpoint& endpoint, const net::Fd& first) {
    request(kCall);
    EXPECT_TRUE(is(line(first), "START", kCall));
    net::Fd second = replacement(endpoint);
    std::string next = line(second);
    while (!next.empty() && !is(next, "START", kCall)) next = line(second);
    EXPECT_TRUE(is(next, "START", kCall));
    say(second, started_line(kCall));
    turns();
    EXPECT_TRUE(callers_.await(kCall, 1));
    return second;
  }
  // The next connection to an endpoint that goes on speaking on `busy`, which need not be asked for.
  net::Fd accept_beside(FakeEndpoint& endpoint, const net::Fd& busy) {
    net::Fd out;
    for (const Time by = net::now() + 10s; !out && net::now() < by;) {
      say(busy, "{\"verb\":\"PENDING\",\"tag\":\"0000000000000005\",\"opts\":{}}\n");
      turn();
      out = net::accept_one(endpoint.listening, net::now() + 50ms);
    }
    EXPECT_TRUE(static_cast<bool>(out)) << "no connection";
    return out;
  }
};

// Our giving up is lost with its connection: it is told on the next one.
TEST_F(EndpointReleases, GiveUpThatCrossesTheEndOfItsConnectionGoesAgain) {
  FakeEndpoint& endpoint = add(1);
  net::Fd first = connected(endpoint);
  EXPECT_TRUE(start(endpoint, kCall));
  ASSERT_TRUE(is(line(first), "START", kCall));
  endpoint.link->give_up(kCall, 0);
  first.reset();  // not read
  const net::Fd next = accept(endpoint);
  EXPECT_TRUE(is(line(next), "FINISH", kCall));
}

// The answer to an attempt that was given up, unread as the connection ends, while the next attempt waits for
// another connection: it is not that one's answer, and that one is sent once.
TEST_F(EndpointReleases, AnswerOfTheAttemptBeforeIsNotTakenForOneThatHasNotLeft) {
  FakeEndpoint& endpoint = add(1);
  net::Fd first = connected(endpoint);
  EXPECT_TRUE(start(endpoint, kCall));
  ASSERT_TRUE(is(line(first), "START", kCall));
  endpoint.link->give_up(kCall, 0);
  ASSERT_TRUE(is(line(first), "FINISH", kCall));
  say(first, started_line(kCall));
  first.reset();
  EXPECT_TRUE(start(endpoint, kCall, 1));
  const net::Fd next = accept(endpoint);
  const Events lines = lines_until_now(endpoint, next);
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_TRUE(is(lines[0], "FINISH", kCall)) << "the first attempt's, which may not have been read";
  EXPECT_TRUE(is(lines[1], "START", kCall));
}

// The call was given up here, was sent again and stands: the end of its first attempt must not go once more.
TEST_F(EndpointReleases, EndOfTheAttemptBeforeIsNotToldAgainOnceTheNextHasLeft) {
  FakeEndpoint& endpoint = add(1);
  net::Fd first = connected(endpoint);
  EXPECT_TRUE(start(endpoint, kCall));
  ASSERT_TRUE(is(line(first), "START", kCall));
  endpoint.link->give_up(kCall, 0);
  ASSERT_TRUE(is(line(first), "FINISH", kCall));
  EXPECT_TRUE(start(endpoint, kCall, 1));
  ASSERT_TRUE(is(line(first), "START", kCall));
  say(first, end_line(CallId{0x5}, 16) + started_line(kCall));
  turns();
  ASSERT_TRUE(callers_.await(CallId{0x5}, 1));
  // The core knows no such call and releases it: that one line is all that is owed of it.
  ASSERT_TRUE(is(line(first), "FINISH", kCall));
  first.reset();
  const net::Fd next = accept(endpoint);
  const Events lines = lines_until_now(endpoint, next);
  EXPECT_EQ(std::count_if(lines.begin(), lines.end(), [](const auto& l) { return is(l, "FINISH", kCall); }),
            1);
}

// The first connection is cut off: the endpoint takes it for open, and sends there what concerns its calls,
// even once another is up. It also sends a release on the next one opened, so that another is opened for
// these.
TEST_F(EndpointReleases, ReleaseOnAConnectionThatIsCutOffIsCollectedByAnother) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd first = connected(endpoint);
  let_stand(first);
  const net::Fd second = replacement(endpoint);
  request(kOther);
  ASSERT_TRUE(is(line(second), "START", kOther));
  const net::Fd third = accept_beside(endpoint, second);  // the first one is never closed by the endpoint
  say(third, end_line(kCall, 16));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 2));
  EXPECT_EQ(callers_.events(kCall).back(), "released 16");
  // The second one is still in use, and what is open there was not given up.
  say(second, started_line(kOther));
  turns();
  ASSERT_TRUE(callers_.await(kOther, 1));
  EXPECT_EQ(callers_.events(kOther), Events{"stands sdp"});
  EXPECT_EQ(lines_until_now(endpoint, second), Events{});
}

// And what comes on the first one itself seconds later is taken.
TEST_F(EndpointReleases, ReleaseOnAConnectionThatWasLeftIsTakenSecondsLater) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd first = connected(endpoint);
  let_stand(first);
  const net::Fd second = replacement(endpoint);
  const net::Fd third = accept_beside(endpoint, second);  // 1 s later
  say(first, end_line(kCall, 16));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 2));
  EXPECT_EQ(callers_.events(kCall).back(), "released 16");
}

// Guards against a call that stands and whose caller is told that it is over: a refusal of an earlier
// attempt, late on the connection that was left, was taken for the end of the call.
TEST_F(EndpointReleases, LateRefusalOfTheAttemptBeforeDoesNotEndTheCallThatStands) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd first = connected(endpoint);
  const net::Fd second = let_stand_on_the_next(endpoint, first);
  say(first, end_line(kCall, 34) + end_line(kOther, 16));
  turns();
  ASSERT_TRUE(callers_.await(kOther, 1)) << "what came before it has been handled";
  EXPECT_EQ(callers_.events(kCall), Events{"stands sdp"});
}

// An end on that connection which may be the earlier attempt's or the call's ends it on both sides.
TEST_F(EndpointReleases, LateBreakThatMayBeOfTheAttemptBeforeEndsTheCallOnBothSides) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd first = connected(endpoint);
  const net::Fd second = let_stand_on_the_next(endpoint, first);
  say(first, end_line(kCall, 41));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 2));
  EXPECT_EQ(callers_.events(kCall).back(), "released 41");
  EXPECT_TRUE(is(line(second), "FINISH", kCall));
}

// The connection ends, and then the machine is silent: a new one neither comes up nor is refused. Its calls
// are over for their callers within the time that a silent open connection has.
TEST_F(EndpointReleases, CallsAtAnEndpointThatVanishesAfterItsConnectionEndedAreReleased) {
  FakeEndpoint& endpoint = add(1);
  net::Fd first = connected(endpoint);
  let_stand(first);
  // A listener whose queue is full drops what asks for a connection without a word.
  ASSERT_EQ(::listen(endpoint.listening.get(), 0), 0);
  net::Dial how{};
  std::vector<net::Fd> queued;
  for (int i = 0; i < 4; ++i) queued.push_back(net::begin_dial(endpoint.address, how));
  first.reset();
  const Time ended = net::now();
  while (callers_.events(kCall).size() < 2 && net::now() < ended + 30s) {
    turn();
    net::pause_until(net::now() + 5ms);
  }
  ASSERT_EQ(callers_.events(kCall).size(), 2U);
  EXPECT_EQ(callers_.events(kCall).back(), "released 41");
}

}  // namespace
}  // namespace reeltack::test
