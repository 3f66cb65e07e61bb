// The task of one connection. Must never wait beyond its deadline.
#include "fleet/link/connection.h"

#include <array>

#include "fleet/link/codec.h"

namespace reeltack::fleet::link {

Connection::Connection(TaskContext around, ConnectionId id, asio::ip::tcp::socket socket, Ended ended)
    : around_(std::move(around)),
      id_(id),
      socket_(std::move(socket)),
      timer_(around_.io),
      ended_(std::move(ended)) {}

void Connection::dial(Endpoint to, MemberId member) {
  member_ = member;
  limit(around_.settings.dial_timeout);
  start(to);
}

void Connection::accepted() {
  limit(around_.settings.idle_timeout);
  start(std::nullopt);
}

void Connection::start(std::optional<Endpoint> to) {
  spawn(around_.io, run(shared_from_this(), to));
  spawn(around_.io, watch(shared_from_this()));
}

asio::awaitable<void> Connection::run(Self, std::optional<Endpoint> to) {
  asio::error_code error;
  if (to) {
    const asio::ip::tcp::endpoint at(address_of(*to), to->port);
    co_await socket_.async_connect(at, with(error));
    if (error) end();
    if (over_) co_return;
    limit(around_.settings.idle_timeout);
  }
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  up_ = true;
  if (to)
    around_.tell(Opened{id_, member_});
  else
    around_.tell(Accepted{id_});
  for (bool more = true; more && !over_;) more = co_await read_frame();
  end();
}

asio::awaitable<bool> Connection::read_frame() {
  std::array<char, kFrameLengthBytes> length{};
  asio::error_code error;
  co_await asio::async_read(socket_, asio::buffer(length), with(error));
  if (error || over_) co_return false;
  try {
    body_.resize(frame_length({length.data(), length.size()}));
  } catch (const CodecError&) {
    co_return malformed(std::nullopt);
  }
  co_await asio::async_read(socket_, asio::buffer(body_), with(error));
  if (error || over_) co_return false;
  if (hanging_) co_return true;  // what still comes is read and dropped, so that our last words arrive
  count(around_.counters.frames_in);
  count(around_.counters.frame_bytes_in, kFrameLengthBytes + body_.size());
  if (++frames_ > around_.settings.max_frames) co_return malformed(std::nullopt);
  limit(around_.settings.idle_timeout);
  std::optional<MemberId> who;
  try {
    ExchangeReceived said{id_, decode_exchange(body_)};
    around_.tell(std::move(said));
    co_return true;
  } catch (const CodecError& broken) {
    who = broken.from;
  }
  co_return malformed(who);
}

bool Connection::malformed(std::optional<MemberId> who) {
  count(around_.counters.malformed);
  if (!hanging_) around_.tell(Malformed{member_ != MemberId{} ? member_ : who});
  return false;
}

void Connection::send(std::string frame) {
  if (over_ || hanging_) return;
  if (!up_ || queued_ + frame.size() > around_.settings.max_queued_bytes) {
    count(around_.counters.overflowed);
    end();
    return;
  }
  queued_ += frame.size();
  out_.push_back(std::move(frame));
  if (writing_) return;
  writing_ = true;
  spawn(around_.io, write(shared_from_this()));
}

asio::awaitable<void> Connection::write(Self) {
  while (!over_ && !out_.empty()) {
    asio::error_code error;
    co_await asio::async_write(socket_, asio::buffer(out_.front()), with(error));
    if (error) {
      end();
      break;
    }
    count(around_.counters.frames_out);
    count(around_.counters.frame_bytes_out, out_.front().size());
    queued_ -= out_.front().size();
    out_.pop_front();
  }
  writing_ = false;
  if (hanging_) shut();
}

void Connection::hang_up() {
  if (over_ || hanging_) return;
  hanging_ = true;
  if (!up_) {
    end(false);
    return;
  }
  limit(around_.settings.hang_up_timeout);
  if (!writing_) shut();
}

void Connection::shut() {
  asio::error_code ignored;
  if (!over_) socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void Connection::limit(Duration from_now) {
  deadline_ = Clock::now() + from_now;
  if (deadline_ < armed_) timer_.cancel();  // the watch waits for too late a time
}

asio::awaitable<void> Connection::watch(Self) {
  while (!over_) {
    armed_ = deadline_;
    timer_.expires_at(armed_);
    asio::error_code error;
    co_await timer_.async_wait(with(error));
    if (!over_ && Clock::now() >= deadline_) end();
  }
}

void Connection::end(bool told) {
  if (over_) return;
  over_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  ended_(id_);
  if (told && !hanging_) around_.tell(Closed{id_});
}

}  // namespace reeltack::fleet::link
