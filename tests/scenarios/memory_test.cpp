// The memory of the program under clients that send much, within the limits of a small deployment.
#include "scenarios/scripts.h"

namespace reeltack::test {
namespace {

constexpr int kMemoryMegabytes = 32;
constexpr int kSockets = 256;
constexpr std::size_t kLargeBytes = 15'000;  // of the 16 KB that a message may have

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
  static std::string large_invite(int number) {
    const std::string body(kLargeBytes, 'x');
    return "INVITE sip:00000000000000aa@net SIP/2.0\r\nCall-ID: " +
           net::hex16(0x10000U + static_cast<unsigned>(number)) +
           "\r\nCSeq: 1 INVITE\r\nSubject: patient\r\nX-Patience: 9000\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

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
  for (int call = 0; call < 1500 && !HasFailure(); ++call) {
    caller.raw(large_invite(call));
    ASSERT_NE(office.next().find("START"), std::string::npos);
    office.send(R"({"verb":"STARTED","tag":")" + net::hex16(0x10000U + static_cast<unsigned>(call)) +
                R"(","opts":{},"blob":"d"})");
    ASSERT_EQ(caller.next().rfind("SIP/2.0 200", 0), 0U) << call;
  }
  expect_within_limit();
}

}  // namespace
}  // namespace reeltack::test
