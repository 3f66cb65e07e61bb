// The platform's frontend for callers: SIP over TCP.
//
// Holds the listener, the callers' connections, and the dialogue data that an answer needs. Decisions on
// calls are the core's. A set-up is answered once, and a connection with an open set-up is not closed.
//
// Threads: a mutex guards the tables; public functions may be called from any thread.
#pragma once

#include <memory>
#include <set>
#include <unordered_map>

#include "core/core.h"
#include "net/connection_listener.h"
#include "platform/sip_message.h"

namespace reeltack::platform {

class SipConnection;

class SipFrontend final : public core::CallerFrontend {
 public:
  SipFrontend(core::Core& core, std::vector<std::string> class_names, std::size_t max_connections);
  void open(const net::Address& at) { listener_.open(at); }  // throws std::runtime_error
  // Hands new connections over to a successor process, if one listens (net::ConnectionListener::yield).
  void yield(std::size_t max_connections) { listener_.yield(max_connections); }
  // Shutdown in three steps: closes each connection once no set-up is open on it, except one for further
  // releases; that one too; then also those that keep sending.
  void close_idle_but_one() { listener_.close_idle_but_one(); }
  void close_idle() { listener_.close_idle(); }
  void close_by(Time over_by) { listener_.close_by(over_by); }
  [[nodiscard]] bool closed() { return listener_.closed(); }
  [[nodiscard]] const net::ConnectionListener::Counts& connections() const { return listener_.counts(); }
  void close_all() { listener_.close_all(); }  // waits until every connection has ended

  bool established(CallId call, const std::string& description) override;
  void rejected(CallId call, core::FailureReason why, Duration later) override;
  void released(CallId call, int cause) override;
  void ended(CallId call) override;
  bool still_waiting(CallId call) override;

 private:
  friend class SipConnection;
  // A connection on which a set-up was received, and the headers that its answer repeats.
  struct Requester {
    std::weak_ptr<SipConnection> connection;
    std::string echoed;
  };
  struct Dialogue {
    // At least one; more if the set-up was repeated. The last reachable one gets the single answer.
    std::vector<Requester> requesters;
    std::string uri;
    std::string subject;
    std::string description;  // until the answer; a repeated set-up must carry the same
    bool answered = false;
  };
  void on_accepted(net::Peer& connection);
  // Delivery of a release to a caller, on this connection or a later one. Requires the lock.
  enum class Delivery { immediately, later };  // later: it may wait behind other output
  bool send_release(SipConnection& to, CallId call, const std::string& line, Delivery how);
  bool send_release_anywhere(SipConnection* own, const SipConnection* except, CallId call,
                             const std::string& line);
  void resend_unread(SipConnection& from);  // resends what an ended connection may not have read
  bool handle_message(const std::shared_ptr<SipConnection>& from, const SipMessage& message);
  void handle_answer(SipConnection& from, const SipMessage& message);
  void handle_after_close(SipConnection& from, const SipMessage& message);
  void handle_invite(const std::shared_ptr<SipConnection>& from, const SipMessage& message, CallId call);
  // False: the set-up is open on this connection already, or was answered here as a conflict.
  bool open_dialogue(const std::shared_ptr<SipConnection>& from, const SipMessage& message, CallId call);
  void requester_left(SipConnection& from, CallId call);
  static const Requester* last_reachable(const Dialogue& dialogue);  // or null
  static void close_requesters(const Dialogue& dialogue, CallId call,
                               const std::shared_ptr<SipConnection>& except = nullptr);

  core::Core& core_;
  const std::vector<std::string> class_names_;
  std::mutex lock_;  // guards the tables below
  std::unordered_map<CallId, Dialogue> dialogues_;
  std::vector<std::pair<CallId, std::string>> pending_releases_;  // releases for the next connection
  net::ConnectionListener listener_;  // last: its connections end before the members that they use
};

}  // namespace reeltack::platform
