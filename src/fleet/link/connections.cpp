// Accepting, dialling and closing of the link's connections.
#include "fleet/link/connections.h"

#include <algorithm>

#include "fleet/link/codec.h"

namespace reeltack::fleet::link {
namespace {
constexpr int kBacklog = 32;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);  // after a failed accept
}  // namespace

Connections::Connections(TaskContext context)
    : context_(std::move(context)), acceptor_(context_.io), retry_timer_(context_.io) {}

void Connections::open() {
  const asio::ip::tcp::endpoint at(address_of(context_.settings.listen), context_.settings.listen.port);
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  // Without this option asio skips an aborted connection and waits for the next one, even if more are queued.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  acceptor_.bind(at);
  acceptor_.listen(kBacklog);
}

void Connections::start() { spawn(context_.io, run()); }

asio::awaitable<void> Connections::run() {
  while (acceptor_.is_open()) {
    asio::ip::tcp::socket socket(context_.io);
    asio::error_code error;
    co_await acceptor_.async_accept(socket, with(error));
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) co_return;
    if (!error) {
      add_accepted(std::move(socket));
      continue;
    }
    retry_timer_.expires_after(kAcceptRetryDelay);
    co_await retry_timer_.async_wait(with(error));
  }
}

void Connections::add_accepted(asio::ip::tcp::socket socket) {
  asio::error_code error;
  const auto peer = socket.remote_endpoint(error);
  if (error) return;
  const std::uint32_t from = peer.address().to_v4().to_uint();
  std::size_t accepted = 0, from_address = 0;
  for (const auto& [id, entry] : entries_) {
    accepted += entry.accepted ? 1 : 0;
    from_address += entry.accepted && entry.from == from ? 1 : 0;
  }
  const LinkSettings& settings = context_.settings;
  if (entries_.size() >= settings.max_connections || accepted >= settings.max_accepted ||
      from_address >= settings.max_accepted_per_address) {
    count(context_.counters.refused);
    return;  // the socket is closed as it goes out of scope
  }
  count(context_.counters.accepted);
  count(context_.counters.connections);
  const ConnectionId id{next_id_};
  next_id_ += 2;
  const auto connection = std::make_shared<Connection>(context_, id, std::move(socket),
                                                       [this](ConnectionId ended_id) { remove(ended_id); });
  entries_[id] = {connection, from, true};
  connection->start_accepted();
}

void Connections::dial(const Dial& dial) {
  asio::ip::tcp::socket socket(context_.io);
  asio::error_code error = asio::error::no_buffer_space;
  if (entries_.size() < context_.settings.max_connections && entries_.count(dial.id) == 0) {
    socket.open(asio::ip::tcp::v4(), error);
    // Bound to our listening address, so that the peer counts the connection against our address.
    if (!error) socket.bind({address_of(context_.settings.listen), 0}, error);
  }
  if (error) {
    count(context_.counters.refused);
    asio::post(context_.io, [report = context_.report_event, id = dial.id] { report(Closed{id}); });
    return;
  }
  count(context_.counters.dialled);
  count(context_.counters.connections);
  const auto connection = std::make_shared<Connection>(context_, dial.id, std::move(socket),
                                                       [this](ConnectionId ended_id) { remove(ended_id); });
  entries_[dial.id] = {connection, 0, false};
  connection->dial(route_to(context_.settings, dial.member, dial.to), dial.member);
}

void Connections::send(const SendExchange& send) {
  const auto connection = find(send.id);
  if (!connection) return;
  std::string frame;
  try {
    frame = encode(send.exchange);
  } catch (const CodecError& broken) {
    context_.write_log({"fleet_not_encoded", std::string("error=\"") + broken.what() + "\""});
    connection->end();
    return;
  }
  connection->send(std::move(frame));
}

void Connections::hang_up(ConnectionId id) {
  if (const auto connection = find(id)) connection->hang_up();
}

void Connections::leave(std::function<void()> on_empty) {
  on_empty_ = std::move(on_empty);
  asio::error_code ignored;
  acceptor_.close(ignored);
  const auto entries = entries_;  // a copy: hang_up() may remove entries
  for (const auto& [id, entry] : entries) entry.connection->hang_up();
  if (entries_.empty()) on_empty_();
}

void Connections::close() {
  asio::error_code ignored;
  acceptor_.close(ignored);
  const auto entries = entries_;  // a copy: end() may remove entries
  for (const auto& [id, entry] : entries) entry.connection->end(false);
}

void Connections::remove(ConnectionId id) {
  if (entries_.erase(id) == 0) return;
  context_.counters.connections.fetch_sub(1, std::memory_order_relaxed);
  if (entries_.empty() && on_empty_) on_empty_();
}

std::shared_ptr<Connection> Connections::find(ConnectionId id) const {
  const auto entry = entries_.find(id);
  return entry == entries_.end() ? nullptr : entry->second.connection;
}

}  // namespace reeltack::fleet::link
