// Endpoints that register on the front, lose their connection, and come back or stay away.
#include "ws/connection.h"
#include "ws/messages.h"

namespace reeltack::ws {
namespace {

using namespace std::chrono_literals;
using net::Json;
using net::quoted;

constexpr Duration kAway = 6s;  // an endpoint without a connection for so long has lost its calls
// Turns in which a connection whose end the kernel holds is read to that end: more than a receive buffer has.
constexpr int kMostTurns = 4096;

}  // namespace

bool Frontend::owns(ServerId office) {
  const std::lock_guard hold(lock_);
  return endpoints_.contains(office);
}

void Frontend::register_endpoint(const ConnectionPtr& from, const Json& message) {
  const std::string name = text_field(message, "centrale");
  const auto id = net::parse_office_name(name);
  const double place = number_field(message, "place").value_or(0.0);
  const double capacity = number_field(message, "capacity").value_or(1.0);
  const double started = number_field(message, "started_ms").value_or(0.0);
  if (!id || place < 0.0 || place > 65535.0 || capacity <= 0.0 || started < 0.0 || started > 9.0e12) {
    from->send(error_message("bad-message"));
    return;
  }
  if (list_.listed_by_other_source(core::Source::registered, *id)) {
    from->send(error_message("duplicate-id"));
    return;
  }
  core::OfficeEntry entry;
  entry.entry = {.server = *id,
                 .place = static_cast<std::uint32_t>(place),
                 .capacity = capacity,
                 .start = StartId{static_cast<std::uint64_t>(started)}};
  entry.address = "registered";
  notice_end(*id, from);
  if (!bind(from, name, entry)) {
    from->send(error_message("duplicate-id"));
    return;
  }
  list_.told(core::Source::registered, false, {entry});
}

bool Frontend::bind(const ConnectionPtr& from, const std::string& name, const core::OfficeEntry& entry) {
  const ServerId id = entry.entry.server;
  const std::lock_guard hold(lock_);
  const ConnectionPtr before = connection_of(id);
  if ((before && before != from) || (from->endpoint && from->endpoint != id)) return false;
  Endpoint& endpoint = endpoints_[id];
  endpoint.entry = entry;
  endpoint.connection = from;
  from->endpoint = id;
  from->send(R"({"type":"registered","centrale":)" + quoted(name) + "}");
  for (auto& [call, release] : std::exchange(endpoint.owed, {})) send_release(endpoint, call, release);
  return true;
}

// The endpoint registers on a new connection, and the kernel may hold the end of the one before, which the
// loop has not come to: that is read to its end first, for what lies there was said before. On the loop's
// thread, as every turn.
void Frontend::notice_end(ServerId id, const ConnectionPtr& registering) {
  for (int turns = 0; turns < kMostTurns; ++turns) {
    ConnectionPtr before;
    {
      const std::lock_guard hold(lock_);
      before = connection_of(id);
    }
    if (!before || before == registering || before->accepts_output()) return;
    before->handle_event(true);
  }
}

Frontend::ConnectionPtr Frontend::connection_of(ServerId id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : found->second.connection.lock();
}

// A client's calls go on; an endpoint's set-ups in the air broke, and it gets nothing new until it is back.
void Frontend::endpoint_lost(const ConnectionPtr& connection) {
  std::map<CallId, Attempt> attempts;
  core::OfficeEntry entry;
  {
    const std::lock_guard hold(lock_);
    if (!connection->endpoint) return;
    Endpoint& endpoint = endpoints_[*connection->endpoint];
    if (endpoint.connection.lock() != connection) return;
    endpoint.connection.reset();
    attempts.swap(endpoint.attempts);
    if (endpoint.entry.entry.state == ServerState::ready) endpoint.entry.entry.state = ServerState::draining;
    entry = endpoint.entry;
    for (auto& release : endpoint.releases.ended(net::now())) endpoint.owed.push_back(std::move(release));
    // It may have answered, and the answer be lost: then it would hold the call for ever.
    for (const auto& [call, attempt] : attempts) {
      if (attempt.left) endpoint.owed.emplace_back(call, release_message(call));
    }
  }
  list_.told(core::Source::registered, false, {entry});
  for (const auto& [call, attempt] : attempts)
    core_.attempt_failed(call, attempt.number,
                         attempt.left ? AttemptOutcome::reset : AttemptOutcome::not_sent);
  // No connection owns a standing call; but an endpoint that stays away holds none any more.
  core_.at(net::now() + kAway, [this, entry] { forget_if_away(entry); });
}

void Frontend::forget_if_away(core::OfficeEntry entry) {
  {
    const std::lock_guard hold(lock_);
    const auto found = endpoints_.find(entry.entry.server);
    if (found == endpoints_.end() || found->second.connection.lock()) return;
    endpoints_.erase(found);
  }
  entry.entry.state = ServerState::gone;
  list_.told(core::Source::registered, false, {entry});
}

}  // namespace reeltack::ws
