// Releases on their way to callers: on a call's connection, on any open one, or owed to the next.
#include <algorithm>

#include "platform/sip_connection.h"

namespace reeltack::platform {

void SipFrontend::joined(net::Peer& connection) {
  const std::lock_guard hold(lock_);
  auto& to = static_cast<SipConnection&>(connection);
  // One that has left before it was let in would take them with it.
  std::erase_if(
      owed_, [&](const auto& release) { return tell_over(to, release.first, release.second, Takes::later); });
}

bool SipFrontend::tell_over(SipConnection& to, CallId call, const std::string& line, Takes how) {
  if (!to.accepts_output() || (how == Takes::at_once && to.behind()) || !to.push(line)) return false;
  to.releases_.sent(call, line, net::now());
  return true;
}

// A caller's connection that does not read would hold it for seconds, and then be cut off: any other one
// comes first, though not `except`.
bool SipFrontend::tell_any(SipConnection* own, const SipConnection* except, CallId call,
                           const std::string& line) {
  for (const Takes how : {Takes::at_once, Takes::later}) {
    if (own != nullptr && tell_over(*own, call, line, how)) return true;
    const bool taken = door_.offer([&](net::Peer& to) {
      return &to != except && tell_over(static_cast<SipConnection&>(to), call, line, how);
    });
    if (taken) return true;
  }
  return false;
}

// A release that crossed its caller's close is lost with the connection, and nothing else tells of it.
void SipFrontend::unheard(SipConnection& from) {
  const std::lock_guard hold(lock_);
  const bool unread =
      from.end_reason() == net::Peer::EndReason::unread || from.end_reason() == net::Peer::EndReason::dropped;
  auto again = unread ? from.releases_.unread() : from.releases_.ended(net::now());
  for (auto& release : again) owed_.push_back(std::move(release));
  std::erase_if(owed_, [this, &from](const auto& release) {
    return tell_any(nullptr, &from, release.first, release.second);
  });
}

// The answer to a release, which a caller may leave out.
void SipFrontend::heard(SipConnection& from, const SipMessage& message) {
  const std::string* id = message.header("Call-ID");
  const auto call = id == nullptr ? std::nullopt : net::parse_hex16(*id);
  if (!call) return;
  const std::lock_guard hold(lock_);
  from.releases_.heard(CallId{*call});
}

// Our side is closed, so that its caller hears nothing more here; what it ends, ends all the same.
void SipFrontend::take_after_close(SipConnection& from, const SipMessage& message) {
  if (message.method.empty()) return heard(from, message);
  const std::string* id = message.header("Call-ID");
  const auto call = id == nullptr ? std::nullopt : net::parse_hex16(*id);
  if (call && message.method == "BYE") core_.release(CallId{*call}, *this);
}

void SipFrontend::released(CallId call, int cause) {
  const std::lock_guard hold(lock_);
  Dialogue d;  // of a call from before our start nothing is known but its id
  d.uri = "sip:" + net::hex16(static_cast<std::uint64_t>(call)) + "@net";
  if (const auto found = dialogues_.find(call); found != dialogues_.end()) {
    d = std::move(found->second);
    dialogues_.erase(found);
  }
  const std::string id = net::hex16(static_cast<std::uint64_t>(call));
  std::string bye = "BYE " + d.uri + " SIP/2.0\r\nVia: SIP/2.0/TCP controller\r\nCall-ID: " + id +
                    "\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=" + std::to_string(cause) +
                    "\r\nContent-Length: 0\r\n\r\n";
  const auto own = d.requesters.empty() ? nullptr : d.requesters.back().connection.lock();
  // No connection owns a standing call: any open one will do, or else the next.
  const bool told = tell_any(own.get(), nullptr, call, bye);
  if (own) own->closed(call);
  if (!told) owed_.emplace_back(call, std::move(bye));
}

}  // namespace reeltack::platform
