// Connections to endpoints that end, never come up or are told as over while a set-up goes on them: what has
// not begun to leave is sent once on the next, and what may have left is never taken for unsent.
#include "core/office_list.h"
#include "crossings/endpoint_world.h"

namespace reeltack::test {
namespace {

using Lines = std::vector<std::string>;
constexpr CallId kCall{0x71};
constexpr CallId kOther{0x72};

class EndpointConnections : public EndpointWorld {};

// The endpoint closed its idle connection, and we have not been told yet: the set-up goes on the next one.
TEST_F(EndpointConnections, SetUpAfterAnIdleCloseGoesOnTheNextConnection) {
  FakeEndpoint& endpoint = add(1);
  net::Fd idle = connected(endpoint);
  idle.reset();          // its end has come to our side, on loopback at once
  endpoint.held = true;  // we have not looked
  request(kCall, 9s, kOnce);
  ASSERT_TRUE(links_.await_start(endpoint.id, kCall));
  endpoint.held = false;
  const net::Fd next = accept(endpoint);
  EXPECT_TRUE(is(line(next), "START", kCall));
  EXPECT_EQ(callers_.events(kCall), Lines{});
}

// The same where the endpoint has forgotten the connection and resets it.
TEST_F(EndpointConnections, SetUpAfterAResetGoesOnTheNextConnection) {
  FakeEndpoint& endpoint = add(1);
  net::Fd idle = connected(endpoint);
  const linger abrupt{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(idle.get(), SOL_SOCKET, SO_LINGER, &abrupt, sizeof abrupt);
  idle.reset();
  endpoint.held = true;  // we have not looked
  request(kCall, 9s, kOnce);
  ASSERT_TRUE(links_.await_start(endpoint.id, kCall));
  endpoint.held = false;
  const net::Fd next = accept(endpoint);
  EXPECT_TRUE(is(line(next), "START", kCall));
}

// The endpoint resets the connection once the set-up has left: it may have run, so that it isn't sent again
// within the release guard, and the endpoint is told that it is over.
TEST_F(EndpointConnections, SetUpThatLeftBeforeAResetIsNotSentAgainUnguarded) {
  FakeEndpoint& endpoint = add(1);
  net::Fd first = connected(endpoint);
  request(kCall);
  ASSERT_TRUE(is(line(first), "START", kCall));
  const linger abrupt{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(first.get(), SOL_SOCKET, SO_LINGER, &abrupt, sizeof abrupt);
  const Time ended = net::now();
  first.reset();
  const net::Fd next = accept(endpoint);
  EXPECT_TRUE(is(line(next), "FINISH", kCall)) << "its answer may have crossed the end";
  EXPECT_TRUE(is(line(next), "START", kCall));
  EXPECT_GE(net::now() - ended, 300ms);
}

// After a quiet time the process is gone: its end is met by the first write, and nobody listens any more. The
// call never left, so that one which must not run twice goes to another endpoint.
TEST_F(EndpointConnections, FirstCallAfterAQuietTimeWhoseEndpointIsGoneGoesToAnother) {
  FakeEndpoint& first = add(1);
  net::Fd idle = connected(first);
  first.held = true;
  idle.reset();
  first.listening.reset();
  request(kCall, 9s, kOnce);
  ASSERT_TRUE(links_.await_start(first.id, kCall));
  FakeEndpoint& second = add(2);
  const net::Fd other = connected(second);
  first.held = false;
  ASSERT_TRUE(is(line(other), "START", kCall));
  say(other, started_line(kCall));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 1));
  EXPECT_EQ(callers_.events(kCall), Lines{"stands sdp"});
}

// The connection comes up only after the call's deadline: the caller has its one answer by then, and nothing
// of the call is sent.
TEST_F(EndpointConnections, ConnectionThatComesUpAfterTheDeadlineCarriesNothingOfTheCall) {
  FakeEndpoint& endpoint = add(1);
  endpoint.held = true;  // as far as the link knows it is still connecting
  tell(endpoint, ServerState::ready);
  request(kCall, 300ms);
  ASSERT_TRUE(links_.await_start(endpoint.id, kCall));
  ASSERT_TRUE(callers_.await(kCall, 1));
  endpoint.held = false;
  const net::Fd late = accept(endpoint);
  EXPECT_EQ(lines_until_now(endpoint, late), Lines{});
  EXPECT_EQ(callers_.events(kCall).size(), 1U);
}

// The same where the caller gives up long before its deadline.
TEST_F(EndpointConnections, ConnectionThatComesUpAfterTheCallWasGivenUpCarriesNothingOfIt) {
  FakeEndpoint& endpoint = add(1);
  endpoint.held = true;
  tell(endpoint, ServerState::ready);
  request(kCall);
  ASSERT_TRUE(links_.await_start(endpoint.id, kCall));
  core_->cancel(kCall, callers_);
  ASSERT_TRUE(callers_.await(kCall, 1));
  endpoint.held = false;
  const net::Fd late = accept(endpoint);
  EXPECT_EQ(lines_until_now(endpoint, late), Lines{});
}

// The first connection does not come up, and the endpoint drains meanwhile: the call need not wait for
// either.
TEST_F(EndpointConnections, DrainWhileConnectingFreesWhatWaitsForTheConnection) {
  FakeEndpoint& first = add(1);
  first.held = true;
  tell(first, ServerState::ready);
  request(kCall);
  ASSERT_TRUE(links_.await_start(first.id, kCall));
  FakeEndpoint& second = add(2);
  const net::Fd other = connected(second);
  tell(first, ServerState::draining);
  EXPECT_TRUE(is(line(other), "START", kCall)) << "it goes to another while the first still connects";
  first.held = false;
  turns();
  const net::Fd late = net::accept_one(first.listening, net::now() + 50ms);
  if (late) {
    EXPECT_EQ(lines_until_now(first, late), Lines{}) << "nothing new after it was told as draining";
  }
}

// Told as draining between the choice and the write.
TEST_F(EndpointConnections, DrainBetweenChoiceAndWriteSendsNothing) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd connection = connected(endpoint);
  tell(endpoint, ServerState::draining);
  EXPECT_TRUE(start(endpoint, kCall));
  EXPECT_EQ(lines_until_now(endpoint, connection), Lines{});
}

// The endpoint has closed its connection, which we have not seen, and is told as draining: the set-up is in
// no queue any more and has not left. It goes to another, also where an attempt that may have run is final.
TEST_F(EndpointConnections, DrainAfterAnUnseenCloseReturnsTheSetUpAsNotSent) {
  FakeEndpoint& first = add(1);
  net::Fd idle = connected(first);
  idle.reset();
  first.held = true;  // we have not looked
  request(kCall, 9s, kOnce);
  ASSERT_TRUE(links_.await_start(first.id, kCall));
  FakeEndpoint& second = add(2);
  const net::Fd other = connected(second);
  tell(first, ServerState::draining);
  first.held = false;
  EXPECT_TRUE(is(line(other), "START", kCall));
  EXPECT_EQ(callers_.events(kCall), Lines{});
}

// Removed and added again at the same address as a new start: nothing that was meant for the old process goes
// to the new one, on either connection.
TEST_F(EndpointConnections, NewStartAtTheSameAddressGetsNothingOfTheOldProcess) {
  FakeEndpoint& endpoint = add(1);
  net::Fd old = connected(endpoint);
  old.reset();
  turns();
  endpoint.link->release(CallId{0x99});  // no connection: owed to the process that goes
  tell(endpoint, ServerState::ready, StartId{5000});
  const net::Fd fresh = accept(endpoint);
  EXPECT_EQ(lines_until_now(endpoint, fresh), Lines{});
}

// A connection that was begun before the new start was told may lead to the old process: another one is
// opened.
TEST_F(EndpointConnections, ConnectionBegunBeforeANewStartIsNotUsed) {
  FakeEndpoint& endpoint = add(1);
  tell(endpoint, ServerState::ready);
  endpoint.link->handle_event(false);  // it connects, and is up as far as the kernel knows
  const net::Fd begun = net::accept_one(endpoint.listening, net::now() + 10s);
  ASSERT_TRUE(static_cast<bool>(begun));
  tell(endpoint, ServerState::ready, StartId{5000});
  EXPECT_TRUE(start(endpoint, kCall));
  const net::Fd fresh = accept(endpoint);
  EXPECT_TRUE(is(line(fresh), "START", kCall));
  EXPECT_EQ(line(begun), "");
}

// A whole list leaves out an endpoint with a call that stands and one in flight: the one is released towards
// its caller, the other goes to the endpoint that is listed, once the release guard is over.
TEST_F(EndpointConnections, WholeListThatLeavesOutAnEndpointEndsItsCalls) {
  FakeEndpoint& first = add(1);
  FakeEndpoint& second = add(2);
  core::OfficeList list(*core_);
  list.update(core::Source::platform, true, {entry(first, ServerState::ready)});
  const net::Fd connection = accept(first);
  request(kCall);
  ASSERT_TRUE(is(line(connection), "START", kCall));
  say(connection, started_line(kCall));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 1));
  request(kOther);
  ASSERT_TRUE(is(line(connection), "START", kOther));
  list.update(core::Source::platform, true, {entry(second, ServerState::ready)});
  const net::Fd other = accept(second);
  EXPECT_TRUE(is(line(other), "START", kOther));
  ASSERT_TRUE(callers_.await(kCall, 2));
  EXPECT_EQ(callers_.events(kCall).back(), "released 41");
  EXPECT_EQ(line(connection), "") << "nothing more goes to what is not listed";
}

// Gone while the set-up waits for the connection.
TEST_F(EndpointConnections, GoneWhileConnectingEndsAllThatWaits) {
  FakeEndpoint& endpoint = add(1);
  tell(endpoint, ServerState::ready);
  EXPECT_TRUE(start(endpoint, kCall));
  tell(endpoint, ServerState::gone);
  EXPECT_FALSE(start(endpoint, kOther));
  turns();
  EXPECT_FALSE(static_cast<bool>(net::accept_one(endpoint.listening, net::now() + 50ms)));
}

}  // namespace
}  // namespace reeltack::test
