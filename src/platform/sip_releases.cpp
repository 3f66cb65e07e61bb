// Delivery of releases to callers: on a call's connection, on any open one, or on the next one accepted.
#include <algorithm>

#include "platform/sip_connection.h"

namespace reeltack::platform {

void SipFrontend::on_accepted(net::Peer& connection) {
  const std::lock_guard hold(lock_);
  auto& to = static_cast<SipConnection&>(connection);
  // A connection that has ended already takes none, as they would be lost with it.
  std::erase_if(pending_releases_, [&](const auto& release) {
    return send_release(to, release.first, release.second, Delivery::later);
  });
}

bool SipFrontend::send_release(SipConnection& to, CallId call, const std::string& line, Delivery how) {
  if (!to.accepts_output() || (how == Delivery::immediately && to.behind()) || !to.push(line)) return false;
  to.releases_.add(call, line, net::now());
  return true;
}

// A connection whose caller does not read would hold the release for seconds and then be cut, so connections
// without queued output are tried first, its own before the others, and never `except`.
bool SipFrontend::send_release_anywhere(SipConnection* own, const SipConnection* except, CallId call,
                                        const std::string& line) {
  for (const Delivery how : {Delivery::immediately, Delivery::later}) {
    if (own != nullptr && send_release(*own, call, line, how)) return true;
    const bool taken = listener_.offer([&](net::Peer& to) {
      return &to != except && send_release(static_cast<SipConnection&>(to), call, line, how);
    });
    if (taken) return true;
  }
  return false;
}

// A release that crossed its caller's close is lost with the connection, and nothing else would report it.
void SipFrontend::resend_unread(SipConnection& from) {
  const std::lock_guard hold(lock_);
  const bool unread =
      from.end_reason() == net::Peer::EndReason::unread || from.end_reason() == net::Peer::EndReason::dropped;
  auto again = unread ? from.releases_.take_all() : from.releases_.take_after_disconnect(net::now());
  for (auto& release : again) pending_releases_.push_back(std::move(release));
  std::erase_if(pending_releases_, [this, &from](const auto& release) {
    return send_release_anywhere(nullptr, &from, release.first, release.second);
  });
}

// The answer to a release, which a caller may omit.
void SipFrontend::handle_answer(SipConnection& from, const SipMessage& message) {
  const std::string* id = message.header("Call-ID");
  const auto call = id == nullptr ? std::nullopt : net::parse_hex16(*id);
  if (!call) return;
  const std::lock_guard hold(lock_);
  from.releases_.acknowledge(CallId{*call});
}

// Our side is closed, so nothing can be answered here, but calls that the caller releases end all the same.
void SipFrontend::handle_after_close(SipConnection& from, const SipMessage& message) {
  if (message.method.empty()) return handle_answer(from, message);
  const std::string* id = message.header("Call-ID");
  const auto call = id == nullptr ? std::nullopt : net::parse_hex16(*id);
  if (call && message.method == "BYE") core_.release(CallId{*call}, *this);
}

void SipFrontend::released(CallId call, int cause) {
  const std::lock_guard hold(lock_);
  Dialogue d;  // of a call from before our start only the id is known
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
  // An established call is not tied to a connection: any open one will do, otherwise the next.
  const bool sent = send_release_anywhere(own.get(), nullptr, call, bye);
  if (own) own->closed(call);
  if (!sent) pending_releases_.emplace_back(call, std::move(bye));
}

}  // namespace reeltack::platform
