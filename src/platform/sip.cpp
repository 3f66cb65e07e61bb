#include "platform/sip.h"

#include <algorithm>

#include "base/json.h"
#include "platform/sip_connection.h"

namespace reeltack::platform {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t kMaxFigure = 65535;  // places are 16-bit numbers in the bulletin
constexpr std::int64_t kMaxWidth = 255;     // circuits of one call

// Parses the figures of a set-up, which offices do not check: integers within their meaningful range.
bool read_facts(std::string_view text, CallArrived& arrival) {
  while (!text.empty()) {
    const std::string_view one = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(one.size() + 1, text.size()));
    const std::size_t colon = one.find(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    const std::string_view name = one.substr(0, colon);
    const auto value = whole_number(one.substr(colon + 1));
    if (!value || *value < -1 || *value > kMaxFigure) return false;
    if (*value < 0 && name != "via") return false;
    if (name == "dest") arrival.destination = static_cast<std::uint32_t>(*value);
    if (name == "width" && (*value < 1 || *value > kMaxWidth)) return false;
    if (name == "again") arrival.dropped_before = *value != 0;
  }
  return true;
}

}  // namespace

std::string sip_answer(int status, const char* reason, const std::string& echoed, const std::string& more,
                       const std::string& body) {
  return "SIP/2.0 " + std::to_string(status) + " " + reason + "\r\n" + echoed + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

SipFrontend::SipFrontend(core::Core& core, std::vector<std::string> class_names, std::size_t max_connections)
    : core_(core),
      class_names_(std::move(class_names)),
      listener_(
          max_connections,
          [this](net::Fd fd) { return std::make_shared<SipConnection>(*this, std::move(fd)); },
          [this](net::Peer& connection) { on_accepted(connection); }) {}

bool SipFrontend::handle_message(const std::shared_ptr<SipConnection>& from, const SipMessage& message) {
  if (message.method.empty()) return handle_answer(*from, message), true;
  if (message.method == "ACK") return true;  // nothing to do
  if (message.method == "OPTIONS") {
    from->push(core_.ready() ? sip_answer(200, "OK", message.echoed())
                             : sip_answer(503, "Service Unavailable", message.echoed()));
    return true;
  }
  const std::string* id = message.header("Call-ID");
  const auto call = id == nullptr ? std::nullopt : net::parse_hex16(*id);
  if (!call || message.header("CSeq") == nullptr) return false;
  if (message.method == "INVITE") return handle_invite(from, message, CallId{*call}), true;
  if (message.method == "CANCEL") {
    from->push(sip_answer(200, "OK", message.echoed()));
    core_.cancel(CallId{*call}, *this);
    return true;
  }
  if (message.method == "BYE") {
    from->push(sip_answer(200, "OK", message.echoed()));
    core_.release(CallId{*call}, *this);
    return true;
  }
  from->push(sip_answer(501, "Not Implemented", message.echoed()));
  return true;
}

void SipFrontend::handle_invite(const std::shared_ptr<SipConnection>& from, const SipMessage& message,
                                CallId call) {
  core::Request request;
  CallArrived& arrival = request.arrival;
  arrival.call = call;
  const std::size_t at = message.uri.find('@');
  const auto number = message.uri.rfind("sip:", 0) == 0 && at != std::string::npos
                          ? net::parse_hex16(std::string_view(message.uri).substr(4, at - 4))
                          : std::nullopt;
  const std::string* patience = message.header("X-Patience");
  const auto ms = patience == nullptr ? std::nullopt : whole_number(*patience);
  if (!number || !ms || *ms < 0 || *ms > 3'600'000) {
    from->push(sip_answer(400, "Bad Request", message.echoed()));
    return;
  }
  arrival.number = CalledNumber{*number};
  arrival.caller_leaves_at = net::now() + std::chrono::milliseconds(*ms);
  const std::string* subject = message.header("Subject");
  const auto name = std::find(class_names_.begin(), class_names_.end(), subject == nullptr ? "" : *subject);
  if (name == class_names_.end()) {  // answered here, so that floods of unknown classes do not load the core
    from->push(sip_answer(488, "Not Acceptable Here", message.echoed()));
    return;
  }
  arrival.call_class = static_cast<std::uint32_t>(name - class_names_.begin());
  if (const std::string* facts = message.header("X-Facts");
      facts != nullptr && !read_facts(*facts, arrival)) {
    from->push(sip_answer(400, "Bad Request", message.echoed()));
    return;
  }
  // Offices read JSON lines: one that receives invalid UTF-8 would close the connection with its other
  // set-ups.
  if (!net::is_utf8(message.body)) {
    from->push(sip_answer(400, "Bad Request", message.echoed()));
    return;
  }
  request.description = message.body;
  request.frontend = this;
  request.source = from->owner();
  if (open_dialogue(from, message, call) && !core_.request(std::move(request)))
    rejected(call, core::FailureReason::refused, {});
}

bool SipFrontend::open_dialogue(const std::shared_ptr<SipConnection>& from, const SipMessage& message,
                                CallId call) {
  const std::string& subject = *message.header("Subject");
  const std::lock_guard hold(lock_);
  const auto [place, fresh] = dialogues_.try_emplace(call);
  Dialogue& d = place->second;
  if (fresh) {
    d.uri = message.uri;
    d.subject = subject;
    d.description = message.body;
  } else if (d.answered || d.uri != message.uri || d.subject != subject || d.description != message.body) {
    // A different set-up under the id of an open call must neither get that call's answer nor replace it.
    from->push(sip_answer(482, "Loop Detected", message.echoed()));
    return false;
  } else if (std::any_of(d.requesters.begin(), d.requesters.end(),
                         [&from](const Requester& a) { return a.connection.lock() == from; })) {
    return false;
  }
  // A repeated set-up, which crossed a close of ours or is hedged: its single answer is now due here.
  d.requesters.push_back({from, message.echoed()});
  from->opened(call);
  return fresh;
}

// The call is given up when the last connection on which its set-up was received ends.
void SipFrontend::requester_left(SipConnection& from, CallId call) {
  {
    const std::lock_guard hold(lock_);
    const auto found = dialogues_.find(call);
    if (found == dialogues_.end()) return;
    std::vector<Requester>& requesters = found->second.requesters;
    const bool others = std::any_of(requesters.begin(), requesters.end(), [&from](const Requester& a) {
      const auto connection = a.connection.lock();
      return connection && connection.get() != &from && connection->reachable();
    });
    if (others) {
      std::erase_if(requesters, [&from](const Requester& a) { return a.connection.lock().get() == &from; });
      from.closed(call);
      return;
    }
  }
  core_.cancel(call, *this);
}

bool SipFrontend::still_waiting(CallId call) {
  const std::lock_guard hold(lock_);
  const auto found = dialogues_.find(call);
  return found != dialogues_.end() && last_reachable(found->second) != nullptr;
}

bool SipFrontend::established(CallId call, const std::string& description) {
  const std::lock_guard hold(lock_);
  const auto found = dialogues_.find(call);
  if (found == dialogues_.end()) return false;
  Dialogue& d = found->second;
  // A caller that has closed, even if the loop has not noticed, has given up the call and would never release
  // it.
  const Requester* reachable = last_reachable(d);
  const Requester requester = reachable == nullptr ? d.requesters.back() : *reachable;
  const auto connection = requester.connection.lock();
  const bool sent = reachable != nullptr && connection &&
                    connection->push(sip_answer(200, "OK", requester.echoed, "", description));
  if (!sent && connection) connection->push(sip_answer(487, "Request Terminated", requester.echoed));
  if (sent) connection->established(call);
  close_requesters(d, call, sent ? connection : nullptr);
  if (!sent) {
    dialogues_.erase(found);
    return false;
  }
  d.answered = true;
  base::free_text(d.description);
  d.requesters = {requester};
  return true;
}

void SipFrontend::rejected(CallId call, core::FailureReason why, Duration later) {
  const std::lock_guard hold(lock_);
  const auto found = dialogues_.find(call);
  if (found == dialogues_.end()) return;
  const Dialogue d = std::move(found->second);
  dialogues_.erase(found);
  // Of several, the last reachable one. A single one is answered in any case: a far end that closed only its
  // own direction still reads.
  const Requester* reachable = d.requesters.size() > 1 ? last_reachable(d) : nullptr;
  const Requester& requester = reachable == nullptr ? d.requesters.back() : *reachable;
  const auto connection = requester.connection.lock();
  if (!connection) return;
  std::string advice;
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(later).count();
  if (ms > 0) advice = "X-Later-Ms: " + std::to_string(ms) + "\r\n";
  static constexpr struct {
    int status;
    const char* reason;
  } kAnswers[] = {{500, "Server Internal Error"}, {503, "Service Unavailable"},
                  {500, "Server Internal Error"}, {408, "Request Timeout"},
                  {482, "Loop Detected"},         {488, "Not Acceptable Here"},
                  {487, "Request Terminated"}};
  const auto& a = kAnswers[static_cast<std::size_t>(why)];
  connection->push(sip_answer(a.status, a.reason, requester.echoed, advice));
  close_requesters(d, call);  // after the push: a connection without an open set-up may end at any time
}

void SipFrontend::ended(CallId call) {
  const std::lock_guard hold(lock_);
  const auto found = dialogues_.find(call);
  if (found == dialogues_.end()) return;
  close_requesters(found->second, call);
  dialogues_.erase(found);
}

const SipFrontend::Requester* SipFrontend::last_reachable(const Dialogue& dialogue) {
  const auto found =
      std::find_if(dialogue.requesters.rbegin(), dialogue.requesters.rend(), [](const Requester& a) {
        const auto connection = a.connection.lock();
        return connection && connection->reachable();
      });
  return found == dialogue.requesters.rend() ? nullptr : &*found;
}

void SipFrontend::close_requesters(const Dialogue& dialogue, CallId call,
                                   const std::shared_ptr<SipConnection>& except) {
  for (const Requester& requester : dialogue.requesters) {
    const auto connection = requester.connection.lock();
    if (connection && connection != except) connection->closed(call);
  }
}

}  // namespace reeltack::platform
