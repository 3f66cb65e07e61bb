// Fake WebSocket peers of the program under test: endpoints that register on its front, and a client.
//
// Owns: their ends of the connections, which they open again where one ends, and what was said there: how
//   often each set-up reached an endpoint, and which final answers each call got.
// Must never: wait. Whoever plays them calls step() until what it waits for has come.
//
// Threads: one.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/json.h"
#include "net/net.h"
#include "ws/frames.h"

namespace reeltack::test {

// A far end of a connection, from its opening handshake on.
class WebSocketWire {
 public:
  WebSocketWire(const net::Address& at, const std::string& path);
  void send(const std::string& messages) const { net::write_all(fd_, messages); }
  static std::string frame(const std::string& json) { return ws::client_frame(ws::kOpText, json, "mask"); }
  // The messages that have come; `open` becomes false once the front has closed or broken it.
  std::vector<base::Json> read(bool& open);

 private:
  bool fill();
  net::Fd fd_;
  std::string in_;
  bool accepted_ = false;
  ws::Assembler assembler_{ws::Assembler::Peer::server};
};

std::string text_of(const base::Json& message, const char* key);
std::uint64_t call_of(const base::Json& message);

// What it does with a set-up is told by the last digit of the number that is called.
class WebSocketEndpoint {
 public:
  static constexpr int kAnswers = 1, kFull = 2, kSilent = 4;
  // `fills`: it is full where it is told to be; else it answers then too.
  WebSocketEndpoint(net::Address front, std::string name, bool fills)
      : front_(std::move(front)), name_(std::move(name)), fills_(fills) {}
  void step();
  void end(std::uint64_t call);  // on this connection, and once more on the next
  void close() { wire_.reset(); }
  void reconnects(bool wanted) { reconnects_ = wanted; }
  [[nodiscard]] bool registered() const { return registered_; }
  std::map<std::uint64_t, int> starts;
  std::map<std::uint64_t, int> refused;  // of these, answered as full
  std::map<std::uint64_t, int> ends;     // releases and give-ups, said by the program

 private:
  void connect();
  void take(const base::Json& message);
  void send(const std::string& json);
  net::Address front_;
  std::string name_;
  bool fills_;
  bool reconnects_ = true;
  bool registered_ = false;
  std::unique_ptr<WebSocketWire> wire_;
  std::vector<std::string> owed_;
};

// Where a connection ends it asks on the next one how its calls stand.
class WebSocketClient {
 public:
  struct Seen {
    std::vector<std::string> finals;  // results, or the state that an asked status told
    int taken = 0;
    int released = 0;
    bool unknown = false;  // its connection ended before the set-up was read
    std::string wire;
  };
  explicit WebSocketClient(net::Address front) : front_(std::move(front)) {}
  void set_up(const std::string& wire, const std::map<std::uint64_t, int>& behaviours);  // in one write
  void say(const std::string& wire, const char* type, std::uint64_t call);
  void step();
  void close() { wires_.clear(); }
  void reconnects(bool wanted) { reconnects_ = wanted; }
  [[nodiscard]] int ended() const { return ended_; }  // connections
  [[nodiscard]] bool all_ended() const { return wires_.empty(); }
  std::map<std::uint64_t, Seen> calls;

 private:
  WebSocketWire& wire(const std::string& name);
  void ask_again(const std::string& wire);
  void take(const base::Json& message);
  net::Address front_;
  std::map<std::string, WebSocketWire> wires_;
  bool reconnects_ = true;
  int ended_ = 0;
};

}  // namespace reeltack::test
