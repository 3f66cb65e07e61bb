// Clients that send nothing, too much or malformed messages, and the limits that hold them.
#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

// Callers may hold a third of the descriptors: all are served, within the limits of a scored day.
TEST_F(Platform, ThirdOfTheDescriptorsFitsTheLimits) {
  start();
  play(kBothUp);
  std::vector<StandIn> callers;
  for (int i = 0; i < 341; ++i) {
    callers.emplace_back(StandIn::Kind::sip, std::move(net::dial({host(0), 5000}, soon()).fd));
    callers.back().send("OPTIONS 0000000000000001");
  }
  for (StandIn& caller : callers) ASSERT_EQ(caller.next().rfind("SIP/2.0 200", 0), 0U);
  std::ifstream status("/proc/" + std::to_string(child_) + "/status");
  std::map<std::string, long> told;
  for (std::string key, line; status >> key && std::getline(status, line);)
    told[key] = std::atol(line.c_str());
  EXPECT_LT(told["FDSize:"], 1025);
  EXPECT_LT(told["Threads:"], 400);  // one a connection, as long as all is read at once
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
  EXPECT_LT(told["VmRSS:"], 64 * 1024);
#endif
}

TEST_F(Platform, MalformedCallersAreAnsweredAndClosed) {
  start();
  play(R"(
    c open sip
    c raw 58 0d 0a 0d 0a
    c expect 400
    c expect end
    d open sip
    d send INVITE #1 Subject:voice X-Patience:soon | d
    d expect 400 #1
    d send INVITE #2 Subject:unheard X-Patience:900 | d
    d expect 488 #2
    d send INVITE nonsense Subject:voice X-Patience:900
    d expect 400 nonsense
    d send INVITE #3 Subject:voice X-Patience:0 | behind one that can't be matched
    d expect 408 #3
    d raw 58 0d 0a 0d 0a
    d expect 400
    d expect end
  )");
}

// Nothing, half a message and one without end: each is answered or closed in its time, whatever trickles in.
TEST_F(Platform, PeersThatSayNothingWholeAreClosedInTime) {
  start();
  StandIn silent = std::move(open("silent", "sip"));
  StandIn half = std::move(open("half", "sip"));
  half.raw("INVITE sip:00000000000000aa@net SIP/2.0\r\nX-Pad: ");
  StandIn served = std::move(open("served", "sip"));
  served.send("OPTIONS #1");
  EXPECT_EQ(served.next().rfind("SIP/2.0 200", 0), 0U);
  EXPECT_NE(silent.next().find("408"), std::string::npos);
  EXPECT_EQ(silent.next(), "end");
  EXPECT_NE(half.next().find("408"), std::string::npos);
  EXPECT_EQ(half.next(), "end");
  served.send("OPTIONS #1");  // may stay quiet as long as it likes
  EXPECT_EQ(served.next().rfind("SIP/2.0 200", 0), 0U);
  stop();
  EXPECT_NE(seen_.find("3 let in; ended at a limit: 2 late, 0 left unread, 0 for room, 0 with"),
            std::string::npos)
      << seen_;
}

// The refusal of a body far too long arrives although most of the body is still on its way.
TEST_F(Platform, RefusalSurvivesWhatIsStillBeingSent) {
  start();
  StandIn& c = open("c", "sip");
  c.raw("INVITE sip:00000000000000aa@net SIP/2.0\r\nContent-Length: 60000000\r\n\r\n");
  const std::string part(1 << 16, 'x');
  for (int i = 0; i < 400; ++i) ASSERT_TRUE(net::write_all(net::Fd(::dup(c.fd())), part, soon())) << i;
  EXPECT_EQ(c.next().rfind("SIP/2.0 400", 0), 0U);
  EXPECT_EQ(c.next(), "end");
}

// Beyond the limit the silent go first, then the idle, and a call's own connection last: its release must
// reach it.
TEST_F(Platform, RoomIsMadeByThoseWithoutACall) {
  sockets_ = 96;  // 57 callers
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  std::vector<StandIn> others;
  for (int i = 0; i < 150; ++i) others.push_back(idle_caller(i % 3 == 0));
  play(R"(
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16}
    c expect BYE #1 cause=16
    d open sip
    d send INVITE #2 Subject:voice X-Patience:3000 X-Facts:dest:0 | d
    a expect START #2
  )");
}

// Thousands that say nothing or half a message while the limits are cut by half: the usual callers are
// served, and no more descriptors are held than the limit leaves to callers.
TEST_F(Platform, ThousandsOfIdleConnectionsLeaveRoomForCalls) {
  sockets_ = 192;  // 115 callers and 32 that may wait
  start();
  play(kBothUp);
  std::vector<net::Fd> flood;
  for (int i = 0; i < 2000; ++i) {
    net::Dialled up = net::dial({host(0), 5000}, soon());
    ASSERT_EQ(up.how, net::Dial::up) << i;
    if (i % 2 == 0) net::write_all(up.fd, "INVITE sip:00000000000000aa@net SIP/2.0\r\nX-Pad: ");
    flood.push_back(std::move(up.fd));
    if (flood.size() > 400) flood.erase(flood.begin());  // the oldest walk away: this process has limits too
  }
  EXPECT_LE(descriptors(), sockets_);
  play(R"(
    d open sip
    d send INVITE #2 Subject:voice X-Patience:9000 X-Facts:dest:1 | d
    b expect START #2
    b send {"verb":"STARTED","tag":"#2","opts":{},"blob":"by b"}
    d expect 200 #2 by b
  )");
}

// It floods and reads nothing: it is cut off, and neither memory nor others pay for it.
TEST_F(Platform, CallerThatReadsNothingIsCutOff) {
  start();
  play(kBothUp);
  StandIn& slow = open("slow", "sip");
  std::string many;
  for (int i = 0; i < 400; ++i)
    many += "OPTIONS sip:ping@net SIP/2.0\r\nVia: " + std::string(900, 'v') +
            "\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n";
  bool cut = false;
  for (int i = 0; !cut && i < 200; ++i) cut = !net::write_all(net::Fd(::dup(slow.fd())), many, soon());
  EXPECT_TRUE(cut);
  play(kCallStandsAtA);
  stop();
  // By which limit is the kernel's: where its receive buffer is full, what it sends may be late as well.
  EXPECT_NE(seen_.find("2 let in; ended at a limit: "), std::string::npos) << seen_;
  EXPECT_EQ(seen_.find("limit: 0 late, 0 left unread, 0 for room, 0 with"), std::string::npos) << seen_;
}

}  // namespace
}  // namespace reeltack::test
