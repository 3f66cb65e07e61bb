#include "load/connection.h"

#include <algorithm>
#include <array>

#include "load/plan/draws.h"

namespace reeltack::load {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr std::size_t kStep = std::size_t{64} * 1024;
constexpr Duration kAgainFirst = 50ms;
constexpr Duration kAgainMost = 1s;

}  // namespace

Connection::Connection(Connected& owner, Backlog& backlog, asio::io_context& io, const Target& target,
                       std::uint64_t seed)
    : owner_(owner),
      backlog_(backlog),
      target_(target),
      socket_(io),
      timer_(io),
      seed_(seed),
      again_(kAgainFirst),
      read_(kStep) {}

void Connection::close() {
  closing_ = true;
  error_code ignored;
  timer_.cancel(ignored);
  socket_.close(ignored);
}

void Connection::dial() {
  wire_ = make_wire(target_, seed_ = mix(seed_));
  held_ = 0;
  waiting_ = false;
  error_code error;
  socket_.close(error);
  const tcp::endpoint to(asio::ip::make_address(target_.address.host), target_.address.port);
  socket_.async_connect(to, [this](const error_code& failed) {
    if (closing_) return;
    if (failed) return broke();
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    up_ = true;
    urgent_ = wire_->hello();
    read();
    flush();
    owner_.pump();
  });
}

bool Connection::queue(std::string bytes, TryId id, bool counted) {
  if (!backlog_.take(bytes.size(), !counted)) return false;
  out_.push_back({std::move(bytes), id});
  owner_.mark(*this);
  return true;
}

void Connection::flush() {
  if (!up_ || waiting_) return;
  // Many messages leave in one write; where the socket takes no more, the rest waits for it.
  constexpr std::size_t kMostBuffers = 64;
  for (;;) {
    std::array<asio::const_buffer, kMostBuffers> buffers;
    std::size_t n = 0;
    if (!urgent_.empty() && begun_ == 0) buffers[n++] = asio::buffer(urgent_);
    if (wire_->ready()) {
      for (auto m = out_.begin(); m != out_.end() && n < kMostBuffers; ++m)
        buffers[n++] = m == out_.begin() ? asio::buffer(m->bytes) + begun_ : asio::buffer(m->bytes);
    }
    if (n == 0) return;
    error_code error;
    std::vector<asio::const_buffer> all(buffers.begin(), buffers.begin() + static_cast<std::ptrdiff_t>(n));
    const std::size_t written = socket_.write_some(all, error);
    if (error == asio::error::would_block) {
      waiting_ = true;
      socket_.async_wait(tcp::socket::wait_write, [this](const error_code& failed) {
        if (closing_ || failed) return;
        waiting_ = false;
        flush();
        owner_.pump();
      });
      return;
    }
    if (error) return;  // the reader hears of it
    taken(written);
  }
}

void Connection::taken(std::size_t n) {
  if (begun_ == 0 && !urgent_.empty()) {
    const std::size_t own = std::min(n, urgent_.size());
    urgent_.erase(0, own);
    n -= own;
  }
  while (n > 0) {
    Message& m = out_.front();
    if (begun_ == 0 && m.id != TryId{}) owner_.sent(m.id);
    const std::size_t here = std::min(n, m.bytes.size() - begun_);
    begun_ += here;
    n -= here;
    if (begun_ < m.bytes.size()) return;
    backlog_.give(m.bytes.size());
    out_.pop_front();
    begun_ = 0;
  }
}

void Connection::read() {
  if (read_.size() - held_ < kStep / 2) read_.resize(read_.size() + kStep);
  socket_.async_read_some(asio::buffer(read_.data() + held_, read_.size() - held_),
                          [this](const error_code& error, std::size_t n) {
                            if (closing_) return;
                            owner_.pump();  // an arrival never waits for answers to be read
                            if (error) return broke();
                            held_ += n;
                            std::vector<Said> said;
                            std::string reply;
                            std::size_t used = 0;
                            const bool was_ready = wire_->ready();
                            const bool good = wire_->read({read_.data(), held_}, used, said, reply);
                            std::copy(read_.begin() + static_cast<std::ptrdiff_t>(used),
                                      read_.begin() + static_cast<std::ptrdiff_t>(held_), read_.begin());
                            held_ -= used;
                            if (owner_.started()) {
                              for (const Said& s : said) owner_.said(*this, s);
                            }
                            if (!good) return broke();
                            if (!reply.empty()) queue(std::move(reply), TryId{}, false);
                            if (!was_ready && wire_->ready()) {
                              again_ = kAgainFirst;
                              owner_.mark(*this);
                            }
                            owner_.pump();
                            read();
                          });
}

// The target ended it, or could not be reached: what had begun to leave is lost, the rest goes on the next.
void Connection::broke() {
  const bool was_up = std::exchange(up_, false);
  error_code ignored;
  socket_.close(ignored);
  urgent_.clear();
  std::unordered_set<TryId> waiting;
  if (begun_ > 0) {
    backlog_.give(out_.front().bytes.size());
    out_.pop_front();
    begun_ = 0;
  }
  for (const Message& m : out_) waiting.insert(m.id);
  if (was_up) owner_.broke();
  if (owner_.started()) {
    std::vector<TryId> lost;
    for (const TryId id : awaited_) {
      if (!waiting.contains(id)) lost.push_back(id);
    }
    std::sort(lost.begin(), lost.end());  // the order of a hash table is no order
    for (const TryId id : lost) {
      awaited_.erase(id);
      owner_.lost(id);
      if (target_.kind == Target::Kind::ws)
        queue(wire_->give_up(id), TryId{}, false);  // no socket owns a call
    }
  }
  timer_.expires_after(again_);
  again_ = std::min(again_ * 2, kAgainMost);
  timer_.async_wait([this](const error_code& error) {
    if (!error && !closing_) dial();
  });
  owner_.pump();
}

}  // namespace reeltack::load
