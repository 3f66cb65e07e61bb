// Client side of the frontend: set-ups, status queries, releases, and notifications about calls.
#include <algorithm>

#include "ws/connection.h"
#include "ws/messages.h"

namespace reeltack::ws {
namespace {

using namespace std::chrono_literals;
using core::FailureReason;
using core::Phase;
using net::Json;
using net::quoted;

constexpr Duration kMaxCallerWait = 1h;  // of a caller

}  // namespace

void Frontend::from_client(const ConnectionPtr& from, const Json& message) {
  const std::string type = text_field(message, "type");
  const std::string id = text_field(message, "call");
  const auto call = net::parse_hex16(id);
  if (type.empty() || !call) {
    from->send(error_message("bad-message", id));
    return;
  }
  if (type == "set-up") return set_up(from, message, CallId{*call});
  if (type == "give-up") return core_.cancel(CallId{*call}, *this);
  if (type == "release") return core_.release(CallId{*call}, *this);
  if (type == "status") return status(from, CallId{*call});
  from->send(error_message("unknown-type", id));
}

void Frontend::set_up(const ConnectionPtr& from, const Json& message, CallId call) {
  core::Request request;
  CallArrived& arrival = request.arrival;
  arrival.call = call;
  const auto number = net::parse_hex16(text_field(message, "number"));
  const auto patience = number_field(message, "patience_ms");
  const Json* description = message.find("description");
  const bool described = description != nullptr && description->string() != nullptr;
  const double choice = number_field(message, "first_choice").value_or(0.0);
  const double limit = std::chrono::duration<double, std::milli>(kMaxCallerWait).count();
  const bool in_range =
      patience && *patience >= 0.0 && *patience <= limit && choice >= 0.0 && choice < 65536.0;
  if (!number || !in_range || !described) {
    from->send(error_message("bad-message", id_text(call)));
    return;
  }
  arrival.number = CalledNumber{*number};
  arrival.destination = static_cast<std::uint32_t>(choice);
  arrival.caller_leaves_at = net::now() + std::chrono::milliseconds(static_cast<std::int64_t>(*patience));
  const auto& names = setup_.class_names;
  const auto name = std::find(names.begin(), names.end(), text_field(message, "class"));
  request.class_known = name != names.end();
  arrival.call_class = static_cast<std::uint32_t>(name - names.begin());
  const Json* again = message.find("again");
  arrival.dropped_before = again != nullptr && again->boolean().value_or(false);
  request.description = *description->string();
  request.frontend = this;
  {
    const std::lock_guard hold(lock_);
    // The call of this id is not affected; only the second set-up is rejected.
    if (!subscribers_.try_emplace(call, from).second) {
      from->send(error_message("duplicate-id", id_text(call)));
      return;
    }
    from->send(R"({"type":"taken","call":")" + id_text(call) + "\"}");
  }
  from->opened(call);
  request.source = from->owner();
  if (!core_.request(std::move(request))) rejected(call, FailureReason::refused, {});
}

// Answers with the state of the call and subscribes this connection to it.
void Frontend::status(const ConnectionPtr& from, CallId call) {
  core_.query(call, [this, call, weak = std::weak_ptr(from)](const core::Status& s) {
    const ConnectionPtr connection = weak.lock();
    if (!connection) return;
    const bool ours = s.frontend == this;
    std::string line = R"({"type":"status","call":")" + id_text(call) + R"(","state":")" +
                       name_text(ours ? s.phase : Phase::unknown) + "\"";
    if (ours && s.reason != FailureReason::none)
      line += std::string(R"(,"reason":")") + name_text(s.reason) + "\"";
    if (ours && s.phase == Phase::established) line += ",\"description\":" + quoted(s.description);
    if (ours && (s.phase == Phase::open || s.phase == Phase::established)) {
      const std::lock_guard hold(lock_);
      std::weak_ptr<Connection>& subscriber = subscribers_[call];
      const ConnectionPtr before = subscriber.lock();
      if (before != connection) {
        if (before) before->closed(call);
        if (s.phase == Phase::open) connection->opened(call);
      }
      subscriber = connection;
    }
    connection->send(line + "}");
  });
}

// Sends every notification about a call; the last one ends the subscription.
void Frontend::send_about(CallId call, std::string_view fields, bool last) {
  const std::lock_guard hold(lock_);
  const auto found = subscribers_.find(call);
  if (found == subscribers_.end()) return;
  const ConnectionPtr connection = found->second.lock();
  if (last) subscribers_.erase(found);
  if (!connection) return;  // dropped: the client may ask for the status
  connection->send("{\"call\":\"" + id_text(call) + "\"," + std::string(fields) + "}");
  connection->closed(call);  // after sending: a connection without an open set-up may end at any time
}

bool Frontend::established(CallId call, const std::string& description) {
  send_about(call, R"("type":"answer","result":"stands","description":)" + quoted(description), false);
  return true;  // a call outlives its connection: the client can query and release it on another
}

void Frontend::rejected(CallId call, FailureReason why, Duration later) {
  if (why == FailureReason::duplicate)
    return send_about(call, R"("type":"error","reason":"duplicate-id")", true);
  std::string fields = std::string(R"("type":"answer","result":")") + result_text(why) + R"(","reason":")" +
                       name_text(why) + "\"";
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(later).count();
  if (ms > 0) fields += ",\"later_ms\":" + std::to_string(ms);
  send_about(call, fields, true);
}

void Frontend::released(CallId call, int cause) {
  send_about(call, R"("type":"released","cause":)" + std::to_string(cause), true);
}

void Frontend::ended(CallId call) {
  const std::lock_guard hold(lock_);
  subscribers_.erase(call);
}

}  // namespace reeltack::ws
