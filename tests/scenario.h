// The scenario language: a script that plays the peers of the real binary on loopback.
//
// A line is `PEER VERB REST`. Peers are opened by `open KIND` (sip, calls, centrales, dns, bulletin) or, for
// an office (a, b), by `wait` for the program's connection. Then: `send MESSAGE`, `raw HEX`, `close`, and
// `expect WORDS`: the next message holds them all, in order; `expect end`: the connection is closed.
// `#7` stands for the call id 0000000000000007. SIP is sent as `METHOD #ID [Header:value]... [| body]`.
// Nothing sleeps: whatever is expected has a deadline, and passing it fails the scenario.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "net/buffers.h"
#include "ws/frames.h"

namespace reeltack::test {

using namespace std::chrono_literals;

inline Time soon() { return net::now() + 10s; }

// A stand-in's end of a connection.
class StandIn {
 public:
  enum class Kind { sip, lines, ws, dns, raw };
  StandIn() = default;
  StandIn(Kind kind, net::Fd fd) : kind_(kind), fd_(std::move(fd)) {}

  void raw(const std::string& bytes) const { net::write_all(fd_, bytes); }
  void send(const std::string& text) const {
    if (kind_ == Kind::sip) return raw(sip(text));
    if (kind_ == Kind::lines) return raw(text + "\n");
    if (kind_ == Kind::ws) return raw(masked(1, text));
    raw(text);
  }
  static std::string masked(int opcode, const std::string& text, bool fin = true) {
    return ws::client_frame(opcode, text, "mask", fin);
  }
  // One whole message; "end" once the connection is closed, "late" at the deadline.
  std::string next(Time deadline = soon()) {
    for (;;) {
      const std::string_view held = buffer_.view();
      if (const std::size_t n = length(held); n > 0 && held.size() >= n) {
        std::string out = shown(std::string(held.substr(0, n)));
        buffer_.take(n);
        return out;
      }
      const net::ReadResult got = buffer_.fill(fd_, deadline);
      if (got == net::ReadResult::no_data) return "late";
      if (got == net::ReadResult::closed) return "end";
    }
  }
  [[nodiscard]] bool holds_more() const {
    const std::size_t n = length(buffer_.view());
    return n > 0 && buffer_.view().size() >= n;
  }
  void close() { fd_.reset(); }
  [[nodiscard]] int fd() const { return fd_.get(); }

 private:
  static std::string sip(const std::string& text) {
    std::istringstream words(text.substr(0, text.find(" | ")));
    const std::string body = text.find(" | ") == std::string::npos ? "" : text.substr(text.find(" | ") + 3);
    std::string method, id, more, out, word;
    words >> method >> id;
    while (words >> word) more += word.replace(word.find(':'), 1, ": ") + "\r\n";
    const std::string uri = method == "OPTIONS" ? "sip:ping@net" : "sip:00000000000000aa@net";
    return method + " " + uri + " SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + id + "\r\nCSeq: 1 " +
           method + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // Of the message at the front, 0 while that is not known.
  [[nodiscard]] std::size_t length(std::string_view held) const {
    const auto byte = [&held](std::size_t i) {
      return static_cast<std::size_t>(static_cast<unsigned char>(held[i]));
    };
    if (kind_ == Kind::lines) return held.find('\n') + 1;
    if (kind_ == Kind::dns) return held.size() < 2 ? 0 : 2 + (byte(0) << 8U | byte(1));
    if (kind_ == Kind::ws) {
      if (held.size() < 4) return held.size() == 2 && byte(1) == 0 ? 2 : 0;
      return byte(1) < 126 ? 2 + byte(1) : 4 + (byte(2) << 8U | byte(3));
    }
    const std::size_t end = held.find("\r\n\r\n");
    if (end == std::string_view::npos) return kind_ == Kind::raw ? held.size() : 0;
    const std::size_t at = held.find("Content-Length: ");
    return at > end ? end + 4 : end + 4 + std::stoul(std::string(held.substr(at + 16, 6)));
  }
  [[nodiscard]] std::string shown(std::string message) const {
    if (kind_ != Kind::ws) return message;
    const int opcode = message[0] & 15;
    const std::string payload = message.substr(static_cast<unsigned char>(message[1]) < 126 ? 2 : 4);
    if (opcode == ws::kOpPong) return "pong " + payload;
    if (opcode != ws::kOpClose) return payload;
    return "close " + std::to_string(static_cast<unsigned char>(payload[0]) << 8 |
                                     static_cast<unsigned char>(payload[1]));
  }
  Kind kind_ = Kind::raw;
  net::Fd fd_;
  net::Buffer buffer_;
};

// The real binary with its configuration, and the stand-ins round it.
class Scenario : public ::testing::Test {
 protected:
  // An address of this test process alone, so that tests run side by side.
  [[nodiscard]] static std::string host(int last) {
    const int pid = ::getpid();
    return "127." + std::to_string(100 + (pid >> 14 & 63)) + "." + std::to_string(pid >> 6 & 255) + "." +
           std::to_string((pid & 63) * 4 + last);
  }
  [[nodiscard]] static std::string dir() {
    return ::testing::TempDir() + "reeltack-" + std::to_string(::getpid());
  }

