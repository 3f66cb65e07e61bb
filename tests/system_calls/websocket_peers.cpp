#include "system_calls/websocket_peers.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <cerrno>

namespace reeltack::test {
namespace {

constexpr const char* kKey = "dGhlIHNhbXBsZSBub25jZQ==";

std::string message_of(const char* type, std::uint64_t call, const std::string& more = "") {
  return std::string(R"({"type":")") + type + R"(","call":")" + net::hex16(call) + "\"" + more + "}";
}

}  // namespace

std::string text_of(const base::Json& message, const char* key) {
  const base::Json* field = message.find(key);
  return field == nullptr || field->string() == nullptr ? std::string() : *field->string();
}
std::uint64_t call_of(const base::Json& message) {
  return net::parse_hex16(text_of(message, "call")).value_or(0);
}

WebSocketWire::WebSocketWire(const net::Address& at, const std::string& path) {
  net::Dialled up = net::dial(at, net::now() + std::chrono::seconds(5));
  EXPECT_EQ(up.how, net::Dial::up);
  fd_ = std::move(up.fd);
  net::write_all(fd_, ws::client_handshake("front", path, kKey));
}

bool WebSocketWire::fill() {
  char chunk[4096];
  for (;;) {
    const ssize_t n = ::recv(fd_.get(), chunk, sizeof chunk, MSG_DONTWAIT);
    if (n < 0) return errno == EAGAIN;
    if (n == 0) return false;
    in_.append(chunk, static_cast<std::size_t>(n));
  }
}

std::vector<base::Json> WebSocketWire::read(bool& open) {
  std::vector<base::Json> out;
  open = fill();
  std::size_t used = 0;
  if (!accepted_) {
    accepted_ = ws::read_accept(in_, kKey, used) == ws::Handshake::Result::accepted;
    in_.erase(0, used);
    if (!accepted_) return out;
  }
  while (const std::optional<ws::Message> message = assembler_.next(in_, used)) {
    in_.erase(0, used);
    if (message->kind == ws::Message::Kind::text) out.push_back(base::Json::parse(message->payload));
  }
  in_.erase(0, used);
  EXPECT_EQ(assembler_.fault(), 0) << "a frame is malformed";
  return out;
}

void WebSocketEndpoint::connect() {
  registered_ = false;
  wire_ = std::make_unique<WebSocketWire>(front_, "/centrales");
  send(R"({"type":"register","centrale":")" + name_ + R"("})");
}
void WebSocketEndpoint::send(const std::string& json) {
  if (wire_) wire_->send(WebSocketWire::frame(json));
}

void WebSocketEndpoint::step() {
  if (!wire_ && reconnects_) connect();
  if (!wire_) return;
  bool open = true;
  for (const base::Json& message : wire_->read(open)) take(message);
  if (!open) wire_.reset();
}

void WebSocketEndpoint::take(const base::Json& message) {
  const std::string type = text_of(message, "type");
  const std::uint64_t call = call_of(message);
  if (type == "registered") {
    registered_ = true;
    for (const std::string& json : std::exchange(owed_, {})) send(json);
  }
  EXPECT_NE(type, "error") << text_of(message, "reason");
  if (type == "give-up" || type == "release") ++ends[call];
  if (type != "set-up") return;
  ++starts[call];
  const int behaviour = static_cast<int>(net::parse_hex16(text_of(message, "number")).value_or(0) % 10);
  if (behaviour == kSilent) return;
  if (behaviour == kFull && fills_) {
    ++refused[call];
    return send(message_of("ended", call, R"(,"cause":34)"));
  }
  send(message_of("started", call, R"(,"description":"answer")"));
}

void WebSocketEndpoint::end(std::uint64_t call) {
  const std::string json = message_of("ended", call, R"(,"cause":16)");
  owed_.push_back(json);
  send(json);
}

WebSocketWire& WebSocketClient::wire(const std::string& name) {
  return wires_.try_emplace(name, front_, "/calls").first->second;
}

void WebSocketClient::set_up(const std::string& name, const std::map<std::uint64_t, int>& behaviours) {
  std::string frames;
  for (const auto& [call, behaviour] : behaviours) {
    calls[call].wire = name;
    const std::string number = net::hex16(call * 10 + static_cast<std::uint64_t>(behaviour));
    frames += WebSocketWire::frame(message_of(
        "set-up", call,
        R"(,"class":"voice","number":")" + number + R"(","patience_ms":4000,"description":"offer")"));
  }
  wire(name).send(frames);
}
void WebSocketClient::say(const std::string& name, const char* type, std::uint64_t call) {
  wire(name).send(WebSocketWire::frame(message_of(type, call)));
}

void WebSocketClient::step() {
  std::vector<std::string> ended;
  for (auto& [name, wire] : wires_) {
    bool open = true;
    for (const base::Json& message : wire.read(open)) take(message);
    if (!open) ended.push_back(name);
  }
  for (const std::string& name : ended) {
    ++ended_;
    wires_.erase(name);
    if (reconnects_) ask_again(name);
  }
}

void WebSocketClient::ask_again(const std::string& name) {
  for (const auto& [call, seen] : calls) {
    if (seen.wire == name && !seen.unknown && seen.released == 0) say(name, "status", call);
  }
}

void WebSocketClient::take(const base::Json& message) {
  const std::string type = text_of(message, "type");
  Seen& seen = calls[call_of(message)];
  if (type == "taken") ++seen.taken;
  if (type == "answer") seen.finals.push_back(text_of(message, "result"));
  if (type == "released") ++seen.released;
  if (type != "status") return;
  const std::string state = text_of(message, "state");
  if (state == "open") return;
  if (state == "unknown") {
    seen.unknown = seen.finals.empty();
  } else if (state == "over") {
    if (seen.finals.empty()) seen.finals.emplace_back("stands");
    ++seen.released;
  } else if (seen.finals.empty()) {
    seen.finals.push_back(state);
  }
}

}  // namespace reeltack::test
