// The discovery stream: moved by SIGHUP, repeated, stalled, draining an endpoint.
#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

// SIGHUP: a bad file changes nothing, a good one moves the bulletin, resumed after the last number.
TEST_F(Platform, ReloadMovesTheBulletinAndKeepsTheOffices) {
  offices_["old"] = net::listen_on({host(0), 2379});
  offices_["new"] = net::listen_on({host(0), 2380});
  start(true, "{\"on\":false}", 2379);
  play(kBothUp);
  StandIn feed(StandIn::Kind::raw, net::accept_one(offices_["old"], soon()));
  EXPECT_EQ(feed.next(), std::string("\0\0\0\0\0\0\0\1", 8));
  feed.raw(discovery_event(host(1), 2, 1) + discovery_event(host(1), 3, 0));
  std::ofstream(dir() + "/config.json") << R"({"bulletin":7})";
  ::kill(child_, SIGHUP);
  ASSERT_TRUE(read_log("bulletin: must be a string; the old settings stay")) << seen_;
  configure(false, 2380);
  ::kill(child_, SIGHUP);
  ASSERT_TRUE(read_log("reload: bulletin is")) << seen_;
  EXPECT_EQ(feed.next(), "end");
  StandIn moved(StandIn::Kind::raw, net::accept_one(offices_["new"], soon()));
  EXPECT_EQ(moved.next(), std::string("\0\0\0\0\0\0\0\3", 8));
  play(kCallStandsAtA);
}

// An event told again, out of its order, must not undo what came after it.
TEST_F(Platform, BulletinEventToldTwiceCountsOnce) {
  offices_["bulletin"] = net::listen_on({host(0), 2379});
  start(true, "{\"on\":false}", 2379);
  play(kBothUp);
  StandIn feed(StandIn::Kind::raw, net::accept_one(offices_["bulletin"], soon()));
  EXPECT_EQ(feed.next(), std::string("\0\0\0\0\0\0\0\1", 8));
  feed.raw(discovery_event(host(1), 2, 1) + discovery_event(host(1), 3, 0) + discovery_event(host(1), 2, 1) +
           discovery_event(host(1), 3, 0) + discovery_event(host(1), 2, 1));
  feed.close();
  StandIn again(StandIn::Kind::raw, net::accept_one(offices_["bulletin"], soon()));
  EXPECT_EQ(again.next(), std::string("\0\0\0\0\0\0\0\3", 8));
  play(kCallStandsAtA);
}

// Half an event, or nothing but trickling bytes, is a stop: the connection is given up and resumed.
TEST_F(Platform, BulletinThatStopsIsAskedAgain) {
  offices_["bulletin"] = net::listen_on({host(0), 2379});
  start(true, "{\"on\":false}", 2379);
  StandIn feed(StandIn::Kind::raw, net::accept_one(offices_["bulletin"], soon()));
  feed.raw(discovery_event(host(1), 2) + discovery_event(host(1), 2, 1).substr(0, 20));
  const Time from = net::now();
  StandIn again(StandIn::Kind::raw, net::accept_one(offices_["bulletin"], soon()));
  EXPECT_EQ(again.next(), std::string("\0\0\0\0\0\0\0\1", 8));
  EXPECT_GT(net::now(), from + 1s);  // not on a gap that is usual
}

// Drained in the bulletin: the next set-up goes elsewhere.
TEST_F(Platform, BulletinDrainsAnOffice) {
  offices_["bulletin"] = net::listen_on({host(0), 2379});
  start(true, "{\"on\":false}", 2379);
  play(kBothUp);
  StandIn feed(StandIn::Kind::raw, net::accept_one(offices_["bulletin"], soon()));
  EXPECT_EQ(feed.next(), std::string("\0\0\0\0\0\0\0\1", 8));
  feed.raw(discovery_event(host(1), 2, 1) + discovery_event(host(1), 2));
  feed.close();  // it resumes after the last event that it took
  StandIn again(StandIn::Kind::raw, net::accept_one(offices_["bulletin"], soon()));
  EXPECT_EQ(again.next(), std::string("\0\0\0\0\0\0\0\2", 8));
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:3000 X-Facts:dest:0 | d
    b expect START #1
  )");
}

}  // namespace
}  // namespace reeltack::test
