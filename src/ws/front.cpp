#include "ws/front.h"

#include <algorithm>
#include <cmath>

#include "ws/frames.h"

namespace reeltack::ws {
namespace {

using namespace std::chrono_literals;
using core::Phase;
using core::Why;
using net::Json;
using net::quoted;

constexpr Duration kSilence = 20s;     // then the peer is asked by a ping, and cut off after as long again
constexpr Duration kAway = 6s;         // a centrale without a socket for so long has lost its calls
constexpr Duration kLongestWait = 1h;  // of a caller
constexpr const char* kClients = "/calls";
constexpr const char* kCentrales = "/centrales";

const char* name_of(Why why) {
  static constexpr const char* kNames[] = {
      "none", "overload", "tried-in-vain", "deadline-passed", "duplicate-id", "unknown-class", "given-up"};
  return kNames[static_cast<std::size_t>(why)];
}
const char* name_of(Phase phase) {
  static constexpr const char* kNames[] = {"unknown", "open",     "stands", "refused",
                                           "failed",  "given-up", "over"};
  return kNames[static_cast<std::size_t>(phase)];
}
// The named result of a final answer.
const char* result_of(Why why) {
  return why == Why::refused ? "refused" : why == Why::given_up ? "given-up" : "failed";
}

std::string id_of(CallId call) { return net::hex16(static_cast<std::uint64_t>(call)); }
std::string text_of(const Json& message, const char* key) {
  const Json* field = message.find(key);
  const std::string* s = field == nullptr ? nullptr : field->string();
  return s == nullptr ? std::string() : *s;
}
std::optional<double> figure_of(const Json& message, const char* key) {
  const Json* field = message.find(key);
  return field == nullptr ? std::nullopt : field->number();
}
std::string error(const char* reason, const std::string& call = "") {
  return std::string(R"({"type":"error","reason":")") + reason + "\"" +
         (call.empty() ? "" : ",\"call\":" + quoted(call)) + "}";
}
LoadReport report_of(const Json& message) {
  LoadReport out;
  const Json* load = message.find("load");
  if (load == nullptr) return out;
  out.free_lines = figure_of(*load, "free").value_or(-1.0);
  out.lines = figure_of(*load, "lines").value_or(-1.0);
  return out;
}

// Rounded down: nobody is told of more time than there is.
std::int64_t whole_ms_left(Time give_up) {
  return std::chrono::floor<std::chrono::milliseconds>(give_up - net::now()).count();
}

}  // namespace

class Connection final : public net::Peer {
 public:
  Connection(Front& front, net::Fd fd) : net::Peer(std::move(fd), kSilence), front_(front) {}
  bool tell(const std::string& json, net::Outbox::Check check = {}) {
    return push(text_frame(json), 0, std::move(check));
  }
  std::optional<ServerId> centrale;  // with the front's lock

 protected:
  Next received() override {
    const auto self = std::static_pointer_cast<Connection>(shared_from_this());
    if (path_.empty()) {
      const Handshake h = read_handshake(buffer_.view(), {kClients, kCentrales}, front_.setup_.origins);
      buffer_.take(h.used);
      if (h.result == Handshake::Result::more) return Next::more;
      push(h.answer);
      if (h.result == Handshake::Result::rejected) return hang_up();
      path_ = h.path;
      whole();
    }
    for (;;) {
      std::size_t used = 0;
      const std::optional<Message> message = assembler_.next(buffer_.view(), used);
      buffer_.take(used);
      if (used > 0) whole();
      if (assembler_.fault() != 0) {
        push(close_frame(assembler_.fault(), ""));
        return hang_up();
      }
      if (!message) return Next::more;
      asked_ = false;
      if (!take(self, *message)) return Next::end;
    }
  }
  void late() override {
    if (path_.empty()) return;
    push(close_frame(kProtocolError, "late"));  // half a frame
    hang_up();
  }
  Next quiet() override {
    if (asked_) {  // no answer to the ping either: the peer is gone
      push(close_frame(kGoingAway, "silent"));
      return Next::end;
    }
    asked_ = true;
    push(control_frame(kOpPing, "there?"));
    return Next::more;
  }
  void left(const std::set<CallId>& /*open*/) override {
    front_.lost(std::static_pointer_cast<Connection>(shared_from_this()));
  }

