// Call control over WebSocket: endpoints that register, come back, stay away or drain.
#include "base/json.h"
#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

TEST_F(WebSocket, LostCentraleBreaksItsSetUpsAndGetsNothingNew) {
  start(false);
  play(kCentraleUp);
  play(kTaken);
  play(R"(
    z close
    w expect #1 answer refused
  )");
}

// No socket owns a standing call, a centrale's no more than a client's.
TEST_F(WebSocket, CentraleThatComesBackKeepsItsCalls) {
  start(false);
  play(kCentraleUp);
  play(kTaken);
  play(R"(
    z send {"type":"started","call":"#1","description":"by z"}
    w expect #1 answer stands
    z close
    y open centrales
    y send {"type":"register","centrale":"s-0000000c"}
    y expect registered
    y send {"type":"ended","call":"#1","cause":16}
    w expect #1 released 16
  )");
}

TEST_F(WebSocket, CentraleThatStaysAwayHasItsCallsCut) {
  start(false);
  play(kCentraleUp);
  play(kTaken);
  play(R"(
    z send {"type":"started","call":"#1","description":"by z"}
    w expect #1 answer stands
    z close
    w expect #1 released 41
  )");
}

// The client is away when the deadline passes: the one answer is kept for it.
TEST_F(WebSocket, DeadlineOfADroppedClientIsKeptForIt) {
  start(false);
  play(kCentraleUp);
  play(R"(
    w open calls
    w send {"type":"set-up","call":"#1","class":"voice","number":"00000000000000aa","patience_ms":300,"description":"d"}
    w expect taken #1
    w close
    z expect set-up #1
    z expect give-up #1
    z send {"type":"started","call":"#1","description":"too late"}
    z expect release #1
    v open calls
    v send {"type":"status","call":"#1"}
    v expect status #1 failed deadline-passed
  )");
}

// A drained centrale gets nothing new, but its call goes on.
TEST_F(WebSocket, DrainedCentraleGetsNothingNew) {
  start(false);
  play(kCentraleUp);
  play(kTaken);
  play(R"(
    z send {"type":"started","call":"#1","description":"by z"}
    w expect #1 answer stands
    z send {"type":"drain"}
    z expect draining
    y open centrales
    y send {"type":"register","centrale":"s-0000000d"}
    y expect registered
    y send {"type":"register","centrale":"s-0000000c"}
    y expect duplicate-id
    w send {"type":"set-up","call":"#2","class":"voice","number":"00000000000000aa","patience_ms":3000,"description":"d"}
    w expect taken #2
    y expect set-up #2
    z send {"type":"ended","call":"#1","cause":16}
    w expect #1 released 16
  )");
}

// Both fronts, counted: one final answer a call, and never two attempts of a call out at once.
TEST_F(WebSocket, MixedTrafficKeepsTheRules) {
  start();
  play(kBothUp);
  constexpr int kCalls = 60;
  StandIn& sip = open("c", "sip");
  StandIn& calls = open("w", "calls");
  std::map<std::string, int> finals, out, attempts;
  const auto id_of = [](int i) { return net::hex16(0x1000U + static_cast<unsigned>(i)); };
  for (int i = 0; i < kCalls; ++i) {
    if (i % 2 == 0) {
      sip.send("INVITE " + id_of(i) + " Subject:" + (i % 3 ? "voice" : "urgent") +
               " X-Patience:2500 X-Facts:dest:" + std::to_string(i % 4 / 2) + " | d");
    } else {
      calls.send(
          R"({"type":"set-up","call":")" + id_of(i) + R"(","class":"voice","number":"00000000000000aa",)" +
          R"("patience_ms":2500,"first_choice":)" + std::to_string(i % 4 / 2) + R"(,"description":"d"})");
    }
  }
  int answered = 0;
  std::size_t most_out = 0;
  const Time until = soon();
  while (answered < kCalls && net::now() < until) {
    pollfd ready[] = {{sip.fd(), POLLIN, 0},
                      {calls.fd(), POLLIN, 0},
                      {peers_["a"].fd(), POLLIN, 0},
                      {peers_["b"].fd(), POLLIN, 0}};
    ASSERT_GT(::poll(ready, 4, 5000), 0);
    for (const auto& [at, name] : std::map<int, std::string>{{2, "a"}, {3, "b"}}) {
      if (ready[at].revents == 0) continue;
      do {
        const net::Json line = net::Json::parse(peers_[name].next());
        const std::string tag = *line.find("tag")->string();
        if (*line.find("verb")->string() != "START") {
          --out[tag];  // given up
          continue;
        }
        most_out = std::max<std::size_t>(most_out, static_cast<std::size_t>(++out[tag]));
        const int kind = ++attempts[tag] > 1 ? 0 : static_cast<int>(std::stoul(tag, nullptr, 16) % 5);
        if (kind == 4) {  // no answer at all, from an office that lives: it is given up by the program
          peers_[name].send(R"({"verb":"LOAD","tag":"","opts":{"load":"x0:40;x1:40"}})");
          continue;
        }
        --out[tag];
        const std::string end = R"("tag":")" + tag + R"(","opts":{},)";
        peers_[name].send(kind == 3   ? R"({"verb":"FINISH",)" + end + R"("rc":34})"
                          : kind == 2 ? R"({"verb":"FINISH",)" + end + R"("rc":41})"
                                      : R"({"verb":"STARTED",)" + end + R"("blob":"ok"})");
      } while (peers_[name].holds_more());
    }
    if (ready[0].revents != 0) do {
        const std::string message = sip.next();
        ASSERT_EQ(message.rfind("SIP/2.0 ", 0), 0U) << message;
        ++finals[message.substr(message.find("Call-ID: ") + 9, 16)], ++answered;
      } while (sip.holds_more());
    if (ready[1].revents != 0) do {
        const net::Json message = net::Json::parse(calls.next());
        if (*message.find("type")->string() == "answer")
          ++finals[*message.find("call")->string()], ++answered;
      } while (calls.holds_more());
  }
  EXPECT_EQ(finals.size(), static_cast<std::size_t>(kCalls));
  for (const auto& [id, n] : finals) EXPECT_EQ(n, 1) << id;
  EXPECT_EQ(most_out, 1U);
  for (const auto& [id, n] : attempts) EXPECT_LE(n, 5) << id;
}

}  // namespace
}  // namespace reeltack::test
