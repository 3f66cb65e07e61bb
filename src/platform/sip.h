// The platform's front for callers: SIP over TCP.
//
// Owns: the listener, the callers' connections and the dialogue data that an answer needs.
// Must never: decide on a call, answer one twice, or close a connection on which a set-up is open.
#pragma once

#include <memory>
#include <set>
#include <unordered_map>

#include "core/core.h"
#include "net/door.h"
#include "platform/sip_message.h"

namespace reeltack::platform {

class SipConnection;

class SipFrontend final : public core::CallerFrontend {
 public:
  SipFrontend(core::Core& core, std::vector<std::string> class_names, std::size_t most_connections);
  void open(const net::Address& at) { door_.open(at); }  // throws std::runtime_error
  void yield(std::size_t most) { door_.yield(most); }    // to a successor, if one listens beside this program
  // The end: each connection once no set-up is open on it, but for one, by which releases go that come yet;
  // that one too; then those on which bytes go on coming as well.
  void close_idle_but_one() { door_.close_idle_but_one(); }
  void close_idle() { door_.close_idle(); }
  void close_by(Time over_by) { door_.close_by(over_by); }
  [[nodiscard]] bool closed() { return door_.closed(); }
  [[nodiscard]] const net::ConnectionListener::Counts& connections() const { return door_.counts(); }
  void close_all() { door_.close_all(); }  // waits until every connection has ended

  bool stands(CallId call, const std::string& description) override;
  void refused(CallId call, core::Why why, Duration later) override;
  void released(CallId call, int cause) override;
  void over(CallId call) override;
  bool waits(CallId call) override;

 private:
  friend class SipConnection;
  // A connection on which a set-up came, and the headers of it that its answer repeats.
  struct Requester {
    std::weak_ptr<SipConnection> connection;
    std::string echoed;
  };
  struct Dialogue {
    // One at the least; more where the set-up came again. The last that can be reached gets the one answer.
    std::vector<Requester> requesters;
    std::string uri;
    std::string subject;
    std::string description;  // until the answer: a repeat must carry the same
    bool answered = false;
  };
  void joined(net::Peer& connection);
  // A release on its way to a caller, on the connection or owed to the next; with the lock held.
  enum class Takes { at_once, later };  // later: what was queued before it may not leave for a while
  bool tell_over(SipConnection& to, CallId call, const std::string& line, Takes how);
  bool tell_any(SipConnection* own, const SipConnection* except, CallId call, const std::string& line);
  void unheard(SipConnection& from);  // it has ended: what it may not have read goes by another
  bool take(const std::shared_ptr<SipConnection>& from, const SipMessage& message);
  void heard(SipConnection& from, const SipMessage& message);
  void take_after_close(SipConnection& from, const SipMessage& message);
  void take_invite(const std::shared_ptr<SipConnection>& from, const SipMessage& message, CallId call);
  // False: the same set-up is open here already, or this answers the one that came.
  bool open_dialogue(const std::shared_ptr<SipConnection>& from, const SipMessage& message, CallId call);
  void requester_left(SipConnection& from, CallId call);
  static const Requester* last_reachable(const Dialogue& dialogue);  // or none
  static void close_askers(const Dialogue& dialogue, CallId call,
                           const std::shared_ptr<SipConnection>& except = nullptr);

  core::Core& core_;
  const std::vector<std::string> class_names_;
  std::mutex lock_;  // guards the tables below
  std::unordered_map<CallId, Dialogue> dialogues_;
  std::vector<std::pair<CallId, std::string>> owed_;  // releases for the next connection
  net::ConnectionListener door_;                      // last: its connections end before what they use
};

}  // namespace reeltack::platform
