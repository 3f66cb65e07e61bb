// A SIP caller, and the front, which tests a session controller by OPTIONS.
#pragma once

#include <sstream>

#include "net.h"

namespace kit {

inline std::string hex16(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}

struct SipMessage {
  std::string first, body;
  std::map<std::string, std::string> headers;  // names in lower case
};
// Takes one message from the front of `in`; nothing: more is needed.
inline std::optional<SipMessage> take_sip(std::string& in) {
  const std::size_t end = in.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  SipMessage out;
  std::istringstream head(in.substr(0, end + 2));
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (out.first.empty()) {
      out.first = line;
    } else if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      std::size_t at = colon + 1;
      while (at < line.size() && line[at] == ' ') ++at;
      out.headers[name] = line.substr(at);
    }
  }
  const std::size_t length = std::strtoul(out.headers["content-length"].c_str(), nullptr, 10);
  if (in.size() < end + 4 + length) return std::nullopt;
  out.body = in.substr(end + 4, length);
  in.erase(0, end + 4 + length);
  return out;
}

// Keeps one connection and opens another when it has ended. Answers releases, and acknowledges answers.
class SipCaller {
 public:
  struct Call {
    int status = 0;  // of the final answer
    double answered_at = 0.0;
    int finals = 0;
    std::string description;
    std::optional<double> released_at;
    std::string reason;
  };
  SipCaller(Loop& loop, Record& record, std::string name, std::uint16_t port)
      : loop_(loop), record_(record), name_(std::move(name)), port_(port) {}
  ~SipCaller() { forget(); }
  SipCaller(const SipCaller&) = delete;
  SipCaller& operator=(const SipCaller&) = delete;
  bool connect() {
    const int fd = connect_to(port_);
    if (fd < 0) return false;
    forget();
    conn_ = loop_.add(fd);
    watch(conn_);
    return true;
  }
  bool connected() const { return conn_ && conn_->open(); }
  void disconnect() {
    record_.line("caller %s closes its connection", name_.c_str());
    conn_->close();
  }
  void test() {
    record_.line("%s sends OPTIONS", name_.c_str());
    conn_->send("OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " +
                hex16(0xf000 + ++tests_) + "\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n");
  }
  Conn& conn() { return *conn_; }
  static std::string invite(const std::string& id, const std::string& subject, int patience_ms,
                            const std::string& description, int dest = 0) {
    return "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + id +
           "\r\nCSeq: 1 INVITE\r\nSubject: " + subject + "\r\nX-Patience: " + std::to_string(patience_ms) +
           "\r\nX-Facts: dest:" + std::to_string(dest) +
           ";width:1;via:-1\r\nContent-Length: " + std::to_string(description.size()) + "\r\n\r\n" +
           description;
  }
  void set_up(const std::string& id, const std::string& subject, int patience_ms, int dest = 0) {
    record_.line("caller %s sends INVITE %s, patience %d ms", name_.c_str(), id.c_str(), patience_ms);
    calls[id];
    conn_->send(invite(id, subject, patience_ms,
                       id + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", dest));
  }
  void release(const std::string& id) {
    record_.line("caller %s sends BYE %s", name_.c_str(), id.c_str());
    conn_->send("BYE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + id +
                "\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n");
  }
  std::map<std::string, Call> calls;
  int unmatched = 0;  // answers without a Call-ID

 private:
  void forget() {
    if (!conn_) return;
    conn_->on_input = conn_->on_end = [] {};
    conn_->close();
  }
  void watch(const ConnPtr& conn) {
    const std::weak_ptr<Conn> weak = conn;
    conn->on_input = [this, weak] {
      const ConnPtr from = weak.lock();
      while (auto message = take_sip(from->in)) heard(*from, *message);
    };
    conn->on_end = [this] { record_.line("caller %s: its connection has ended", name_.c_str()); };
  }
  void heard(Conn& from, SipMessage& m) {
    const std::string id = m.headers["call-id"];
    if (m.first.rfind("SIP/2.0 ", 0) == 0) {
      const int status = std::atoi(m.first.c_str() + 8);
      const bool of_set_up = m.headers["cseq"].find("INVITE") != std::string::npos;
      record_.line("caller %s hears %s, Call-ID '%s', CSeq '%s'", name_.c_str(), m.first.c_str(), id.c_str(),
                   m.headers["cseq"].c_str());
      if (id.empty()) ++unmatched;
      if (!of_set_up || status < 200) return;
      Call& call = calls[id];
      ++call.finals;
      call.status = status;
      call.answered_at = now_ms();
      call.description = m.body;
      from.send("ACK sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + id +
                "\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n");
    } else if (m.first.rfind("BYE ", 0) == 0) {
      record_.line("caller %s hears BYE %s, %s", name_.c_str(), id.c_str(), m.headers["reason"].c_str());
      Call& call = calls[id];
      if (!call.released_at) call.released_at = now_ms();
      call.reason = m.headers["reason"];
      from.send("SIP/2.0 200 OK\r\nVia: " + m.headers["via"] + "\r\nCall-ID: " + id +
                "\r\nCSeq: " + m.headers["cseq"] + "\r\nContent-Length: 0\r\n\r\n");
    }
  }
  Loop& loop_;
  Record& record_;
  const std::string name_;
  const std::uint16_t port_;
  std::uint64_t tests_ = 0;
  ConnPtr conn_;
};

}  // namespace kit
