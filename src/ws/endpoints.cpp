// The front's side for endpoints: those that register here, and the attempts and releases sent to them.
#include "ws/connection.h"
#include "ws/frames.h"
#include "ws/messages.h"

namespace reeltack::ws {
namespace {

using namespace std::chrono_literals;
using net::Json;
using net::quoted;

constexpr Duration kAway = 6s;  // an endpoint without a connection for so long has lost its calls

// Rounded down: nobody is told of more time than there is.
std::int64_t whole_ms_left(Time give_up) {
  return std::chrono::floor<std::chrono::milliseconds>(give_up - net::now()).count();
}

}  // namespace

bool Front::owns(ServerId office) {
  const std::lock_guard hold(lock_);
  return endpoints_.contains(office);
}

void Front::from_endpoint(const ConnectionPtr& from, const Json& message) {
  const std::string type = text_field(message, "type");
  if (type == "register") return register_endpoint(from, message);
  std::optional<ServerId> office;
  {
    const std::lock_guard hold(lock_);
    office = from->endpoint;
  }
  if (!office) {
    from->send(error_message("not-registered"));
    return;
  }
  if (type == "load") return core_.reported(*office, load_report(message));
  if (type == "drain" || type == "leave") {
    core::OfficeEntry entry;
    {
      const std::lock_guard hold(lock_);
      Endpoint& endpoint = endpoints_[*office];
      endpoint.entry.entry.state = type == "drain" ? ServerState::draining : ServerState::gone;
      entry = endpoint.entry;
    }
    list_.told(core::Source::registered, false, {entry});
    from->send(type == "drain" ? R"({"type":"draining"})" : R"({"type":"left"})");
    return;
  }
  const std::string id = text_field(message, "call");
  const auto call = net::parse_hex16(id);
  const auto cause = number_field(message, "cause");
  const bool ended = type == "ended" && cause && *cause >= 0.0 && *cause <= 127.0;
  if (!call || (type != "started" && !ended)) {
    from->send(error_message("bad-message", id));
    return;
  }
  {
    const std::lock_guard hold(lock_);
    endpoints_[*office].attempts.erase(CallId{*call});
  }
  if (ended)
    return core_.ended({*office, CallId{*call}, static_cast<int>(*cause), text_field(message, "note"),
                        load_report(message)});
  core_.answered(*office, CallId{*call}, text_field(message, "description"));
}

void Front::register_endpoint(const ConnectionPtr& from, const Json& message) {
  const std::string name = text_field(message, "centrale");
  const auto id = net::parse_office_name(name);
  const double place = number_field(message, "place").value_or(0.0);
  const double capacity = number_field(message, "capacity").value_or(1.0);
  const double started = number_field(message, "started_ms").value_or(0.0);
  if (!id || place < 0.0 || place > 65535.0 || capacity <= 0.0 || started < 0.0 || started > 9.0e12) {
    from->send(error_message("bad-message"));
    return;
  }
  if (list_.named_elsewhere(core::Source::registered, *id)) {
    from->send(error_message("duplicate-id"));
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
    Endpoint& endpoint = endpoints_[*id];
    const ConnectionPtr before = endpoint.connection.lock();
    if ((before && before != from && !before->over()) || (from->endpoint && from->endpoint != id)) {
      from->send(error_message("duplicate-id"));
      return;
    }
    endpoint.entry = entry;
    endpoint.connection = from;
    from->endpoint = id;
    from->send(R"({"type":"registered","centrale":)" + quoted(name) + "}");
    for (const std::string& line : std::exchange(endpoint.owed_messages, {})) from->send(line);
  }
  list_.told(core::Source::registered, false, {entry});
}

// A client's calls go on; an endpoint's set-ups in the air broke, and it gets nothing new until it is back.
void Front::endpoint_lost(const ConnectionPtr& connection) {
  std::map<CallId, std::uint32_t> out;
  core::OfficeEntry entry;
  {
    const std::lock_guard hold(lock_);
    if (!connection->endpoint) return;
    Endpoint& endpoint = endpoints_[*connection->endpoint];
    if (endpoint.connection.lock() != connection) return;
    endpoint.connection.reset();
    out.swap(endpoint.attempts);
    if (endpoint.entry.entry.state == ServerState::ready) endpoint.entry.entry.state = ServerState::draining;
    entry = endpoint.entry;
  }
  list_.told(core::Source::registered, false, {entry});
  for (const auto& [call, attempt] : out) core_.send_failed(call, attempt, Ending::reset);
  // No connection owns a standing call; but an endpoint that stays away holds none any more.
  core_.at(net::now() + kAway, [this, entry]() mutable {
    {
      const std::lock_guard hold(lock_);
      const auto found = endpoints_.find(entry.entry.server);
      if (found == endpoints_.end() || found->second.connection.lock()) return;
      endpoints_.erase(found);
    }
    entry.entry.state = ServerState::gone;
    list_.told(core::Source::registered, false, {entry});
  });
}

// The first byte counts for drains, so all is checked again as the set-up leaves the queue.
bool Front::may_leave(const core::SetUp& set_up, std::int64_t told_ms, std::string& message) {
  {
    const std::lock_guard hold(lock_);
    Endpoint& endpoint = endpoints_[set_up.office];
    const auto found = endpoint.attempts.find(set_up.call);
    if (found == endpoint.attempts.end() || found->second != set_up.attempt) return false;
    const std::int64_t left_ms = whole_ms_left(set_up.give_up);
    if (endpoint.entry.entry.state == ServerState::ready && left_ms > 0) {
      if (left_ms < told_ms) message = text_frame(set_up_message(set_up, left_ms));
      core_.attempt_left();
      return true;
    }
    endpoint.attempts.erase(found);
  }
  core_.send_failed(set_up.call, set_up.attempt, Ending::not_sent);
  return false;
}

std::string Front::set_up_message(const core::SetUp& set_up, std::int64_t left_ms) const {
  const auto& names = setup_.class_names;
  return R"({"type":"set-up","call":")" + id_text(set_up.call) + R"(","class":)" +
         quoted(set_up.call_class < names.size() ? names[set_up.call_class] : "") + R"(,"number":")" +
         net::hex16(static_cast<std::uint64_t>(set_up.number)) + R"(","left_ms":)" + std::to_string(left_ms) +
         ",\"description\":" + quoted(set_up.description) + "}";
}