 private:
  bool take(const std::shared_ptr<Connection>& self, const Message& message) {
    if (message.kind == Message::Kind::ping) return push(control_frame(kOpPong, message.payload));
    if (message.kind == Message::Kind::pong) return true;
    if (message.kind == Message::Kind::close) {
      push(close_frame(message.close_code == 0 ? kNormal : message.close_code, ""));
      return false;
    }
    try {
      const Json json = Json::parse(message.payload);
      if (json.object() == nullptr) {
        return tell(error("bad-message"));
      }
      path_ == kClients ? front_.from_client(self, json) : front_.from_centrale(self, json);
      return true;
    } catch (const net::JsonError&) {
      return tell(error("bad-json"));
    }
  }

  Front& front_;
  std::string path_;  // empty until the handshake
  Assembler assembler_;
  bool asked_ = false;  // by a ping
};

Front::Front(core::Core& core, core::OfficeList& list, Setup setup)
    : core_(core), list_(list), setup_(std::move(setup)), door_(setup_.connections, [this](net::Fd fd) {
        return std::make_shared<Connection>(*this, std::move(fd));
      }) {}

// ---------------------------------------------------------------- clients

void Front::from_client(const Socket& from, const Json& message) {
  const std::string type = text_of(message, "type");
  const std::string id = text_of(message, "call");
  const auto call = net::parse_hex16(id);
  if (type.empty() || !call) {
    from->tell(error("bad-message", id));
    return;
  }
  if (type == "set-up") return set_up(from, message, CallId{*call});
  if (type == "give-up") return core_.give_up(CallId{*call}, *this);
  if (type == "release") return core_.release(CallId{*call}, *this);
  if (type == "status") return status(from, CallId{*call});
  from->tell(error("unknown-type", id));
}

void Front::set_up(const Socket& from, const Json& message, CallId call) {
  core::Request request;
  CallArrived& told = request.told;
  told.call = call;
  const auto number = net::parse_hex16(text_of(message, "number"));
  const auto patience = figure_of(message, "patience_ms");
  const Json* description = message.find("description");
  const bool described = description != nullptr && description->string() != nullptr;
  const double choice = figure_of(message, "first_choice").value_or(0.0);
  const double limit = std::chrono::duration<double, std::milli>(kLongestWait).count();
  const bool in_range =
      patience && *patience >= 0.0 && *patience <= limit && choice >= 0.0 && choice < 65536.0;
  if (!number || !in_range || !described) {
    from->tell(error("bad-message", id_of(call)));
    return;
  }
  told.number = NumberCalled{*number};
  told.destination = static_cast<std::uint32_t>(choice);
  told.caller_leaves = net::now() + std::chrono::milliseconds(static_cast<std::int64_t>(*patience));
  const auto& names = setup_.class_names;
  const auto name = std::find(names.begin(), names.end(), text_of(message, "class"));
  request.class_known = name != names.end();
  told.call_class = static_cast<std::uint32_t>(name - names.begin());
  const Json* again = message.find("again");
  told.cut_before = again != nullptr && again->boolean().value_or(false);
  request.description = *description->string();
  request.side = this;
  {
    const std::lock_guard hold(lock_);
    // The call of this id goes on undisturbed; only the second set-up is an error.
    if (!listening_.try_emplace(call, from).second) {
      from->tell(error("duplicate-id", id_of(call)));
      return;
    }
    from->tell(R"({"type":"taken","call":")" + id_of(call) + "\"}");
  }
  from->opened(call);
  core_.request(std::move(request));
}

// Answers how the call stands; from now on this socket hears of it.
void Front::status(const Socket& from, CallId call) {
  core_.ask(call, [this, call, weak = std::weak_ptr(from)](const core::Status& s) {
    const Socket socket = weak.lock();
    if (!socket) return;
    const bool ours = s.side == this;
    std::string line = R"({"type":"status","call":")" + id_of(call) + R"(","state":")" +
                       name_of(ours ? s.phase : Phase::unknown) + "\"";
    if (ours && s.why != Why::none) line += std::string(R"(,"reason":")") + name_of(s.why) + "\"";
    if (ours && s.phase == Phase::stands) line += ",\"description\":" + quoted(s.description);
    if (ours && (s.phase == Phase::open || s.phase == Phase::stands)) {
      const std::lock_guard hold(lock_);
      std::weak_ptr<Connection>& listener = listening_[call];
      const Socket before = listener.lock();
      if (before && before != socket) {
        before->closed(call);
        if (s.phase == Phase::open) socket->opened(call);
      }
      listener = socket;
    }
    socket->tell(line + "}");
  });
}

