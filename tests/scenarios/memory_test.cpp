// The memory of the program under clients that send much, within the limits of a small deployment.
#include <cerrno>
#include <functional>

#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

constexpr int kMemoryMegabytes = 32;
constexpr int kSockets = 256;
constexpr std::size_t kLargeBytes = 15'000;  // of the 16 KB that a message may have
// Sanitized programs are slow, and their memory is not checked.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int kFloodSetUps = 600;
constexpr int kStandingCalls = 300;
#else
constexpr int kFloodSetUps = 3000;
constexpr int kStandingCalls = 1500;
#endif

class Memory : public Scenario {
 protected:
  void SetUp() override {
    Scenario::SetUp();
    memory_mb_ = kMemoryMegabytes;
    sockets_ = kSockets;
    start();
  }
  // The most memory that the program has had so far is within its limit. Sanitizers have memory of their own.
  void expect_within_limit() {
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    std::ifstream status("/proc/" + std::to_string(child_) + "/status");
    std::map<std::string, long> kilobytes;
    for (std::string key, line; status >> key && std::getline(status, line);)
      kilobytes[key] = std::atol(line.c_str());
    EXPECT_LT(kilobytes["VmHWM:"], kMemoryMegabytes * 1024);
#endif
  }
  // Sends `count` messages as fast as they are read, and drops what is answered.
  static void flood(const StandIn& from, int count, const std::function<std::string(int)>& message) {
    std::string rest;
    char dropped[65536];
    const Time by = net::now() + 60s;
    for (int sent = 0; (sent < count || !rest.empty()) && net::now() < by;) {
      for (; rest.size() < sizeof dropped && sent < count; ++sent) rest += message(sent);
      const ssize_t n = ::send(from.fd(), rest.data(), rest.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (n > 0) rest.erase(0, static_cast<std::size_t>(n));
      ASSERT_TRUE(n > 0 || errno == EAGAIN) << "the connection has ended after " << sent;
      while (::recv(from.fd(), dropped, sizeof dropped, MSG_DONTWAIT) > 0) continue;
    }
    ASSERT_TRUE(rest.empty()) << "not read to its end";
  }
  static std::string large_invite(int number) {
    const std::string body(kLargeBytes, 'x');
    return "INVITE sip:00000000000000aa@net SIP/2.0\r\nCall-ID: " +
           net::hex16(0x10000U + static_cast<unsigned>(number)) +
           "\r\nCSeq: 1 INVITE\r\nSubject: patient\r\nX-Patience: 9000\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  static std::string large_set_up(int number) {
    return StandIn::masked(1, R"({"type":"set-up","call":")" +
                                  net::hex16(0x10000U + static_cast<unsigned>(number)) +
                                  R"(","class":"patient","number":"00000000000000aa","patience_ms":9000,)" +
                                  R"("description":")" + std::string(kLargeBytes, 'x') + "\"}");
  }
};

// Guards against memory without end: one caller's set-ups wait by the thousand for offices that do not
// answer.
TEST_F(Memory, OneCallerWhoseLargeSetUpsWaitFitsTheLimit) {
  play(kBothUp);
  StandIn& caller = open("flood", "sip");
  flood(caller, kFloodSetUps, large_invite);
  expect_within_limit();
  play("c open sip\nc send OPTIONS #1\nc expect 200\n");  // it serves on
}

// Guards against the same on the WebSocket front.
TEST_F(Memory, OneClientWhoseLargeSetUpsWaitFitsTheLimit) {
  play(kBothUp);
  StandIn& client = open("flood", "calls");
  flood(client, kFloodSetUps, large_set_up);
  expect_within_limit();
  play("c open sip\nc send OPTIONS #1\nc expect 200\n");
}

// Guards against the lasting share of one that floods: another caller's set-up still finds room.
TEST_F(Memory, SetUpOfAnotherCallerIsTakenBesideOneThatFloods) {
  play(kBothUp);
  StandIn& caller = open("flood", "sip");
  flood(caller, 500, large_invite);
  play(R"(
    w open calls
    w send {"type":"set-up","call":"#1","class":"urgent","number":"00000000000000aa","patience_ms":300,"description":"d"}
    w expect taken #1
  )");
  // Tried, or refused by the module, which gives advice; not refused for want of memory.
  const std::string answer = peers_.at("w").next();
  EXPECT_TRUE(answer.find("failed") != std::string::npos || answer.find("later_ms") != std::string::npos)
      << answer;
  expect_within_limit();
}

// Guards against memory that a call keeps after its answer: descriptions are needed no longer.
TEST_F(Memory, StandingCallsWithLargeDescriptionsFitTheLimit) {
  play(R"(
    a wait
    b wait
    a send {"verb":"LOAD","tag":"","opts":{"load":"x0:4000;x1:4000"}}
    c open sip
  )");
  StandIn& office = peers_.at("a");
  StandIn& other = peers_.at("b");
  StandIn& caller = peers_.at("c");
  other.close();
  offices_.at("b").reset();
  for (int call = 0; call < kStandingCalls && !HasFailure(); ++call) {
    caller.raw(large_invite(call));
    ASSERT_NE(office.next().find("START"), std::string::npos);
    office.send(R"({"verb":"STARTED","tag":")" + net::hex16(0x10000U + static_cast<unsigned>(call)) +
                R"(","opts":{},"blob":"d"})");
    ASSERT_EQ(caller.next().rfind("SIP/2.0 200", 0), 0U) << call;
  }
  expect_within_limit();
}

// Guards against memory by connections: hundreds that stop half way through a large message, and heads of
// very many short fields.
TEST_F(Memory, HundredsOfHalfWrittenMessagesFitTheLimit) {
  const std::string half = large_invite(1).substr(0, kLargeBytes);
  std::string fields = "OPTIONS sip:x@net SIP/2.0\r\n";
  for (int i = 0; i < 2400; ++i) fields += "Via:\r\n";
  fields += "Content-Length: 0\r\n\r\n";
  std::vector<StandIn> clients;
  for (int i = 0; i < 180; ++i) {
    clients.emplace_back(StandIn::Kind::sip, std::move(net::dial({host(0), 5000}, soon()).fd));
    clients.back().raw(i % 2 == 0 ? half : fields + fields);
  }
  for (StandIn& client : clients) EXPECT_NE(client.next(), "late");
  expect_within_limit();
}

// Guards against time spent on fields: a head with more than any caller sends is answered at once.
TEST_F(Memory, HeadOfVeryManyFieldsIsRefused) {
  std::string fields;
  for (int i = 0; i < 101; ++i) fields += "a:\r\n";
  StandIn& caller = open("c", "sip");
  caller.raw("OPTIONS sip:x@net SIP/2.0\r\n" + fields + "Content-Length: 0\r\n\r\n");
  EXPECT_EQ(caller.next().rfind("SIP/2.0 400", 0), 0U);
  EXPECT_EQ(caller.next(), "end");
  StandIn client(StandIn::Kind::raw, std::move(net::dial({host(0), 6000}, soon()).fd));
  client.raw("GET /calls HTTP/1.1\r\n" + fields + "\r\n");
  EXPECT_EQ(client.next().rfind("HTTP/1.1 431", 0), 0U);
}

}  // namespace
}  // namespace reeltack::test