void Front::start(const core::SetUp& set_up) {
  const std::int64_t left_ms = whole_ms_left(set_up.give_up);
  const std::string line = set_up_message(set_up, left_ms);
  const std::lock_guard hold(lock_);
  Endpoint& endpoint = endpoints_[set_up.office];
  endpoint.attempts[set_up.call] = set_up.attempt;
  const ConnectionPtr connection = endpoint.connection.lock();
  const auto leaves = [this, set_up, left_ms](std::string& message) {
    return may_leave(set_up, left_ms, message);
  };
  if (connection && connection->send(line, leaves)) return;
  endpoint.attempts.erase(set_up.call);
  core_.send_failed(set_up.call, set_up.attempt, Ending::connect_failed);
}

void Front::give_up(ServerId office, CallId call, std::uint32_t /*attempt*/) {
  const std::lock_guard hold(lock_);
  Endpoint& endpoint = endpoints_[office];
  const bool was_out = endpoint.attempts.erase(call) > 0;
  const ConnectionPtr connection = endpoint.connection.lock();
  if (!was_out || !connection) return;
  // A peer that does not read would get this too late: closing gives up what is open there at once.
  if (connection->behind()) return connection->cut();
  connection->send(R"({"type":"give-up","call":")" + id_text(call) + "\"}");
}

void Front::release(ServerId office, CallId call) {
  const std::string line = R"({"type":"release","call":")" + id_text(call) + R"(","cause":16})";
  const std::lock_guard hold(lock_);
  Endpoint& endpoint = endpoints_[office];
  const ConnectionPtr connection = endpoint.connection.lock();
  if (!connection || !connection->send(line)) endpoint.owed_messages.push_back(line);
}

}  // namespace reeltack::ws
