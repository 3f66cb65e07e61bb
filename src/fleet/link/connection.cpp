// The coroutines of one connection.
#include "fleet/link/connection.h"

#include <array>

#include "fleet/link/codec.h"

namespace reeltack::fleet::link {

Connection::Connection(TaskContext context, ConnectionId id, asio::ip::tcp::socket socket, OnEnded on_ended)
    : context_(std::move(context)),
      id_(id),
      socket_(std::move(socket)),
      timer_(context_.io),
      on_ended_(std::move(on_ended)) {}

void Connection::dial(Endpoint to, MemberId member) {
  member_ = member;
  set_deadline(context_.settings.dial_timeout);
  start(to);
}

void Connection::start_accepted() {
  set_deadline(context_.settings.idle_timeout);
  start(std::nullopt);
}

void Connection::start(std::optional<Endpoint> to) {
  spawn(context_.io, run(shared_from_this(), to));
  spawn(context_.io, enforce_deadline(shared_from_this()));
}

asio::awaitable<void> Connection::run(Self, std::optional<Endpoint> to) {
  asio::error_code error;
  if (to) {
    const asio::ip::tcp::endpoint at(address_of(*to), to->port);
    co_await socket_.async_connect(at, with(error));
    if (error) end();
    if (ended_) co_return;
    set_deadline(context_.settings.idle_timeout);
  }
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  established_ = true;
  if (to)
    context_.report_event(Opened{id_, member_});
  else
    context_.report_event(Accepted{id_});
  for (bool more = true; more && !ended_;) more = co_await read_frame();
  end();
}

asio::awaitable<bool> Connection::read_frame() {
  std::array<char, kFrameLengthBytes> length{};
  asio::error_code error;
  co_await asio::async_read(socket_, asio::buffer(length), with(error));
  if (error || ended_) co_return false;
  try {
    body_.resize(frame_length({length.data(), length.size()}));
  } catch (const CodecError&) {
    co_return malformed(std::nullopt);
  }
  co_await asio::async_read(socket_, asio::buffer(body_), with(error));
  if (error || ended_) co_return false;
  // Drains the input: closing with unread data would reset the connection and lose the last frames sent.
  if (hanging_up_) co_return true;
  count(context_.counters.frames_in);
  count(context_.counters.frame_bytes_in, kFrameLengthBytes + body_.size());
  if (++frames_ > context_.settings.max_frames) co_return malformed(std::nullopt);
  set_deadline(context_.settings.idle_timeout);
  std::optional<MemberId> sender;
  try {
    ExchangeReceived received{id_, decode_exchange(body_)};
    context_.report_event(std::move(received));
    co_return true;
  } catch (const CodecError& broken) {
    sender = broken.from;
  }
  co_return malformed(sender);
}

bool Connection::malformed(std::optional<MemberId> sender) {
  count(context_.counters.malformed);
  if (!hanging_up_) context_.report_event(Malformed{member_ != MemberId{} ? member_ : sender});
  return false;
}

void Connection::send(std::string frame) {
  if (ended_ || hanging_up_) return;
  if (!established_ || queued_bytes_ + frame.size() > context_.settings.max_queued_bytes) {
    count(context_.counters.overflowed);
    end();
    return;
  }
  queued_bytes_ += frame.size();
  outgoing_.push_back(std::move(frame));
  if (writing_) return;
  writing_ = true;
  spawn(context_.io, write(shared_from_this()));
}

asio::awaitable<void> Connection::write(Self) {
  while (!ended_ && !outgoing_.empty()) {
    asio::error_code error;
    co_await asio::async_write(socket_, asio::buffer(outgoing_.front()), with(error));
    if (error) {
      end();
      break;
    }
    count(context_.counters.frames_out);
    count(context_.counters.frame_bytes_out, outgoing_.front().size());
    queued_bytes_ -= outgoing_.front().size();
    outgoing_.pop_front();
  }
  writing_ = false;
  if (hanging_up_) shut_down_sending();
}

void Connection::hang_up() {
  if (ended_ || hanging_up_) return;
  hanging_up_ = true;
  if (!established_) {
    end(false);
    return;
  }
  set_deadline(context_.settings.hang_up_timeout);
  if (!writing_) shut_down_sending();
}

void Connection::shut_down_sending() {
  asio::error_code ignored;
  if (!ended_) socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void Connection::set_deadline(Duration from_now) {
  deadline_ = Clock::now() + from_now;
  if (deadline_ < armed_) timer_.cancel();  // enforce_deadline() waits for a later time
}

asio::awaitable<void> Connection::enforce_deadline(Self) {
  while (!ended_) {
    armed_ = deadline_;
    timer_.expires_at(armed_);
    asio::error_code error;
    co_await timer_.async_wait(with(error));
    if (!ended_ && Clock::now() >= deadline_) end();
  }
}

void Connection::end(bool report) {
  if (ended_) return;
  ended_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  on_ended_(id_);
  if (report && !hanging_up_) context_.report_event(Closed{id_});
}

}  // namespace reeltack::fleet::link
