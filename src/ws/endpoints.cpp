// Endpoint side of the frontend: messages from endpoints, and the attempts and releases sent to them.
#include "ws/connection.h"
#include "ws/frames.h"
#include "ws/messages.h"

namespace reeltack::ws {
namespace {

using net::Json;
using net::quoted;

// Rounded down, so that no endpoint is given more time than remains.
std::int64_t whole_ms_left(Time give_up) {
  return std::chrono::floor<std::chrono::milliseconds>(give_up - net::now()).count();
}

}  // namespace

void Frontend::from_endpoint(const ConnectionPtr& from, const Json& message) {
  const std::string type = text_field(message, "type");
  if (type == "register") return register_endpoint(from, message);
  std::optional<ServerId> id;
  {
    const std::lock_guard hold(lock_);
    id = from->endpoint;
    if (id) endpoints_[*id].releases.peer_active(net::now());
  }
  if (!id) {
    from->send(error_message("not-registered"));
    return;
  }
  if (type == "load") return core_.load_reported(*id, load_report(message));
  if (type == "drain") return change_state(from, *id, ServerState::draining);
  if (type == "leave") return change_state(from, *id, ServerState::gone);
  handle_call_message(from, *id, message);
}

void Frontend::change_state(const ConnectionPtr& from, ServerId id, ServerState state) {
  core::OfficeEntry entry;
  {
    const std::lock_guard hold(lock_);
    Endpoint& endpoint = endpoints_[id];
    endpoint.entry.entry.state = state;
    entry = endpoint.entry;
  }
  list_.update(core::Source::registered, false, {entry});
  from->send(state == ServerState::draining ? R"({"type":"draining"})" : R"({"type":"left"})");
}

void Frontend::handle_call_message(const ConnectionPtr& from, ServerId id, const Json& message) {
  const std::string type = text_field(message, "type");
  const std::string call_text = text_field(message, "call");
  const auto number = net::parse_hex16(call_text);
  const auto cause = number_field(message, "cause");
  const bool ended = type == "ended" && cause && *cause >= 0.0 && *cause <= 127.0;
  if (!number || (type != "started" && !ended)) {
    from->send(error_message("bad-message", call_text));
    return;
  }
  const CallId call{*number};
  ended ? handle_ended(id, call, static_cast<int>(*cause), message) : handle_started(id, call, message);
}

void Frontend::handle_started(ServerId id, CallId call, const Json& message) {
  {
    const std::lock_guard hold(lock_);
    auto& attempts = endpoints_[id].attempts;
    const auto found = attempts.find(call);
    if (found != attempts.end()) {
      if (!found->second.owns_answer()) return;
      attempts.erase(found);
    }
  }
  core_.office_answered(id, call, text_field(message, "description"));
}

void Frontend::handle_ended(ServerId id, CallId call, int cause, const Json& message) {
  using EndMeaning = membership::OpenAttempt::EndMeaning;
  {
    const std::lock_guard hold(lock_);
    Endpoint& endpoint = endpoints_[id];
    endpoint.releases.end_reported(call);
    const auto found = endpoint.attempts.find(call);
    if (found != endpoint.attempts.end()) {
      const EndMeaning meaning = found->second.end_meaning();
      if (meaning == EndMeaning::earlier) return;
      // Stays open until the core gives it up, which tells the endpoint.
      if (meaning == EndMeaning::ambiguous)
        return core_.attempt_failed(call, found->second.number(), AttemptOutcome::reset);
      endpoint.attempts.erase(found);
    }
  }
  core_.office_released({id, call, cause, text_field(message, "note"), load_report(message)});
}

// Makes the last check as the set-up leaves the queue: a drain still prevents one of which no byte is sent.
bool Frontend::may_leave(const core::SetUp& set_up, std::int64_t sent_ms, std::string& message) {
  {
    const std::lock_guard hold(lock_);
    Endpoint& endpoint = endpoints_[set_up.office];
    const auto found = endpoint.attempts.find(set_up.call);
    if (found == endpoint.attempts.end() || found->second.number() != set_up.attempt) return false;
    const ConnectionPtr connection = endpoint.connection.lock();
    const std::int64_t left_ms = whole_ms_left(set_up.expires_at);
    if (connection && connection->accepts_output() && endpoint.entry.entry.state == ServerState::ready &&
        left_ms > 0) {
      if (left_ms < sent_ms) message = text_frame(set_up_message(set_up, left_ms));
      found->second.transmitted(set_up.call, endpoint.releases);
      core_.attempt_transmitted();
      return true;
    }
    endpoint.attempts.erase(found);
  }
  core_.attempt_failed(set_up.call, set_up.attempt, AttemptOutcome::not_sent);
  return false;
}

std::string Frontend::set_up_message(const core::SetUp& set_up, std::int64_t left_ms) const {
  const auto& names = setup_.class_names;
  return R"({"type":"set-up","call":")" + id_text(set_up.call) + R"(","class":)" +
         quoted(set_up.call_class < names.size() ? names[set_up.call_class] : "") + R"(,"number":")" +
         net::hex16(static_cast<std::uint64_t>(set_up.number)) + R"(","left_ms":)" + std::to_string(left_ms) +
         ",\"description\":" + quoted(set_up.description) + "}";
}