// The one place that speaks of a call to a client; the last word ends the listening.
void Front::tell(CallId call, std::string_view fields, bool last) {
  const std::lock_guard hold(lock_);
  const auto found = listening_.find(call);
  if (found == listening_.end()) return;
  const Socket socket = found->second.lock();
  if (last) listening_.erase(found);
  if (!socket) return;  // dropped: the client may ask for the status
  socket->tell("{\"call\":\"" + id_of(call) + "\"," + std::string(fields) + "}");
  socket->closed(call);  // only now: a connection without an open set-up may end at any time
}

bool Front::stands(CallId call, const std::string& description) {
  tell(call, R"("type":"answer","result":"stands","description":)" + quoted(description), false);
  return true;  // a call outlives its socket: the client can ask for it and release it on another
}

void Front::refused(CallId call, Why why, Duration later) {
  if (why == Why::duplicate) return tell(call, R"("type":"error","reason":"duplicate-id")", true);
  std::string fields =
      std::string(R"("type":"answer","result":")") + result_of(why) + R"(","reason":")" + name_of(why) + "\"";
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(later).count();
  if (ms > 0) fields += ",\"later_ms\":" + std::to_string(ms);
  tell(call, fields, true);
}

void Front::released(CallId call, int cause) {
  tell(call, R"("type":"released","cause":)" + std::to_string(cause), true);
}

void Front::over(CallId call) {
  const std::lock_guard hold(lock_);
  listening_.erase(call);
}

// ---------------------------------------------------------------- centrales

bool Front::owns(ServerId office) {
  const std::lock_guard hold(lock_);
  return centrales_.contains(office);
}

void Front::from_centrale(const Socket& from, const Json& message) {
  const std::string type = text_of(message, "type");
  if (type == "register") return register_centrale(from, message);
  std::optional<ServerId> office;
  {
    const std::lock_guard hold(lock_);
    office = from->centrale;
  }
  if (!office) {
    from->tell(error("not-registered"));
    return;
  }
  if (type == "load") return core_.reported(*office, report_of(message));
  if (type == "drain" || type == "leave") {
    core::OfficeEntry entry;
    {
      const std::lock_guard hold(lock_);
      Centrale& centrale = centrales_[*office];
      centrale.entry.entry.state = type == "drain" ? ServerState::draining : ServerState::gone;
      entry = centrale.entry;
    }
    list_.told(core::Source::registered, false, {entry});
    from->tell(type == "drain" ? R"({"type":"draining"})" : R"({"type":"left"})");
    return;
  }
  const std::string id = text_of(message, "call");
  const auto call = net::parse_hex16(id);
  const auto cause = figure_of(message, "cause");
  const bool ended = type == "ended" && cause && *cause >= 0.0 && *cause <= 127.0;
  if (!call || (type != "started" && !ended)) {
    from->tell(error("bad-message", id));
    return;
  }
  {
    const std::lock_guard hold(lock_);
    centrales_[*office].out.erase(CallId{*call});
  }
  if (ended)
    return core_.ended(
        {*office, CallId{*call}, static_cast<int>(*cause), text_of(message, "note"), report_of(message)});
  core_.answered(*office, CallId{*call}, text_of(message, "description"));
}

void Front::register_centrale(const Socket& from, const Json& message) {
  const std::string name = text_of(message, "centrale");
  const auto id = net::parse_office_name(name);
  const double place = figure_of(message, "place").value_or(0.0);
  const double capacity = figure_of(message, "capacity").value_or(1.0);
  const double started = figure_of(message, "started_ms").value_or(0.0);
  if (!id || place < 0.0 || place > 65535.0 || capacity <= 0.0 || started < 0.0 || started > 9.0e12) {
    from->tell(error("bad-message"));
    return;
  }
  if (list_.named_elsewhere(core::Source::registered, *id)) {
    from->tell(error("duplicate-id"));
    return;
  }
  core::OfficeEntry entry;
  entry.entry = {.server = *id,
                 .place = static_cast<std::uint32_t>(place),
                 .capacity = capacity,
                 .start = StartId{static_cast<std::uint64_t>(started)}};
  entry.address = "registered";
  {
    const std::lock_guard hold(lock_);
    Centrale& centrale = centrales_[*id];
    const Socket before = centrale.socket.lock();
    if ((before && before != from && !before->over()) || (from->centrale && from->centrale != id)) {
      from->tell(error("duplicate-id"));
      return;
    }
    centrale.entry = entry;
    centrale.socket = from;
    from->centrale = id;
    from->tell(R"({"type":"registered","centrale":)" + quoted(name) + "}");
    for (const std::string& line : std::exchange(centrale.owed, {})) from->tell(line);
  }
  list_.told(core::Source::registered, false, {entry});
}

