#include "standin/trunk_connection.h"

#include <algorithm>
#include <chrono>

#include "standin/sockets.h"

namespace reeltack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Duration kRetryAfter = std::chrono::milliseconds(100);

}  // namespace

TrunkConnection::TrunkConnection(asio::io_context& io, std::optional<base::Address> connect_to,
                                 const std::optional<base::Address>& listen_on, TrunkConnectionOwner& owner)
    : io_(io), connect_to_(std::move(connect_to)), owner_(owner), acceptor_(io), retry_(io), delayed_(io) {
  if (listen_on) {
    listen(acceptor_, *listen_on);
    accept();
  } else {
    connect();
  }
}

void TrunkConnection::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error) return;
    if (pipe_) drop();
    begin(std::move(socket));
    accept();
  });
}

void TrunkConnection::connect() {
  auto socket = std::make_shared<tcp::socket>(io_);
  socket->async_connect(endpoint(*connect_to_), [this, socket, id = ids_](const error_code& error) {
    if (id != ids_) return;  // dropped meanwhile
    error ? connect_again() : begin(std::move(*socket));
  });
}

void TrunkConnection::connect_again() {
  if (!connect_to_) return;
  retry_.expires_after(kRetryAfter);
  retry_.async_wait([this](const error_code& error) {
    if (!error) connect();
  });
}

void TrunkConnection::begin(tcp::socket socket) {
  const std::uint64_t id = ++ids_;
  pipe_ = std::make_shared<Pipe>(std::move(socket), id);
  greeted_ = false;
  pipe_->write(trunk::encode(owner_.hello()));
  pipe_->begin(
      [this, id](std::string_view bytes, std::optional<Time> /*arrived*/) { return take(id, bytes); },
      [this, id] { ended(id); });
}

void TrunkConnection::ended(std::uint64_t id) {
  if (!pipe_ || id != pipe_->id()) return;
  pipe_.reset();
  waiting_.clear();
  owner_.broken();
  connect_again();
}

void TrunkConnection::drop() {
  ++ids_;
  if (pipe_) pipe_->reset();
  pipe_.reset();
  waiting_.clear();
  owner_.broken();
  connect_again();
}

void TrunkConnection::write(const std::string& bytes) {
  if (pipe_) pipe_->write(bytes);
}

std::size_t TrunkConnection::take(std::uint64_t id, std::string_view bytes) {
  std::size_t taken = 0;
  while (pipe_ && pipe_->id() == id) {
    std::size_t used = 0;
    // What reeltack sends is never malformed: a throw ends the test.
    const auto frame = trunk::decode(bytes.substr(taken), used);
    taken += used;
    if (!frame) return taken;
    if (frame->hello) {
      greeted_ = true;
      owner_.connected();
    } else if (frame->signal && greeted_) {
      queue(*frame->signal);
    }
  }
  return Pipe::kBroken;
}

void TrunkConnection::queue(const trunk::Signal& signal) {
  waiting_.emplace_back(base::now() + delay_, signal);
  if (delay_ <= Duration{}) return deliver_due();
  if (waiting_.size() == 1) wait_for_first();
}

void TrunkConnection::wait_for_first() {
  delayed_.expires_after(std::max<Duration>(waiting_.front().first - base::now(), Duration{}));
  delayed_.async_wait([this, id = ids_](const error_code& error) {
    if (!error && id == ids_) deliver_due();
  });
}

void TrunkConnection::deliver_due() {
  while (!waiting_.empty() && waiting_.front().first <= base::now()) {
    const trunk::Signal signal = std::move(waiting_.front().second);
    waiting_.pop_front();
    if (!owner_.received(signal)) return drop();
  }
  if (!waiting_.empty()) wait_for_first();
}

}  // namespace reeltack::standin
