// Bad clients that open connections and say nothing: who makes room for them.
#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

class Eviction : public Scenario {
 protected:
  // Connections that say nothing, opened at once.
  [[nodiscard]] static std::vector<net::Fd> silent(int count, std::uint16_t port) {
    std::vector<net::Fd> out;
    for (int i = 0; i < count; ++i) out.push_back(net::dial({host(0), port}, soon()).fd);
    return out;
  }
};

// Guards against work that has nowhere to go: one burst of silent clients ended the connection of a
// registered centrale, which counted as idle.
TEST_F(Eviction, RegisteredCentraleMakesNoRoomForSilentClients) {
  start(false);
  play(kCentraleUp);
  const std::vector<net::Fd> burst = silent(170, 6000);  // 128 connections and 32 that may wait
  play(R"(
    c open sip
    c send INVITE #1 Subject:voice X-Patience:5000 | d
    z expect set-up #1
    z send {"type":"started","call":"#1","description":"by z"}
    c expect 200 #1 by z
  )");
}

// Guards against a release that arrives late: a caller's connection made room for one that had just come.
TEST_F(Eviction, CallerWithAStandingCallMakesNoRoomForFreshConnections) {
  sockets_ = 96;  // 57 callers
  start();
  play(kBothUp);
  play(kCallStandsAtA);
  const std::vector<net::Fd> burst = silent(80, 5000);
  play(R"(
    a send {"verb":"FINISH","tag":"#1","opts":{},"rc":16}
    c expect BYE #1
  )");
}

}  // namespace
}  // namespace reeltack::test
