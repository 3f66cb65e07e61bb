// A centrale that registers over WebSocket (docs/call-control.md): RFC 6455, the side that connects.
#pragma once

#include "office.h"

namespace kit {

class WebSocket {
 public:
  std::function<void(const std::string&)> on_text = [](const std::string&) {};
  std::function<void()> on_end = [] {};
  ConnPtr conn;
  bool up = false;

  static std::shared_ptr<WebSocket> connect(Loop& loop, std::uint16_t port, const std::string& path) {
    const int fd = connect_to(port);
    if (fd < 0) return nullptr;
    auto out = std::make_shared<WebSocket>();
    out->conn = loop.add(fd);
    const std::weak_ptr<WebSocket> weak = out;
    out->conn->on_input = [weak] {
      if (const auto self = weak.lock()) self->input();
    };
    out->conn->on_end = [weak] {
      if (const auto self = weak.lock()) self->on_end();
    };
    out->conn->send("GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(port) +
                    "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
    return out;
  }
  bool send(const std::string& text) { return frame(1, text); }

 private:
  bool frame(int opcode, const std::string& payload) {
    std::string out(1, static_cast<char>(0x80 | opcode));
    if (payload.size() < 126) {
      out += static_cast<char>(0x80 | payload.size());
    } else {
      out += static_cast<char>(0x80 | 126);
      out += static_cast<char>(payload.size() >> 8);
      out += static_cast<char>(payload.size());
    }
    const char mask[4] = {0x11, 0x22, 0x33, 0x44};
    out.append(mask, 4);
    for (std::size_t i = 0; i < payload.size(); ++i) out += static_cast<char>(payload[i] ^ mask[i % 4]);
    return conn->send(out);
  }
  void input() {
    std::string& in = conn->in;
    if (!up) {
      const std::size_t end = in.find("\r\n\r\n");
      if (end == std::string::npos) return;
      up = in.rfind("HTTP/1.1 101", 0) == 0;
      in.erase(0, end + 4);
      if (!up) return;
    }
    while (in.size() >= 2) {
      const int opcode = in[0] & 0x0f;
      std::size_t length = static_cast<unsigned char>(in[1]) & 0x7f;
      std::size_t at = 2;
      if (length == 126) {
        if (in.size() < 4) return;
        length = static_cast<std::size_t>(static_cast<unsigned char>(in[2])) << 8 |
                 static_cast<unsigned char>(in[3]);
        at = 4;
      }
      if (in.size() < at + length) return;
      const std::string payload = in.substr(at, length);
      in.erase(0, at + length);
      if (opcode == 9) frame(10, payload);
      if (opcode == 1) on_text(payload);
    }
  }
};

// Answers each set-up at once and holds the call until end() or until it is released.
class Centrale {
 public:
  Centrale(Loop& loop, Record& record, std::string id, std::uint16_t port)
      : loop_(loop), record_(record), id_(std::move(id)), port_(port) {}
  struct Call {
    bool stands = false;
    int set_ups = 0;
    std::optional<double> released_at;  // by the session controller
    std::optional<double> ended_at;
    bool told = false;
  };
  std::map<std::string, Call> calls;
  int registered = 0;  // confirmations
  std::vector<std::string> errors;

  bool connect() {
    socket_ = WebSocket::connect(loop_, port_, "/centrales");
    if (!socket_) return false;
    socket_->on_text = [this](const std::string& text) { heard(text); };
    socket_->on_end = [this] {
      record_.line("centrale: its connection was ended by the session controller");
    };
    return loop_.run_until([this] { return socket_->up; }, 2000);
  }
  void enroll() {
    record_.line("centrale sends register");
    socket_->send("{\"type\":\"register\",\"centrale\":\"" + id_ + "\",\"place\":0,\"capacity\":1}");
  }
  void drop() {  // the connection breaks; the process lives on and keeps its calls
    record_.line("centrale: its connection breaks");
    socket_->conn->close();
  }
  // Cut off: the connection stays open and quiet, and nothing passes on it any more.
  void cut_off() { socket_->conn->silent = true; }
  void end(const std::string& id) {
    Call& call = calls[id];
    call.stands = false;
    call.ended_at = now_ms();
    call.told = socket_->send("{\"type\":\"ended\",\"call\":\"" + id + "\",\"cause\":16}");
    record_.line("centrale: call %s has come to its end; 'ended' %s", id.c_str(),
                 call.told ? "sent" : "not sent");
  }
  ConnPtr conn() { return socket_->conn; }
  std::shared_ptr<WebSocket> socket() { return socket_; }

 private:
  void heard(const std::string& text) {
    const std::string type = field(text, "type");
    const std::string id = field(text, "call");
    record_.line("centrale hears %s", text.substr(0, 120).c_str());
    if (type == "registered") ++registered;
    if (type == "error") errors.push_back(field(text, "reason"));
    if (type == "set-up") {
      Call& call = calls[id];
      ++call.set_ups;
      call.stands = true;
      socket_->send("{\"type\":\"started\",\"call\":\"" + id + "\",\"description\":\"centrale answers " + id +
                    "\"}");
      record_.line("centrale sends started %s", id.c_str());
    } else if ((type == "release" || type == "give-up") && calls.contains(id)) {
      calls[id].stands = false;
      if (!calls[id].released_at) calls[id].released_at = now_ms();
    }
  }
  Loop& loop_;
  Record& record_;
  const std::string id_;
  const std::uint16_t port_;
  std::shared_ptr<WebSocket> socket_;
};

}  // namespace kit
