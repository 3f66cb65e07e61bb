// A directed pair's relay: see the header.
#include "standin/between/relay.h"

#include <sys/socket.h>

#include <array>
#include <stdexcept>

namespace reeltack::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

constexpr int kBacklog = 1024;
constexpr std::size_t kMostDatagram = std::size_t{64} * 1024;
constexpr int kMostAtOnce = 64;  // datagrams of one pair before the others have their turn

template <typename Endpoint>
Endpoint endpoint(const base::Address& at) {
  return {asio::ip::make_address(at.host), at.port};
}

}  // namespace

Relay::Relay(asio::io_context& io, Later& later, const base::Address& at, const base::Address& target,
             LinkFaults& forward, LinkFaults& backward)
    : later_(later),
      at_(endpoint<tcp::endpoint>(at)),
      target_(endpoint<tcp::endpoint>(target)),
      target_udp_(endpoint<udp::endpoint>(target)),
      forward_(forward),
      backward_(backward),
      datagrams_(io),
      listener_(io),
      filler_(io) {
  try {
    datagrams_.open(udp::v4());
    datagrams_.bind(endpoint<udp::endpoint>(at));
    datagrams_.non_blocking(true);
    open();
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("no relay at " + base::to_text(at) + ": " + error.code().message());
  }
  hear();
  accept();
}

void Relay::open() {
  listener_.open(tcp::v4());
  listener_.set_option(tcp::acceptor::reuse_address(true));
  listener_.bind(at_);
  listener_.listen(kBacklog);
}

void Relay::hear() {
  datagrams_.async_wait(udp::socket::wait_read, [this](const error_code& error) {
    if (error) return;
    take();
    hear();
  });
}

void Relay::take() {
  static thread_local std::array<char, kMostDatagram> buffer;
  for (int i = 0; i < kMostAtOnce; ++i) {
    udp::endpoint from;
    error_code error;
    const std::size_t n = datagrams_.receive_from(asio::buffer(buffer), from, 0, error);
    if (error) return;
    const Time now = Later::now();
    const LinkFaults::Passage passage = forward_.datagram(now, n);
    for (std::size_t c = 0; c < passage.count; ++c) {
      const LinkFaults::Copy& copy = passage.copies.at(c);
      std::string bytes(buffer.data(), n);
      if (copy.due <= now) {
        pass_on(bytes, copy);
        continue;
      }
      later_.at(copy.due, [this, bytes = std::move(bytes), copy, first = c == 0] {
        if (forward_.passes()) return pass_on(bytes, copy);
        if (first) forward_.lost_on_the_way();
      });
    }
  }
}

void Relay::pass_on(const std::string& bytes, const LinkFaults::Copy& copy) {
  std::string out = bytes;
  if (copy.changed) out[*copy.changed] = static_cast<char>(out[*copy.changed] ^ static_cast<char>(copy.mask));
  error_code ignored;  // a datagram that finds no room is lost, as on any wire
  datagrams_.send_to(asio::buffer(out), target_udp_, 0, ignored);
}

void Relay::accept() {
  if (!listener_.is_open() || hanging_ || accepting_) return;
  accepting_ = true;
  listener_.async_accept([this](const error_code& error, tcp::socket socket) {
    accepting_ = false;
    if (error == asio::error::operation_aborted) return accept();
    if (error) return later_.at(Later::now() + std::chrono::milliseconds(10), [this] { accept(); });
    error_code ignored;
    if (filler_at_ && socket.remote_endpoint(ignored) == *filler_at_) {
      filler_at_.reset();
      return accept();
    }
    streams_.remove_if([](const auto& s) { return s->over(); });
    const auto stream = std::make_shared<Stream>(std::move(socket), forward_, backward_, later_);
    forward_.connected();
    if (forward_.fault().reset || backward_.fault().reset) {
      forward_.was_reset();
      stream->reset();
    } else {
      streams_.push_back(stream);
      stream->begin(target_);
    }
    accept();
  });
}

// A backlog of none holds one connection; with it taken, a SYN is dropped and comes again.
void Relay::fill_backlog() {
  error_code ignored;
  listener_.cancel(ignored);
  ::listen(listener_.native_handle(), 0);
  filler_.close(ignored);
  filler_.open(tcp::v4(), ignored);
  filler_.non_blocking(true, ignored);
  filler_.connect(at_, ignored);
  filler_at_ = filler_.local_endpoint(ignored);
}

void Relay::changed() {
  error_code ignored;
  const bool hang = !forward_.passes() || !backward_.passes();
  if (forward_.fault().refuse) {
    listener_.close(ignored);
    filler_.close(ignored);
    hanging_ = false;
  } else {
    const bool fresh = !listener_.is_open();
    if (fresh) open();
    const bool turned = hang != hanging_;
    hanging_ = hang;
    if (hang && (turned || fresh)) fill_backlog();
    if (!hang && turned) {
      filler_.close(ignored);
      ::listen(listener_.native_handle(), kBacklog);
    }
    if (!hang && (turned || fresh)) accept();
  }
  if (forward_.fault().reset || backward_.fault().reset) return reset();
  for (const auto& stream : streams_) stream->changed();
}

void Relay::reset() {
  for (const auto& stream : streams_) {
    if (stream->over()) continue;
    forward_.was_reset();
    stream->reset();
  }
  streams_.clear();
}

}  // namespace reeltack::standin
