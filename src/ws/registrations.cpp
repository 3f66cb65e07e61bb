// Registration of endpoints, loss of their connections, and their return or removal.
#include "ws/connection.h"
#include "ws/messages.h"

namespace reeltack::ws {
namespace {

using namespace std::chrono_literals;
using net::Json;
using net::quoted;

// An endpoint that has no connection for this long has lost its calls.
constexpr Duration kReconnectTimeout = 6s;
// The same where its silence has ended the connection: it has been out of reach for some seconds already.
constexpr Duration kReturnAfterSilence = 2s;
// Bound on the events needed to read a closed connection to its end: more than a receive buffer can hold.
constexpr int kMaxEvents = 4096;

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
  read_previous_to_end(*id, from);
  if (!bind_connection(from, name, entry)) {
    from->send(error_message("duplicate-id"));
    return;
  }
  list_.update(core::Source::registered, false, {entry});
}

bool Frontend::bind_connection(const ConnectionPtr& from, const std::string& name,
                               const core::OfficeEntry& entry) {
  const ServerId id = entry.entry.server;
  const std::lock_guard hold(lock_);
  const ConnectionPtr before = connection_of(id);
  if ((before && before != from) || (from->endpoint && from->endpoint != id)) return false;
  Endpoint& endpoint = endpoints_[id];
  endpoint.entry = entry;
  endpoint.connection = from;
  from->endpoint = id;
  from->mark_registered();
  if (endpoint.calls_established) from->set_calls_established(true);
  from->send(R"({"type":"registered","centrale":)" + quoted(name) + "}");
  for (auto& [call, release] : std::exchange(endpoint.pending_releases, {}))
    send_release(endpoint, call, release);
  return true;
}

// The endpoint registers on a new connection while the end of the previous one may be in the kernel, not yet
// handled by the loop: that one is read to its end first, because its messages are older. Runs on the loop's
// thread, like every event.
void Frontend::read_previous_to_end(ServerId id, const ConnectionPtr& registering) {
  for (int events = 0; events < kMaxEvents; ++events) {
    ConnectionPtr before;
    {
      const std::lock_guard hold(lock_);
      before = connection_of(id);
    }
    if (!before || before == registering || before->accepts_output()) return;
    before->handle_event(true);
  }
}

void Frontend::keep_connection(ServerId office, bool calls_established) {
  const std::lock_guard hold(lock_);
  const auto found = endpoints_.find(office);
  if (found == endpoints_.end()) return;
  found->second.calls_established = calls_established;
  if (const ConnectionPtr connection = found->second.connection.lock())
    connection->set_calls_established(calls_established);
}

Frontend::ConnectionPtr Frontend::connection_of(ServerId id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : found->second.connection.lock();
}

// A client's calls go on. An endpoint's unanswered set-ups have failed, and it gets no new ones until it
// returns.
void Frontend::endpoint_lost(const ConnectionPtr& connection) {
  std::map<CallId, membership::OpenAttempt> attempts;
  core::OfficeEntry entry;
  const Time remove_at = net::now() + (connection->was_silent() ? kReturnAfterSilence : kReconnectTimeout);
  {
    const std::lock_guard hold(lock_);
    if (!connection->endpoint) return;
    Endpoint& endpoint = endpoints_[*connection->endpoint];
    if (endpoint.connection.lock() != connection) return;
    endpoint.connection.reset();
    endpoint.remove_at = remove_at;
    attempts.swap(endpoint.attempts);
    if (endpoint.entry.entry.state == ServerState::ready) endpoint.entry.entry.state = ServerState::draining;
    entry = endpoint.entry;
    for (auto& release : endpoint.releases.take_after_disconnect(net::now()))
      endpoint.pending_releases.push_back(std::move(release));
    // The endpoint may have answered, and if the answer was lost it would hold the call for ever.
    for (const auto& [call, attempt] : attempts) {
      if (attempt.is_transmitted()) endpoint.pending_releases.emplace_back(call, release_message(call));
    }
  }
  list_.update(core::Source::registered, false, {entry});
  for (const auto& [call, attempt] : attempts)
    core_.attempt_failed(call, attempt.number(),
                         attempt.is_transmitted() ? AttemptOutcome::reset : AttemptOutcome::not_sent);
  // An established call is not tied to a connection, but an endpoint that does not return has lost its calls.
  core_.run_at(remove_at, [this, id = entry.entry.server, remove_at] { remove_if_due(id, remove_at); });
}

// An endpoint that has returned and was lost again has a later due time.
void Frontend::remove_if_due(ServerId id, Time due) {
  core::OfficeEntry entry;
  {
    const std::lock_guard hold(lock_);
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.connection.lock() || found->second.remove_at != due)
      return;
    entry = found->second.entry;
    endpoints_.erase(found);
  }
  entry.entry.state = ServerState::gone;
  list_.update(core::Source::registered, false, {entry});
}

}  // namespace reeltack::ws