// A client's calls go on; a centrale's set-ups in the air broke, and it gets nothing new until it is back.
void Front::lost(const Socket& socket) {
  std::map<CallId, std::uint32_t> out;
  core::OfficeEntry entry;
  {
    const std::lock_guard hold(lock_);
    if (!socket->centrale) return;
    Centrale& centrale = centrales_[*socket->centrale];
    if (centrale.socket.lock() != socket) return;
    centrale.socket.reset();
    out.swap(centrale.out);
    if (centrale.entry.entry.state == ServerState::ready) centrale.entry.entry.state = ServerState::draining;
    entry = centrale.entry;
  }
  list_.told(core::Source::registered, false, {entry});
  for (const auto& [call, attempt] : out) core_.send_failed(call, attempt, Ending::reset);
  // No socket owns a standing call; but a centrale that stays away holds none any more.
  core_.at(net::now() + kAway, [this, entry]() mutable {
    {
      const std::lock_guard hold(lock_);
      const auto found = centrales_.find(entry.entry.server);
      if (found == centrales_.end() || found->second.socket.lock()) return;
      centrales_.erase(found);
    }
    entry.entry.state = ServerState::gone;
    list_.told(core::Source::registered, false, {entry});
  });
}

// The first byte counts for drains, so all is checked again as the set-up leaves the queue.
bool Front::may_leave(const core::SetUp& set_up, std::int64_t told_ms, std::string& message) {
  {
    const std::lock_guard hold(lock_);
    Centrale& centrale = centrales_[set_up.office];
    const auto found = centrale.out.find(set_up.call);
    if (found == centrale.out.end() || found->second != set_up.attempt) return false;
    const std::int64_t left_ms = whole_ms_left(set_up.give_up);
    if (centrale.entry.entry.state == ServerState::ready && left_ms > 0) {
      if (left_ms < told_ms) message = text_frame(set_up_line(set_up, left_ms));
      core_.attempt_left();
      return true;
    }
    centrale.out.erase(found);
  }
  core_.send_failed(set_up.call, set_up.attempt, Ending::not_sent);
  return false;
}

std::string Front::set_up_line(const core::SetUp& set_up, std::int64_t left_ms) const {
  const auto& names = setup_.class_names;
  return R"({"type":"set-up","call":")" + id_of(set_up.call) + R"(","class":)" +
         quoted(set_up.call_class < names.size() ? names[set_up.call_class] : "") + R"(,"number":")" +
         net::hex16(static_cast<std::uint64_t>(set_up.number)) + R"(","left_ms":)" + std::to_string(left_ms) +
         ",\"description\":" + quoted(set_up.description) + "}";
}

void Front::start(const core::SetUp& set_up) {
  const std::int64_t left_ms = whole_ms_left(set_up.give_up);
  const std::string line = set_up_line(set_up, left_ms);
  const std::lock_guard hold(lock_);
  Centrale& centrale = centrales_[set_up.office];
  centrale.out[set_up.call] = set_up.attempt;
  const Socket socket = centrale.socket.lock();
  const auto leaves = [this, set_up, left_ms](std::string& message) {
    return may_leave(set_up, left_ms, message);
  };
  if (socket && socket->tell(line, leaves)) return;
  centrale.out.erase(set_up.call);
  core_.send_failed(set_up.call, set_up.attempt, Ending::connect_failed);
}

void Front::give_up(ServerId office, CallId call, std::uint32_t /*attempt*/) {
  const std::lock_guard hold(lock_);
  Centrale& centrale = centrales_[office];
  const bool was_out = centrale.out.erase(call) > 0;
  const Socket socket = centrale.socket.lock();
  if (!was_out || !socket) return;
  // A peer that does not read would get this too late: closing gives up what is open there at once.
  if (socket->behind()) return socket->cut();
  socket->tell(R"({"type":"give-up","call":")" + id_of(call) + "\"}");
}

void Front::release(ServerId office, CallId call) {
  const std::string line = R"({"type":"release","call":")" + id_of(call) + R"(","cause":16})";
  const std::lock_guard hold(lock_);
  Centrale& centrale = centrales_[office];
  const Socket socket = centrale.socket.lock();
  if (!socket || !socket->tell(line)) centrale.owed.push_back(line);
}

}  // namespace reeltack::ws