  void SetUp() override {
    for (const char* name : {"a", "b"}) {
      offices_[name] = net::listen_on({host(name[0] == 'a' ? 1 : 2), 4000});
      known_ += std::string(known_.empty() ? "" : ",") + R"({"name":"s-0000000)" + name + R"(","address":")" +
                host(name[0] == 'a' ? 1 : 2) + R"(:4000","group":)" + (name[0] == 'a' ? "0" : "1") +
                R"(,"status":"in_service","weight":1,"since_ms":0})";
    }
  }
  void TearDown() override {
    if (child_ > 0) stop();
  }

  void configure(bool offices, int bulletin) const {
    std::ofstream(dir() + "/config.json")
        << R"({"limits":{"memory_mb":)" << memory_mb_ << R"(,"sockets":)" << sockets_
        << R"(},"name":"t","listen":")" << host(0) << R"(:5000",)"
        << (mgmt_ ? "\"mgmt\":\"" + host(0) + ":7100\"," : "")
        << (bulletin > 0 ? "\"bulletin\":\"" + host(0) + ":" + std::to_string(bulletin) + "\"," : "")
        << R"("known":{"no":1,"items":[{"no":1,"roster":{"snapshot":true,"endpoints":[)"
        << (offices ? known_ : "") << R"(]}}]},"settings":{"Balancers":1,"Classes":[
            {"Name":"voice","GoalTimeNs":1500000000,"DeadlineNs":9000000000,"Points":1.0,"LateValue":0.25},
            {"Name":"urgent","GoalTimeNs":2000000000,"DeadlineNs":9000000000,"Points":3.0,"LateValue":0.25},
            {"Name":"patient","GoalTimeNs":8000000000,"DeadlineNs":9000000000,"Points":1.0,"LateValue":0.25}],
          "Domain":{"ReleaseGuardNs":300000000},"TickNs":5000000,
          "PolicyLimits":{"AttemptsCap":5,"Cancel":true,"DialTimeoutNs":500000000,
                          "RetryAfter":true,"MaxRetryAfterNs":2000000000}}})";
  }
  // `offices`: the known list holds a and b. Waits for the program's word that it is up.
  void start(bool offices = true, const std::string& zone = "{\"on\":false}", int bulletin = 0) {
    ::mkdir(dir().c_str(), 0700);
    configure(offices, bulletin);
    std::ofstream(dir() + "/fronts.json")
        << R"({"websocket":{"on":true,"listen":")" << host(0) << R"(:6000"},"zone":)" << zone << "}";
    child_ = launch(log_);
    ASSERT_GT(child_, 0);
    ASSERT_TRUE(read_log("is up with")) << seen_;
  }
  // A program with the configuration written, its log (standard error) to `log`; a second one beside the
  // first has the same addresses, as in a handover.
  pid_t launch(net::Fd& log) const {
    const std::string config = dir() + "/config.json";  // named after this process, not the child
    const std::string fronts = dir() + "/fronts.json";
    int ends[2];
    if (::pipe(ends) != 0) return -1;
    const pid_t pid = ::fork();
    if (pid == 0) {
      // A program whose test has gone goes with it: left over, it would share this test's ports with a later
      // test of the same process id (the listeners share ports for a handover).
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(ends[1], 2);
      ::setenv("PROXY_CONFIG", config.c_str(), 1);
      for (const auto& [name, value] : environment_) ::setenv(name.c_str(), value.c_str(), 1);
      ::execl(REELTACK_BINARY, "reeltack", fronts.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
    log = net::Fd(ends[0]);
    return pid;
  }
  // Reads `log` until `until` has come, or its end; what came is added to `seen`.
  static bool read_until(const net::Fd& log, const std::string& until, std::string& seen) {
    char buffer[4096];
    while (seen.find(until) == std::string::npos) {
      const ssize_t n = ::read(log.get(), buffer, sizeof buffer);
      if (n <= 0) return false;
      seen.append(buffer, static_cast<std::size_t>(n));
    }
    return true;
  }
  // Asks the program to end; it must do so by itself and well.
  void stop() {
    if (child_ <= 0) return;
    end_well(child_, log_, seen_);
    child_ = 0;
  }
  // SIGTERM, then its log to the end; it must leave by itself, with 0.
  static void end_well(pid_t pid, const net::Fd& log, std::string& seen) {
    ::kill(pid, SIGTERM);
    read_until(log, "\x01", seen);
    int status = -1;
    ::waitpid(pid, &status, 0);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << seen;
  }
  bool read_log(const std::string& until) { return read_until(log_, until, seen_); }

  StandIn& open(const std::string& name, const std::string& kind) {
    const std::uint16_t port = kind == "sip" ? 5000 : kind == "dns" ? 7000 : 6000;
    net::Dialled up = net::dial({host(0), port}, soon());
    EXPECT_EQ(up.how, net::Dial::up) << name;
    const bool websocket = kind == "calls" || kind == "centrales";
    StandIn& peer = peers_[name] = StandIn(kind == "sip"   ? StandIn::Kind::sip
                                           : kind == "dns" ? StandIn::Kind::dns
                                           : websocket     ? StandIn::Kind::ws
                                                           : StandIn::Kind::raw,
                                           std::move(up.fd));
    if (websocket) {
      peer.raw(ws::client_handshake("t", "/" + kind, "dGhlIHNhbXBsZSBub25jZQ=="));
      std::string answer(129, '\0');  // the 101 has this length for that key
      EXPECT_EQ(::recv(peer.fd(), answer.data(), answer.size(), MSG_WAITALL), 129);
      EXPECT_NE(answer.find("s3pPLMBiTxaQ9kYGzzhZRbK+xOo="), std::string::npos) << answer;
    }
    return peer;
  }
  StandIn& wait(const std::string& office) {
    net::Fd fd = net::accept_one(offices_.at(office), soon());
    EXPECT_TRUE(static_cast<bool>(fd)) << office << ": no connection came";
    return peers_[office] = StandIn(StandIn::Kind::lines, std::move(fd));
  }

  // A caller without a call, served once; or one that says nothing.
  [[nodiscard]] StandIn idle_caller(bool silent = false) const {
    StandIn out(StandIn::Kind::sip, std::move(net::dial({host(0), 5000}, soon()).fd));
    if (silent) return out;
    out.send("OPTIONS 0000000000000001");
    EXPECT_EQ(out.next().rfind("SIP/2.0 200", 0), 0U);
    return out;
  }

  void play(const std::string& script) {
    std::istringstream lines(script);
    for (std::string line; std::getline(lines, line);) {
      std::istringstream words(line);
      std::string name, verb, rest;
      if (!(words >> name >> verb)) continue;
      std::getline(words >> std::ws, rest);
      for (std::size_t at = 0; (at = rest.find('#', at)) != std::string::npos;)
        rest.replace(at, 2, "000000000000000" + rest.substr(at + 1, 1));
      SCOPED_TRACE(line);
      if (HasFailure()) return;  // what follows would only wait in vain
      if (verb == "open") {
        open(name, rest);
      } else if (verb == "wait") {
        wait(name);
      } else if (verb == "send") {
        peers_.at(name).send(rest);
      } else if (verb == "raw") {
        std::istringstream hex(rest);
        std::string bytes;
        for (unsigned byte = 0; hex >> std::hex >> byte;) bytes += static_cast<char>(byte);
        peers_.at(name).raw(bytes);
      } else if (verb == "close") {
        peers_.at(name).close();
      } else if (verb == "down") {
        offices_.at(name).reset();  // refuses connections from now on
      } else {
        ASSERT_EQ(verb, "expect");
        const std::string message = peers_.at(name).next();
        std::istringstream wanted(rest);
        std::size_t at = 0;
        for (std::string word; wanted >> word; at += word.size())
          ASSERT_NE(at = message.find(word, at), std::string::npos) << "'" << word << "' not in: " << message;
      }
    }
  }

  [[nodiscard]] int threads() const {  // of the program
    std::ifstream status("/proc/" + std::to_string(child_) + "/status");
    std::string word;
    while (status >> word && word != "Threads:") continue;
    int out = 0;
    status >> out;
    return out;
  }

  [[nodiscard]] int descriptors() const {  // of the program
    const std::filesystem::directory_iterator held("/proc/" + std::to_string(child_) + "/fd");
    return static_cast<int>(std::distance(begin(held), end(held)));
  }
  int sockets_ = 1024, memory_mb_ = 192;
  bool mgmt_ = false;  // the management address at port 7100
  // One request on the management address; all it answers.
  [[nodiscard]] std::string ask_mgmt(const std::string& line) const {
    net::Dialled up = net::dial({host(0), 7100}, soon());
    EXPECT_EQ(up.how, net::Dial::up);
    net::write_all(up.fd, line);
    std::string out;
    char chunk[4096];
    for (ssize_t n; (n = ::recv(up.fd.get(), chunk, sizeof chunk, 0)) > 0;)
      out.append(chunk, static_cast<std::size_t>(n));
    return out;
  }
  // READY until it says yes, or 10 s: the program says yes once its module holds the list, or 2 s after it
  // opened; what it said last.
  [[nodiscard]] std::string await_ready() const {
    std::string said;
    for (int asked = 0; asked < 200 && (said = ask_mgmt("READY\n")) != "OK ready\n"; ++asked)
      ::usleep(50'000);
    return said;
  }
  [[nodiscard]] bool await_figure(const std::string& line) const {  // in STATS, within 10 s
    bool found = false;
    for (int asked = 0; asked < 200 && !found; ++asked) {
      found = ask_mgmt("STATS\n").find(line) != std::string::npos;
      if (!found) ::usleep(50'000);
    }
    return found;
  }
  std::map<std::string, net::Fd> offices_;
  std::map<std::string, StandIn> peers_;
  std::map<std::string, std::string> environment_;  // of the program, beside its own
  std::string known_;
  std::string seen_;
  net::Fd log_;
  pid_t child_ = 0;
};

}  // namespace reeltack::test
