#include "ws/connection.h"

#include "membership/reachability.h"
#include "ws/messages.h"

namespace reeltack::ws {
namespace {

// Silence after which the peer is pinged; after as much again the connection is closed.
constexpr Duration kPingInterval = std::chrono::seconds(20);
// The same while calls are established at the endpoint: a silent one is noticed as soon as on the platform.
constexpr Duration kPingIntervalWithCalls = membership::ReachabilitySettings{}.loss_timeout / 2;
constexpr const char* kClients = "/calls";
constexpr const char* kEndpoints = "/centrales";

}  // namespace

Connection::Connection(Frontend& front, net::Fd fd)
    : net::Peer(std::move(fd), kPingInterval), front_(front) {}

bool Connection::send(const std::string& json, net::Outbox::Check check) {
  const std::lock_guard hold(sending_);
  return !close_sent_ && push(text_frame(json), 0, std::move(check));
}

void Connection::send_close(int code, const std::string& reason) {
  const std::lock_guard hold(sending_);
  if (!std::exchange(close_sent_, true)) push(close_frame(code, reason));
}

net::Peer::Next Connection::received() {
  const auto self = std::static_pointer_cast<Connection>(shared_from_this());
  if (path_.empty()) {
    const Handshake handshake = read_handshake(buffer_.view(), {kClients, kEndpoints}, front_.setup_.origins);
    buffer_.take(handshake.used);
    if (handshake.result == Handshake::Result::more) return Next::more;
    push(handshake.answer);
    if (handshake.result == Handshake::Result::rejected) return hang_up();
    path_ = handshake.path;
    serves_endpoint_ = path_ == kEndpoints;
    message_complete();
  }
  for (;;) {
    std::size_t used = 0;
    const std::optional<Message> message = assembler_.next(buffer_.view(), used);
    buffer_.take(used);
    if (used > 0) message_complete();
    if (assembler_.fault() != 0) {
      send_close(assembler_.fault());
      return hang_up();
    }
    if (!message) return Next::more;
    pinged_ = false;
    if (!handle_message(self, *message)) return Next::end;
  }
}

bool Connection::handle_message(const std::shared_ptr<Connection>& self, const Message& message) {
  switch (message.kind) {
    case Message::Kind::ping:
      return push(control_frame(kOpPong, message.payload));
    case Message::Kind::pong:
      return true;
    case Message::Kind::close:
      send_close(message.close_code == 0 ? kNormal : message.close_code);
      return false;
    case Message::Kind::text:
      return handle_text(self, message.payload);
  }
  return true;
}

bool Connection::handle_text(const std::shared_ptr<Connection>& self, const std::string& text) {
  try {
    const net::Json json = net::Json::parse(text);
    if (json.object() == nullptr) return send(error_message("bad-message"));
    path_ == kClients ? front_.from_client(self, json) : front_.from_endpoint(self, json);
    return true;
  } catch (const net::JsonError&) {
    return send(error_message("bad-json"));
  }
}

void Connection::on_timeout() {
  if (path_.empty()) return;
  send_close(kProtocolError, "late");  // incomplete frame
  hang_up();
}

void Connection::set_calls_established(bool established) {
  set_quiet_limit(established ? kPingIntervalWithCalls : kPingInterval);
}

net::Peer::Next Connection::on_quiet() {
  if (pinged_) {  // the ping was not answered either
    silent_ = true;
    send_close(kGoingAway, "silent");
    return Next::end;
  }
  pinged_ = true;
  push(control_frame(kOpPing, "there?"));
  return Next::more;
}

void Connection::on_left(const std::set<CallId>& /*open*/) {
  front_.endpoint_lost(std::static_pointer_cast<Connection>(shared_from_this()));
}

}  // namespace reeltack::ws
