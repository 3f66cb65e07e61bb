// A WebSocket connection, for the files of the front alone.
//
// Owns: the handshake, the cutting of what comes into messages, control frames, and pings where it is quiet.
// Must never: know what a message asks for.
//
// Threads: as net::Peer; `endpoint` is guarded by the front's lock.
#pragma once

#include "ws/frames.h"
#include "ws/front.h"

namespace reeltack::ws {

class Connection final : public net::Peer {
 public:
  Connection(Frontend& front, net::Fd fd);
  // False: it is not sent; nothing follows a close frame (RFC 6455, 5.5.1).
  bool send(const std::string& json, net::Outbox::Check check = {});
  void send_close(int code, const std::string& reason = "");
  // Its far end has asked for the endpoints' path.
  [[nodiscard]] bool serves_endpoint() const { return serves_endpoint_; }
  std::optional<ServerId> endpoint;  // that has registered here

 protected:
  Next received() override;
  void late() override;
  Next quiet() override;
  void left(const std::set<CallId>& open) override;

 private:
  bool take(const std::shared_ptr<Connection>& self, const Message& message);
  bool take_text(const std::shared_ptr<Connection>& self, const std::string& text);

  Frontend& front_;
  std::string path_;  // empty until the handshake
  Assembler assembler_;
  bool asked_ = false;  // by a ping
  std::atomic<bool> serves_endpoint_{false};
  std::mutex sending_;  // guards what follows, and that nothing is sent behind a close frame
  bool close_sent_ = false;
};

}  // namespace reeltack::ws
