#include "standin/pipe.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>

#include "base/wall_clock.h"

namespace reeltack::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kStep = std::size_t{32} * 1024;

Duration span_of(const timespec& time) {
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// The kernel's stamp is of its wall clock; what counts is how long ago that was.
std::optional<Time> arrival_of(msghdr& message) {
  for (cmsghdr* part = CMSG_FIRSTHDR(&message); part != nullptr; part = CMSG_NXTHDR(&message, part)) {
    if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_TIMESTAMPNS) continue;
    timespec stamped{};
    std::memcpy(&stamped, CMSG_DATA(part), sizeof stamped);
    const clocks::ClockReading now = base::read_clocks();
    const base::WallTime arrived{span_of(stamped)};
    return now.steady - std::max(now.wall - arrived, Duration{});
  }
  return std::nullopt;
}

}  // namespace

Pipe::Pipe(tcp::socket socket, std::uint64_t id) : socket_(std::move(socket)), id_(id) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  const int on = 1;  // where the kernel does not stamp, times are those of reading
  static_cast<void>(::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on));
}

void Pipe::begin(Take take, std::function<void()> ended) {
  take_ = std::move(take);
  ended_ = std::move(ended);
  read();
}

void Pipe::write(const std::string& bytes) {
  out_ += bytes;
  if (!silent_ && !writing_) flush();
}

void Pipe::hold(bool silent) {
  silent_ = silent;
  if (!silent && !writing_ && !out_.empty()) flush();
}

void Pipe::reset() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

void Pipe::read() {
  if (!reading_) return;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
    if (error || !self->read_now()) return self->end();
    self->read();
  });
}

bool Pipe::read_now() {
  if (in_.size() - held_ < kStep / 2) in_.resize(in_.size() + kStep);
  iovec bytes{in_.data() + held_, in_.size() - held_};
  alignas(cmsghdr) std::array<char, 128> control{};
  msghdr message{};
  message.msg_iov = &bytes;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  const ssize_t n = ::recvmsg(socket_.native_handle(), &message, MSG_DONTWAIT);
  if (n < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  if (n == 0) return false;
  held_ += static_cast<std::size_t>(n);
  const std::size_t used = take_(std::string_view(in_).substr(0, held_), arrival_of(message));
  if (used == kBroken) return false;
  in_.erase(0, used);
  held_ -= used;
  return true;
}

void Pipe::flush() {
  writing_ = true;
  sending_.swap(out_);
  asio::async_write(socket_, asio::buffer(sending_),
                    [self = shared_from_this()](const error_code& error, std::size_t) {
                      self->sending_.clear();
                      self->writing_ = false;
                      if (error) return;  // the reader hears of it
                      if (!self->out_.empty() && !self->silent_) self->flush();
                    });
}

void Pipe::end() {
  if (std::exchange(over_, true)) return;
  error_code ignored;
  socket_.close(ignored);
  if (ended_) ended_();
}

}  // namespace reeltack::standin
