// A WebSocket connection. Internal to the frontend.
//
// Makes the handshake, splits the input into messages, answers control frames, and pings a quiet peer. The
// meaning of messages is left to the frontend.
//
// Threads: as net::Peer; `endpoint` is guarded by the frontend's lock.
#pragma once

#include "ws/frames.h"
#include "ws/front.h"

namespace reeltack::ws {

class Connection final : public net::Peer {
 public:
  Connection(Frontend& front, net::Fd fd);
  // False: not sent, since the connection is ending or a close frame was sent (RFC 6455, 5.5.1).
  bool send(const std::string& json, net::Outbox::Check check = {});
  void send_close(int code, const std::string& reason = "");
  // The far end requested the endpoints' path.
  [[nodiscard]] bool serves_endpoint() const { return serves_endpoint_; }
  std::optional<ServerId> endpoint;  // the endpoint registered on this connection
  void mark_registered() { registered_ = true; }
  // Calls are established at the endpoint: its silence is noticed sooner.
  void set_calls_established(bool established);
  // It was ended because the far end did not answer a ping; valid once on_left() is called.
  [[nodiscard]] bool was_silent() const { return silent_; }

 protected:
  Next received() override;
  void on_timeout() override;
  Next on_quiet() override;
  void on_left(const std::set<CallId>& open) override;
  // A registered endpoint: its calls, and the clients', depend on it.
  [[nodiscard]] bool is_essential() const override { return registered_; }

 private:
  bool handle_message(const std::shared_ptr<Connection>& self, const Message& message);
  bool handle_text(const std::shared_ptr<Connection>& self, const std::string& text);

  Frontend& front_;
  std::string path_;  // empty until the handshake
  Assembler assembler_;
  bool pinged_ = false;  // a ping was sent and nothing received since
  bool silent_ = false;
  std::atomic<bool> serves_endpoint_{false};
  std::atomic<bool> registered_{false};
  std::mutex sending_;  // guards close_sent_, and that nothing is sent after a close frame
  bool close_sent_ = false;
};

}  // namespace reeltack::ws
