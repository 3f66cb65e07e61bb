// The second front: call control over WebSocket, for clients (/calls) and for endpoints (/centrales).
//
// Owns: the JSON messages of docs/call-control.md, which connection hears of which call, and the endpoints
//   that are registered here.
// Must never: decide on a call, tie a call's life to a connection, or wait for a peer that does not read.
#pragma once

#include <map>
#include <unordered_map>

#include "base/json.h"
#include "core/core.h"
#include "core/office_list.h"
#include "membership/releases.h"
#include "net/door.h"

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
  void open(const net::Address& at) { door_.open(at); }  // throws std::runtime_error
  void yield(std::size_t most) { door_.yield(most); }    // to a successor, if one listens beside this program
  // The end: clients' connections once no set-up is open on them, then those in the middle of a message as
  // well. Endpoints keep theirs until close_all(), for calls that are still to be answered need them.
  void close_clients();
  void close_clients_now();
  [[nodiscard]] bool clients_closed();
  void close_all() { door_.close_all(); }
  [[nodiscard]] bool owns(ServerId office);  // it is an endpoint of this front

  // For callers.
  bool stands(CallId call, const std::string& description) override;
  void refused(CallId call, core::Why why, Duration later) override;
  void released(CallId call, int cause) override;
  void over(CallId call) override;

  // For endpoints. What is listed elsewhere does not concern them.
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& /*offices*/) override {}
  void start(const core::SetUp& set_up) override;
  void give_up(ServerId office, CallId call, std::uint32_t attempt) override;
  void release(ServerId office, CallId call) override;
  void keep(ServerId /*office*/, bool /*calls_established*/) override {}

 private:
  friend class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Attempt {
    std::uint32_t number = 0;
    bool left = false;  // its set-up is on the way; else it waits for its connection's turn
  };
  struct Endpoint {
    core::OfficeEntry entry;
    std::weak_ptr<Connection> connection;
    std::map<CallId, Attempt> attempts;
    membership::Releases releases;                     // that were sent on the connection
    std::vector<std::pair<CallId, std::string>> owed;  // releases for the next connection
  };
  void from_client(const ConnectionPtr& from, const net::Json& message);
  void set_up(const ConnectionPtr& from, const net::Json& message, CallId call);
  void status(const ConnectionPtr& from, CallId call);
  void from_endpoint(const ConnectionPtr& from, const net::Json& message);
  void change_state(const ConnectionPtr& from, ServerId id, ServerState state);
  void about_call(const ConnectionPtr& from, ServerId id, const net::Json& message);
  void register_endpoint(const ConnectionPtr& from, const net::Json& message);
  // False: the endpoint has another connection that is up.
  bool bind(const ConnectionPtr& from, const std::string& name, const core::OfficeEntry& entry);
  void notice_end(ServerId id, const ConnectionPtr& registering);
  void endpoint_lost(const ConnectionPtr& connection);
  void forget_if_away(core::OfficeEntry entry);
  // With the lock held.
  ConnectionPtr connection_of(ServerId id);
  static void send_release(Endpoint& endpoint, CallId call, std::string message);
  void send_about(CallId call, std::string_view fields, bool last);
  // Of a set-up whose message says that `told_ms` are left; writes it anew where less is left now.
  bool may_leave(const core::SetUp& set_up, std::int64_t told_ms, std::string& message);
  [[nodiscard]] std::string set_up_message(const core::SetUp& set_up, std::int64_t left_ms) const;

  core::Core& core_;
  core::OfficeList& list_;
  const Setup setup_;
  std::mutex lock_;
  std::unordered_map<CallId, std::weak_ptr<Connection>> listening_;  // who hears of the call
  std::map<ServerId, Endpoint> endpoints_;
  net::ConnectionListener door_;  // last: its connections end before what they use
};

}  // namespace reeltack::ws
