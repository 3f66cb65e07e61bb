// Second frontend: call control over WebSocket, for clients (/calls) and endpoints (/centrales).
//
// Handles the JSON messages of docs/call-control.md, and holds which connection is notified about which call
// and which endpoints are registered here. Decisions on calls are the core's. A call is not tied to a
// connection, and nothing waits for a peer that does not read.
//
// Threads: a mutex guards the tables; public functions may be called from any thread.
#pragma once

#include <map>
#include <unordered_map>

#include "base/json.h"
#include "core/core.h"
#include "core/office_list.h"
#include "membership/open_attempt.h"
#include "membership/pending_releases.h"
#include "net/connection_listener.h"

namespace reeltack::ws {

class Connection;

class Frontend final : public core::CallerFrontend, public core::OfficeBackend {
 public:
  struct Setup {
    std::vector<std::string> class_names;
    std::vector<std::string> origins;
    std::size_t connections = 128;
  };
  Frontend(core::Core& core, core::OfficeList& list, Setup setup);
  void open(const net::Address& at) { listener_.open(at); }  // throws std::runtime_error
  // Hands new connections over to a successor process, if one listens (net::ConnectionListener::yield).
  void yield(std::size_t max_connections) { listener_.yield(max_connections); }
  // Shutdown: closes clients' connections once no set-up is open on them, then those with a partial message
  // as well. Endpoints keep theirs until close_all(), because calls that are not answered yet need them.
  void close_clients();
  void close_clients_now();
  [[nodiscard]] bool clients_closed();
  void close_all() { listener_.close_all(); }
  [[nodiscard]] bool owns(ServerId office);  // the office is an endpoint registered here

  // CallerFrontend.
  bool established(CallId call, const std::string& description) override;
  void rejected(CallId call, core::FailureReason why, Duration later) override;
  void released(CallId call, int cause) override;
  void ended(CallId call) override;

  // OfficeBackend. Offices of other sources do not concern this frontend.
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& /*offices*/) override {}
  void start(const core::SetUp& set_up) override;
  void cancel(ServerId office, CallId call, std::uint32_t attempt) override;
  void release(ServerId office, CallId call) override;
  void keep_connection(ServerId office, bool calls_established) override;

 private:
  friend class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Endpoint {
    core::OfficeEntry entry;
    std::weak_ptr<Connection> connection;
    std::map<CallId, membership::OpenAttempt> attempts;
    bool calls_established = false;
    Time remove_at = net::kNever;                                  // while it has no connection
    membership::PendingReleases releases;                          // sent on the connection
    std::vector<std::pair<CallId, std::string>> pending_releases;  // releases for the next connection
  };
  void from_client(const ConnectionPtr& from, const net::Json& message);
  void set_up(const ConnectionPtr& from, const net::Json& message, CallId call);
  void status(const ConnectionPtr& from, CallId call);
  void from_endpoint(const ConnectionPtr& from, const net::Json& message);
  void change_state(const ConnectionPtr& from, ServerId id, ServerState state);
  void handle_call_message(const ConnectionPtr& from, ServerId id, const net::Json& message);
  void handle_started(ServerId id, CallId call, const net::Json& message);
  void handle_ended(ServerId id, CallId call, int cause, const net::Json& message);
  void register_endpoint(const ConnectionPtr& from, const net::Json& message);
  // False: the endpoint has another connection, or the connection another endpoint.
  bool bind_connection(const ConnectionPtr& from, const std::string& name, const core::OfficeEntry& entry);
  void read_previous_to_end(ServerId id, const ConnectionPtr& registering);
  void endpoint_lost(const ConnectionPtr& connection);
  void remove_if_due(ServerId id, Time due);
  // Requires the lock.
  ConnectionPtr connection_of(ServerId id);
  static void send_release(Endpoint& endpoint, CallId call, std::string message);
  void send_about(CallId call, std::string_view fields, bool last);
  // Last check before a set-up is written. `sent_ms`: remaining time in `message`, rewritten if less remains
  // now.
  bool may_leave(const core::SetUp& set_up, std::int64_t sent_ms, std::string& message);
  [[nodiscard]] std::string set_up_message(const core::SetUp& set_up, std::int64_t left_ms) const;

  core::Core& core_;
  core::OfficeList& list_;
  const Setup setup_;
  std::mutex lock_;
  std::unordered_map<CallId, std::weak_ptr<Connection>> subscribers_;  // connection notified about the call
  std::map<ServerId, Endpoint> endpoints_;
  net::ConnectionListener listener_;  // last: its connections end before the members that they use
};

}  // namespace reeltack::ws
