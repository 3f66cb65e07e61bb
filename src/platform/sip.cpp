#include "platform/sip.h"

#include <strings.h>

#include <algorithm>
#include <charconv>

#include "base/json.h"

namespace reeltack::platform {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t kMostFigure = 65535;  // places are 16-bit numbers in the bulletin
constexpr std::int64_t kWidest = 255;        // circuits of one call

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() && ::strncasecmp(a.data(), b.data(), a.size()) == 0;
}
std::string_view trimmed(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}
std::optional<std::int64_t> whole_number(std::string_view text) {
  std::int64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return out;
}
std::string answer(int status, const char* reason, const std::string& echoed, const std::string& more = "",
                   const std::string& body = "") {
  return "SIP/2.0 " + std::to_string(status) + " " + reason + "\r\n" + echoed + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The figures of a set-up, none of which an office would check: whole numbers within what they can mean.
bool read_facts(std::string_view text, CallArrived& told) {
  while (!text.empty()) {
    const std::string_view one = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(one.size() + 1, text.size()));
    const std::size_t colon = one.find(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    const std::string_view name = one.substr(0, colon);
    const auto value = whole_number(one.substr(colon + 1));
    if (!value || *value < -1 || *value > kMostFigure) return false;
    if (*value < 0 && name != "via") return false;
    if (name == "dest") told.destination = static_cast<std::uint32_t>(*value);
    if (name == "width" && (*value < 1 || *value > kWidest)) return false;
    if (name == "again") told.cut_before = *value != 0;
  }
  return true;
}

bool first_line(std::string_view line, SipMessage& out) {
  const std::size_t one = line.find(' ');
  const std::size_t two = one == std::string_view::npos ? one : line.find(' ', one + 1);
  if (two == std::string_view::npos) return false;
  const std::string_view a = line.substr(0, one);
  const std::string_view b = line.substr(one + 1, two - one - 1);
  if (a == "SIP/2.0") {
    const auto status = whole_number(b);
    if (!status || *status < 100 || *status > 699) return false;
    out.status = static_cast<int>(*status);
    return true;
  }
  if (a.empty() || b.empty() || line.substr(two + 1) != "SIP/2.0") return false;
  out.method = a;
  out.uri = b;
  return a.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") == std::string_view::npos;
}

}  // namespace

const std::string* SipMessage::header(std::string_view name) const {
  for (const auto& [n, value] : headers) {
    if (same_name(n, name)) return &value;
  }
  return nullptr;
}
std::string SipMessage::echoed() const {
  std::string out;
  for (const auto& [name, value] : headers) {
    for (const char* kept : {"Via", "From", "To", "Call-ID", "CSeq"}) {
      if (same_name(name, kept)) out.append(name).append(": ").append(value).append("\r\n");
    }
  }
  return out;
}

