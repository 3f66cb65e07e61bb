// A connection through the relay: see the header.
#include "standin/between/stream.h"

namespace reeltack::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMostHeld = std::size_t{256} * 1024;  // of one direction, without a throttle

void break_off(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

Stream::Stream(Socket dialler, LinkFaults& forward, LinkFaults& backward, Later& later)
    : dialler_(std::move(dialler)),
      target_(dialler_.get_executor()),
      later_(later),
      there_(dialler_, target_, forward),
      back_(target_, dialler_, backward) {
  error_code ignored;
  dialler_.set_option(tcp::no_delay(true), ignored);
}

void Stream::begin(const tcp::endpoint& target) {
  target_.async_connect(target, [self = shared_from_this()](const error_code& error) {
    if (self->over_) return;
    if (error) {  // the dialler hears of it as of a reset, by the way back
      self->back_.heard_end = true;
      self->back_.items.push_back({Item::Kind::reset, Later::now(), {}});
      return self->pump(self->back_);
    }
    error_code ignored;
    self->target_.set_option(tcp::no_delay(true), ignored);
    self->up_ = true;
    self->read(self->there_);
    self->read(self->back_);
  });
}

void Stream::changed() {
  if (over_) return;
  pump(there_);
  pump(back_);
  if (over_ || !up_) return;
  read(there_);
  read(back_);
}

void Stream::reset() {
  if (std::exchange(over_, true)) return;
  break_off(dialler_);
  break_off(target_);
}

void Stream::read(Way& way) {
  const std::size_t size = way.link.piece_size();
  const std::size_t most = way.link.fault().throttle == 0 ? kMostHeld : 2 * size;
  if (over_ || way.reading || way.heard_end || way.done || !way.link.passes() || way.held >= most) return;
  way.reading = true;
  way.in.resize(size);
  way.from.async_read_some(asio::buffer(way.in),
                           [self = shared_from_this(), &way](const error_code& error, std::size_t n) {
                             way.reading = false;
                             if (!self->over_) self->took(way, error, n);
                           });
}

void Stream::took(Way& way, const error_code& error, std::size_t bytes) {
  const LinkFaults::Piece piece = way.link.piece(Later::now(), bytes, way.state);
  if (!error) {
    way.items.push_back({Item::Kind::bytes, piece.due, way.in.substr(0, piece.bytes)});
    way.held += piece.bytes;
    if (piece.reset) {
      way.items.push_back({Item::Kind::reset, piece.due, {}});
      way.link.was_reset();
    }
  } else {
    const bool in_order = error == asio::error::eof && !way.broken;
    way.items.push_back({in_order ? Item::Kind::end : Item::Kind::reset, piece.due, {}});
  }
  way.heard_end = error.failed() || piece.reset;
  pump(way);
  read(way);
}

void Stream::pump(Way& way) {
  while (!over_ && !way.writing && !way.done && !way.items.empty() && way.link.passes()) {
    Item& first = way.items.front();
    if (first.due > Later::now()) {
      if (std::exchange(way.armed, first.due) != first.due)
        later_.at(first.due, [self = shared_from_this(), &way] {
          way.armed = Time::max();
          self->pump(way);
        });
      return;
    }
    const Item item = std::move(first);
    way.items.pop_front();
    if (item.kind == Item::Kind::reset) return reset();
    if (item.kind == Item::Kind::bytes && !item.bytes.empty()) return write(way, item.bytes);
    if (item.kind == Item::Kind::end) {
      error_code ignored;
      way.to.shutdown(tcp::socket::shutdown_send, ignored);
      way.done = true;
      end_if_done();
    }
  }
}

void Stream::write(Way& way, std::string bytes) {
  way.writing = true;
  way.out = std::move(bytes);
  asio::async_write(way.to, asio::buffer(way.out),
                    [self = shared_from_this(), &way](const error_code& error, std::size_t) {
                      way.writing = false;
                      way.held -= way.out.size();
                      if (self->over_) return;
                      // The far side is gone; that is told by the other way, which may be cut.
                      if (error) way.done = self->other(way).broken = true;
                      self->pump(way);
                      self->read(way);
                      self->end_if_done();
                    });
}

void Stream::end_if_done() {
  if (over_ || !there_.done || !back_.done) return;
  over_ = true;
  error_code ignored;
  dialler_.close(ignored);
  target_.close(ignored);
}

}  // namespace reeltack::standin
