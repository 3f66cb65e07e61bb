// Call control over WebSocket: calls, errors and frames.
#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

TEST_F(WebSocket, CallIsSetUpAtARegisteredCentraleAndReleased) {
  start(false);
  play(kCentraleUp);
  play(kTaken);
  play(R"(
    z send {"type":"started","call":"#1","description":"by z"}
    w expect #1 answer stands by z
    w send {"type":"release","call":"#1"}
    z expect release #1
  )");
}

TEST_F(WebSocket, DroppedSocketLeavesOneFinalAnswerThatCanBeAskedFor) {
  start(false);
  play(kCentraleUp);
  play(kTaken);
  play(R"(
    w close
    z send {"type":"started","call":"#1","description":"by z"}
    v open calls
    v send {"type":"status","call":"#1"}
    v expect status #1 stands by z
    z send {"type":"ended","call":"#1","cause":16}
    v expect #1 released 16
    v send {"type":"status","call":"#1"}
    v expect status #1 over
  )");
  stop();
  EXPECT_NE(seen_.find("1 requests, 1 stood, 0 refused, 0 failed, 0 given up, 1 attempts"), std::string::npos)
      << seen_;
}

TEST_F(WebSocket, DeadlineAndErrorsHaveNames) {
  start(false);
  play(kCentraleUp);
  play(R"(
    w open calls
    w send {"type":"set-up","call":"#1","class":"voice","number":"00000000000000aa","patience_ms":300,"description":"d"}
    w expect taken #1
    w send {"type":"set-up","call":"#1","class":"voice","number":"00000000000000aa","patience_ms":300,"description":"d"}
    w expect error duplicate-id #1
    w expect #1 failed deadline-passed
    w send {"type":"set-up","call":"#2","class":"taxi","number":"00000000000000aa","patience_ms":300,"description":"d"}
    w expect taken #2
    w expect #2 failed unknown-class
    w send {"type":"set-up","call":"#3","class":"voice","number":"00000000000000aa","patience_ms":0,"description":"d"}
    w expect taken #3
    w expect #3 failed deadline-passed
    w send {"type":
    w expect error bad-json
    w send {"type":"set-up","call":"#4"}
    w expect error bad-message #4
    w send {"type":"hum","call":"#4"}
    w expect error unknown-type #4
  )");
}

TEST_F(WebSocket, SameIdOnBothFrontsIsOneCall) {
  start(false);
  play(kCentraleUp);
  play(kTaken);
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:3000 | d
    c expect 482 #1
    z send {"type":"ended","call":"#1","cause":17}
    w expect #1 answer failed
  )");
}

TEST_F(WebSocket, BadFramesAreClosedWithTheirCode) {
  start(false);
  for (const auto& [bytes, code] :
       std::map<std::string, const char*>{{"81 02 68 69", "1002"},        // not masked
                                          {"c1 80 1 2 3 4", "1002"},      // a reserved bit
                                          {"83 80 1 2 3 4", "1002"},      // an opcode without a meaning
                                          {"80 80 1 2 3 4", "1002"},      // a continuation of nothing
                                          {"09 80 1 2 3 4", "1002"},      // a control frame in parts
                                          {"81 fe 0 5 1 2 3 4", "1002"},  // a length not in its shortest form
                                          {"88 81 0 0 0 0 3", "1002"},    // half a close code
                                          {"88 82 0 0 0 0 3 ed", "1002"},                // close code 1005
                                          {"82 80 1 2 3 4", "1003"},                     // binary
                                          {"81 81 0 0 0 0 ff", "1007"},                  // no UTF-8
                                          {"81 ff 0 0 0 0 0 1 0 0 1 2 3 4", "1009"}}) {  // 64 KiB
    play("w open calls\n w raw " + bytes + "\n w expect close " + code + "\n w expect end\n");
  }
}

TEST_F(WebSocket, FragmentsPingsAndCloseFollowTheProtocol) {
  start(false);
  StandIn& w = open("w", "calls");
  w.raw(StandIn::masked(1, R"({"type":"status",)", false) + StandIn::masked(9, "there") +
        StandIn::masked(0, R"("call":"0000000000000001"})"));
  play(R"(
    w expect pong there
    w expect status #1 unknown
    w raw 88 82 0 0 0 0 3 e8
    w expect close 1000
    w expect end
  )");
}

// A reader that never reads is cut off; the core and the others go on.
TEST_F(WebSocket, SlowReaderIsCutOffAndNobodyWaits) {
  start(false);
  play(kCentraleUp);
  StandIn& slow = open("slow", "calls");
  const std::string ping = StandIn::masked(9, std::string(120, 'p'));
  std::string many;
  for (int i = 0; i < 500; ++i) many += ping;
  ::fcntl(slow.fd(), F_SETFL, O_NONBLOCK);
  bool cut = false;
  for (const Time until = net::now() + 45s; !cut && net::now() < until;) {
    pollfd ready{slow.fd(), POLLOUT, 0};
    ::poll(&ready, 1, 1000);
    cut = (ready.revents & (POLLERR | POLLHUP)) != 0 ||
          (::send(slow.fd(), many.data(), many.size(), MSG_NOSIGNAL) < 0 && errno != EAGAIN);
  }
  EXPECT_TRUE(cut);
  play(kTaken);
}

}  // namespace
}  // namespace reeltack::test
