// The task of datagrams. Must never wait for a socket that takes nothing.
#include "fleet/link/udp.h"

#include "fleet/link/codec.h"

namespace reeltack::fleet::link {

namespace {
constexpr int kReceiveBuffer = 256 * 1024;                   // what a flood can hold of the kernel's memory
constexpr auto kRoomAwaited = std::chrono::milliseconds(5);  // after a read that failed for want of memory
}  // namespace

UdpTask::UdpTask(TaskContext around)
    : around_(std::move(around)),
      socket_(around_.io),
      pause_(around_.io),
      buffer_(kMaxReceivedDatagramBytes + 1) {}

void UdpTask::open() {
  const asio::ip::udp::endpoint at(address_of(around_.settings.listen), around_.settings.listen.port);
  socket_.open(at.protocol());
  socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
  socket_.non_blocking(true);
  socket_.bind(at);
}

void UdpTask::start() { spawn(around_.io, run()); }

asio::awaitable<void> UdpTask::run() {
  while (socket_.is_open()) {
    asio::error_code error;
    co_await socket_.async_wait(asio::ip::udp::socket::wait_read, with(error));
    if (error) co_return;
    if (drain(around_.settings.max_datagrams_per_read)) continue;
    pause_.expires_after(kRoomAwaited);  // the socket shows as readable all the while
    co_await pause_.async_wait(with(error));
  }
}

bool UdpTask::drain(std::size_t most) {
  for (std::size_t i = 0; i < most && socket_.is_open(); ++i) {
    asio::ip::udp::endpoint from;
    asio::error_code error;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error == asio::error::would_block || error == asio::error::try_again) return true;
    if (error == asio::error::no_buffer_space || error == asio::error::no_memory) return false;
    if (!error) take({buffer_.data(), size});
  }
  return true;
}

void UdpTask::take(std::string_view bytes) {
  count(around_.counters.datagrams_in);
  count(around_.counters.bytes_in, bytes.size());
  CoordinatorEvent event;
  try {
    if (is_push(bytes))
      event = PushReceived{decode_push(bytes)};
    else
      event = MembershipReceived{decode_message(bytes)};
  } catch (const CodecError& error) {
    count(around_.counters.malformed);
    event = Malformed{error.from};
  }
  around_.tell(std::move(event));
}

template <class Sent>
void UdpTask::carry(const Sent& sent) {
  const Endpoint to = way_to(around_.settings, sent.member, sent.to);
  asio::error_code error;
  try {
    const std::string bytes = encode(sent.message);
    socket_.send_to(asio::buffer(bytes), {address_of(to), to.port}, 0, error);
    if (!error) {
      count(around_.counters.datagrams_out);
      count(around_.counters.bytes_out, bytes.size());
      return;
    }
  } catch (const CodecError& broken) {
    around_.say({"fleet_not_encoded", std::string("to=") + to_text(to) + " error=\"" + broken.what() + "\""});
  }
  count(around_.counters.not_sent);  // as if the way had lost it
}

void UdpTask::send(const SendMembership& datagram) { carry(datagram); }
void UdpTask::send(const SendPush& news) { carry(news); }

void UdpTask::close() {
  asio::error_code ignored;
  socket_.close(ignored);
}

}  // namespace reeltack::fleet::link
