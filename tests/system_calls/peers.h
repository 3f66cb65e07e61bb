// Fake peers of the program under test: endpoints that answer set-ups, and a SIP client with its connections.
//
// Owns: their ends of the connections, and what was said there: how often each INVITE reached an endpoint,
//   and which final answers each call got.
// Must never: wait. Whoever plays them calls step() until what it waits for has come.
//
// Threads: one.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "net/net.h"

namespace reeltack::test {

// Of this process alone, so that a test runs beside itself. `last`: 0 to 3.
net::Address own_address(int last);

// One end of a connection, read as it comes.
struct Wire {
  net::Fd fd;
  std::string in;
  bool read();  // false: the far end has closed or broken it
};

// An endpoint: what it does with a set-up is told by the last digit of the number that is called.
class FakeEndpoint {
 public:
  static constexpr int kAnswers = 1, kFull = 2, kReleases = 3, kSilent = 4;
  // `fills`: it is full where it is told to be; else it answers then too.
  FakeEndpoint(const net::Address& at, bool fills)
      : address(at), listener_(net::listen_on(at)), fills_(fills) {}
  void step();
  void die() {  // its connections end, and new ones are refused
    wires_.clear();
    listener_.reset();
  }
  void release(std::uint64_t call);  // on an open connection, and once more on the next
  std::map<std::uint64_t, int> starts;
  std::map<std::uint64_t, int> refused;   // of these, answered as full
  std::map<std::uint64_t, int> finishes;  // said by the program
  net::Address address;

 private:
  void take(Wire& from, const std::string& line);
  net::Fd listener_;
  bool fills_;
  std::vector<Wire> wires_;
  std::vector<std::string> owed_;
};

// A client that keeps its connections up and counts what comes.
class FakeClient {
 public:
  struct Seen {
    std::vector<int> finals;  // to the INVITE
    int byes = 0;             // said by the program
    int bye_answers = 0;
    bool cut = false;  // its connection ended before a final answer
    std::string wire;
  };
  explicit FakeClient(net::Address at) : at_(std::move(at)) {}
  void connect(const std::string& wire);
  // All in one write.
  void send(const std::string& wire, const std::string& messages);
  static std::string invite(std::uint64_t call, int behaviour);
  static std::string request(const std::string& method, std::uint64_t call);
  void invited(const std::string& wire, std::uint64_t call) { calls[call].wire = wire; }
  void step();
  void close() { wires_.clear(); }
  void reconnects(bool wanted) { reconnects_ = wanted; }  // where a connection ends
  [[nodiscard]] int ended() const { return ended_; }      // connections, by the program
  std::map<std::uint64_t, Seen> calls;

 private:
  void take(Wire& from, const std::string& message);
  net::Address at_;
  std::map<std::string, Wire> wires_;
  bool reconnects_ = true;
  int ended_ = 0;
};

}  // namespace reeltack::test