Parsed parse_sip(std::string_view text, SipMessage& out, std::size_t& used) {
  out = {};
  used = 0;
  std::size_t start = 0;
  while (text.substr(start, 2) == "\r\n") start += 2;  // RFC 3261, 7.5: blank lines before a message
  if (start > 0 && start == text.size()) return used = start, Parsed::more;
  const std::size_t end = text.find("\r\n\r\n", start);
  if (end == std::string_view::npos)
    return text.size() - start > net::kMostMessage ? Parsed::malformed : Parsed::more;
  std::string_view head = text.substr(start, end - start);
  std::size_t length = 0;
  bool first = true;
  bool has_length = false;
  while (!head.empty()) {
    const std::string_view line = head.substr(0, head.find("\r\n"));
    head.remove_prefix(std::min(line.size() + 2, head.size()));
    if (first) {
      if (!first_line(line, out)) return Parsed::malformed;
      first = false;
      continue;
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = trimmed(line.substr(0, std::min(colon, line.size())));
    if (colon == std::string_view::npos || name.empty() || line.find('\n') != std::string_view::npos)
      return Parsed::malformed;
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (same_name(name, "Content-Length") || same_name(name, "l")) {
      const auto n = whole_number(value);
      if (!n || *n < 0 || *n > static_cast<std::int64_t>(net::kMostMessage) ||
          (has_length && static_cast<std::size_t>(*n) != length))
        return Parsed::malformed;
      length = static_cast<std::size_t>(*n);
      has_length = true;
    }
    out.headers.emplace_back(name, value);
  }
  // Over a stream nothing else tells where the message ends.
  if (!has_length || end + 4 + length - start > net::kMostMessage) return Parsed::malformed;
  if (text.size() < end + 4 + length) return Parsed::more;
  out.body = text.substr(end + 4, length);
  used = end + 4 + length;
  return Parsed::whole;
}

// A caller's connection.
class SipConnection final : public net::Peer {
 public:
  SipConnection(SipFront& front, net::Fd fd) : net::Peer(std::move(fd)), front_(front) {}

 protected:
  Next received() override {
    const auto self = std::static_pointer_cast<SipConnection>(shared_from_this());
    for (;;) {
      SipMessage message;
      std::size_t used = 0;
      const Parsed parsed = parse_sip(buffer_.view(), message, used);
      buffer_.take(used);
      if (parsed == Parsed::more) return Next::more;
      if (parsed == Parsed::malformed) {
        push("SIP/2.0 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
        return hang_up();
      }
      whole();
      if (front_.take(self, message)) continue;
      push(answer(400, "Bad Request", message.echoed()));
      return hang_up();
    }
  }
  void late() override {
    push("SIP/2.0 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
    hang_up();
  }
  void left(const std::set<CallId>& open) override {
    for (const CallId call : open) front_.core_.give_up(call, front_);  // nobody is left to answer
  }

 private:
  SipFront& front_;
};

SipFront::SipFront(core::Core& core, std::vector<std::string> class_names, std::size_t most_connections)
    : core_(core),
      class_names_(std::move(class_names)),
      door_(
          most_connections,
          [this](net::Fd fd) { return std::make_shared<SipConnection>(*this, std::move(fd)); },
          [this](net::Peer& connection) { joined(connection); }) {}

void SipFront::joined(net::Peer& connection) {
  const std::lock_guard hold(lock_);
  // One that has left before it was let in would take them with it.
  std::erase_if(owed_, [&connection](const std::string& line) {
    return connection.listens() && connection.push(line);
  });
}

bool SipFront::take(const std::shared_ptr<SipConnection>& from, const SipMessage& message) {
  if (message.method.empty() || message.method == "ACK") return true;  // heard, nothing to do
  if (message.method == "OPTIONS") {
    return core_.ready() ? from->push(answer(200, "OK", message.echoed()))
                         : from->push(answer(503, "Service Unavailable", message.echoed()));
  }
  const std::string* id = message.header("Call-ID");
  const auto call = id == nullptr ? std::nullopt : net::parse_hex16(*id);
  if (!call || message.header("CSeq") == nullptr) return false;
  if (message.method == "INVITE") return take_invite(from, message, CallId{*call}), true;
  if (message.method == "CANCEL") {
    from->push(answer(200, "OK", message.echoed()));
    core_.give_up(CallId{*call}, *this);
    return true;
  }
  if (message.method == "BYE") {
    from->push(answer(200, "OK", message.echoed()));
    core_.release(CallId{*call}, *this);
    return true;
  }
  return from->push(answer(501, "Not Implemented", message.echoed()));
}

void SipFront::take_invite(const std::shared_ptr<SipConnection>& from, const SipMessage& message,
                           CallId call) {
  core::Request request;
  CallArrived& told = request.told;
  told.call = call;
  const std::size_t at = message.uri.find('@');
  const auto number = message.uri.rfind("sip:", 0) == 0 && at != std::string::npos
                          ? net::parse_hex16(std::string_view(message.uri).substr(4, at - 4))
                          : std::nullopt;
  const std::string* patience = message.header("X-Patience");
  const auto ms = patience == nullptr ? std::nullopt : whole_number(*patience);
  if (!number || !ms || *ms < 0 || *ms > 3'600'000) {
    from->push(answer(400, "Bad Request", message.echoed()));
    return;
  }
  told.number = NumberCalled{*number};
  told.caller_leaves = net::now() + std::chrono::milliseconds(*ms);
  const std::string* subject = message.header("Subject");
  const auto name = std::find(class_names_.begin(), class_names_.end(), subject == nullptr ? "" : *subject);
  if (name == class_names_.end()) {  // said here: what anybody can send at full speed must not cost the core
    from->push(answer(488, "Not Acceptable Here", message.echoed()));
    return;
  }
  told.call_class = static_cast<std::uint32_t>(name - class_names_.begin());
  if (const std::string* facts = message.header("X-Facts"); facts != nullptr && !read_facts(*facts, told)) {
    from->push(answer(400, "Bad Request", message.echoed()));
    return;
  }
  // An office reads JSON lines: on a description that is no UTF-8 it would close on its other set-ups too.
  if (!net::is_utf8(message.body)) {
    from->push(answer(400, "Bad Request", message.echoed()));
    return;
  }
  request.description = message.body;
  request.side = this;
  {
    const std::lock_guard hold(lock_);
    const auto [place, fresh] = dialogues_.try_emplace(call);
    Dialogue& d = place->second;
    if (fresh) {
      d.connection = from;
      d.echoed = message.echoed();
      d.uri = message.uri;
      d.subject = *subject;
      d.description = message.body;
    } else if (d.answered || d.uri != message.uri || d.subject != *subject || d.description != message.body) {
      // Another set-up under the id of an open call: it must get neither that call's answer nor its place.
      from->push(answer(482, "Loop Detected", message.echoed()));
      return;
    } else {
      // The same set-up once more: it crossed a close of ours, and its answer is owed here now.
      const auto before = d.connection.lock();
      if (before == from) return;
      if (before) before->closed(call);  // its end must not give the call up
      d.connection = from;
      d.echoed = message.echoed();
      from->opened(call);
      return;
    }
  }
  from->opened(call);
  core_.request(std::move(request));
}

bool SipFront::stands(CallId call, const std::string& description) {
  const std::lock_guard hold(lock_);
  const auto found = dialogues_.find(call);
  if (found == dialogues_.end()) return false;
  Dialogue& d = found->second;
  d.answered = true;
  d.description = {};
  const auto connection = d.connection.lock();
  if (connection && connection->push(answer(200, "OK", d.echoed, "", description))) {
    connection->stood(call);
    return true;
  }
  if (connection) connection->closed(call);
  dialogues_.erase(found);
  return false;
}

void SipFront::refused(CallId call, core::Why why, Duration later) {
  const std::lock_guard hold(lock_);
  const auto found = dialogues_.find(call);
  if (found == dialogues_.end()) return;
  const Dialogue d = std::move(found->second);
  dialogues_.erase(found);
  const auto connection = d.connection.lock();
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
  connection->push(answer(a.status, a.reason, d.echoed, advice));
  connection->closed(call);  // only now: a connection without an open set-up may end at any time
}

void SipFront::over(CallId call) {
  const std::lock_guard hold(lock_);
  const auto found = dialogues_.find(call);
  if (found == dialogues_.end()) return;
  if (const auto connection = found->second.connection.lock()) connection->closed(call);
  dialogues_.erase(found);
}

void SipFront::released(CallId call, int cause) {
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
  const auto own = d.connection.lock();
  const bool told = own && own->listens() && own->push(bye);
  if (own) own->closed(call);
  if (told) return;
  // No connection owns a standing call: any open one will do, or else the next.
  if (!door_.push_to_any(bye)) owed_.push_back(std::move(bye));
}

}  // namespace reeltack::platform