void Frontend::start(const core::SetUp& set_up) {
  const std::int64_t left_ms = whole_ms_left(set_up.expires_at);
  const std::string message = set_up_message(set_up, left_ms);
  const std::lock_guard hold(lock_);
  Endpoint& endpoint = endpoints_[set_up.office];
  endpoint.attempts.insert_or_assign(set_up.call, membership::OpenAttempt(set_up.attempt));
  const ConnectionPtr connection = endpoint.connection.lock();
  const auto leaves = [this, set_up, left_ms](std::string& leaving) {
    return may_leave(set_up, left_ms, leaving);
  };
  if (connection && connection->send(message, leaves)) return;
  endpoint.attempts.erase(set_up.call);
  core_.attempt_failed(set_up.call, set_up.attempt, AttemptOutcome::connect_failed);
}

void Frontend::cancel(ServerId office, CallId call, std::uint32_t /*attempt*/) {
  const std::lock_guard hold(lock_);
  Endpoint& endpoint = endpoints_[office];
  const auto found = endpoint.attempts.find(call);
  if (found == endpoint.attempts.end()) return;
  const membership::OpenAttempt attempt = found->second;
  endpoint.attempts.erase(found);
  const ConnectionPtr connection = endpoint.connection.lock();
  if (!attempt.is_transmitted() || !connection) return;  // a queued set-up is dropped by may_leave()
  // Recorded for resending: if lost with the connection, the endpoint would hold a call without a caller.
  endpoint.releases.add(call, release_message(call), net::now(), attempt.earlier());
  // An endpoint that does not read would receive this too late: cutting the connection gives up its open
  // set-ups at once.
  if (connection->blocked()) return connection->cut();
  connection->send(R"({"type":"give-up","call":")" + id_text(call) + "\"}");
}

void Frontend::release(ServerId office, CallId call) {
  const std::lock_guard hold(lock_);
  send_release(endpoints_[office], call, release_message(call));
}

// Sends the release, or queues it for the next connection; once sent, it is held until the endpoint must have
// read it.
void Frontend::send_release(Endpoint& endpoint, CallId call, std::string message) {
  const ConnectionPtr connection = endpoint.connection.lock();
  if (!connection || !connection->accepts_output() || !connection->send(message)) {
    endpoint.pending_releases.emplace_back(call, std::move(message));
    return;
  }
  endpoint.releases.acknowledge(call);
  endpoint.releases.add(call, std::move(message), net::now());
}

}  // namespace reeltack::ws
