// The connections of the link. Must never accept or dial beyond the bounds.
#include "fleet/link/connections.h"

#include <algorithm>

#include "fleet/link/codec.h"

namespace reeltack::fleet::link {
namespace {
constexpr int kBacklog = 32;
constexpr auto kPause = std::chrono::milliseconds(50);  // after an accept that failed
}  // namespace

Connections::Connections(TaskContext around)
    : around_(std::move(around)), acceptor_(around_.io), pause_(around_.io) {}

void Connections::open() {
  const asio::ip::tcp::endpoint at(address_of(around_.settings.listen), around_.settings.listen.port);
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  // Else asio waits for the next connection after one that was aborted, whoever else is in the queue.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  acceptor_.bind(at);
  acceptor_.listen(kBacklog);
}

void Connections::start() { spawn(around_.io, run()); }

asio::awaitable<void> Connections::run() {
  while (acceptor_.is_open()) {
    asio::ip::tcp::socket socket(around_.io);
    asio::error_code error;
    co_await acceptor_.async_accept(socket, with(error));
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) co_return;
    if (!error) {
      take(std::move(socket));
      continue;
    }
    pause_.expires_after(kPause);
    co_await pause_.async_wait(with(error));
  }
}

void Connections::take(asio::ip::tcp::socket socket) {
  asio::error_code error;
  const auto peer = socket.remote_endpoint(error);
  if (error) return;
  const std::uint32_t from = peer.address().to_v4().to_uint();
  std::size_t accepted = 0, of_address = 0;
  for (const auto& [id, line] : lines_) {
    accepted += line.accepted ? 1 : 0;
    of_address += line.accepted && line.from == from ? 1 : 0;
  }
  const LinkSettings& s = around_.settings;
  if (lines_.size() >= s.most_connections || accepted >= s.max_accepted ||
      of_address >= s.max_accepted_per_address) {
    count(around_.counters.refused);
    return;  // closed as it goes out of scope
  }
  count(around_.counters.accepted);
  count(around_.counters.connections);
  const ConnectionId id{next_};
  next_ += 2;
  const auto connection = std::make_shared<Connection>(around_, id, std::move(socket),
                                                       [this](ConnectionId over) { ended(over); });
  lines_[id] = {connection, from, true};
  connection->accepted();
}

void Connections::dial(const Dial& dial) {
  asio::ip::tcp::socket socket(around_.io);
  asio::error_code error = asio::error::no_buffer_space;
  if (lines_.size() < around_.settings.most_connections && lines_.count(dial.id) == 0) {
    socket.open(asio::ip::tcp::v4(), error);
    // From the own address, so that the peer's bound for each address counts it as ours.
    if (!error) socket.bind({address_of(around_.settings.listen), 0}, error);
  }
  if (error) {
    count(around_.counters.refused);
    asio::post(around_.io, [tell = around_.tell, id = dial.id] { tell(Closed{id}); });
    return;
  }
  count(around_.counters.dialled);
  count(around_.counters.connections);
  const auto connection = std::make_shared<Connection>(around_, dial.id, std::move(socket),
                                                       [this](ConnectionId over) { ended(over); });
  lines_[dial.id] = {connection, 0, false};
  connection->dial(way_to(around_.settings, dial.member, dial.to), dial.member);
}

void Connections::send(const SendExchange& send) {
  const auto connection = find(send.id);
  if (!connection) return;
  std::string frame;
  try {
    frame = encode(send.exchange);
  } catch (const CodecError& broken) {
    around_.say({"fleet_not_encoded", std::string("error=\"") + broken.what() + "\""});
    connection->end();
    return;
  }
  connection->send(std::move(frame));
}

void Connections::hang_up(ConnectionId id) {
  if (const auto connection = find(id)) connection->hang_up();
}

void Connections::leave(std::function<void()> done) {
  done_ = std::move(done);
  asio::error_code ignored;
  acceptor_.close(ignored);
  const auto lines = lines_;  // hanging up may end some
  for (const auto& [id, line] : lines) line.connection->hang_up();
  if (lines_.empty()) done_();
}

void Connections::close() {
  asio::error_code ignored;
  acceptor_.close(ignored);
  const auto lines = lines_;
  for (const auto& [id, line] : lines) line.connection->end(false);
}

void Connections::ended(ConnectionId id) {
  if (lines_.erase(id) == 0) return;
  around_.counters.connections.fetch_sub(1, std::memory_order_relaxed);
  if (lines_.empty() && done_) done_();
}

std::shared_ptr<Connection> Connections::find(ConnectionId id) const {
  const auto line = lines_.find(id);
  return line == lines_.end() ? nullptr : line->second.connection;
}

}  // namespace reeltack::fleet::link
