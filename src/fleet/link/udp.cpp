// Reading and sending of datagrams on a non-blocking socket.
#include "fleet/link/udp.h"

#include "fleet/link/codec.h"

namespace reeltack::fleet::link {

namespace {
constexpr int kReceiveBuffer = 256 * 1024;  // bounds the kernel memory that a flood can occupy
constexpr auto kMemoryRetryDelay = std::chrono::milliseconds(5);  // after a read failed for lack of memory
}  // namespace

UdpTask::UdpTask(TaskContext context)
    : context_(std::move(context)),
      socket_(context_.io),
      retry_timer_(context_.io),
      buffer_(kMaxReceivedDatagramBytes + 1) {}

void UdpTask::open() {
  const asio::ip::udp::endpoint at(address_of(context_.settings.listen), context_.settings.listen.port);
  socket_.open(at.protocol());
  socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
  socket_.non_blocking(true);
  socket_.bind(at);
}

void UdpTask::start() { spawn(context_.io, run()); }

asio::awaitable<void> UdpTask::run() {
  while (socket_.is_open()) {
    asio::error_code error;
    co_await socket_.async_wait(asio::ip::udp::socket::wait_read, with(error));
    if (error) co_return;
    if (drain(context_.settings.max_datagrams_per_read)) continue;
    retry_timer_.expires_after(kMemoryRetryDelay);  // the socket stays readable, so waiting for it would spin
    co_await retry_timer_.async_wait(with(error));
  }
}

bool UdpTask::drain(std::size_t max) {
  for (std::size_t i = 0; i < max && socket_.is_open(); ++i) {
    asio::ip::udp::endpoint from;
    asio::error_code error;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error == asio::error::would_block || error == asio::error::try_again) return true;
    if (error == asio::error::no_buffer_space || error == asio::error::no_memory) return false;
    if (!error) handle({buffer_.data(), size});
  }
  return true;
}

void UdpTask::handle(std::string_view bytes) {
  count(context_.counters.datagrams_in);
  count(context_.counters.bytes_in, bytes.size());
  CoordinatorEvent event;
  try {
    if (is_push(bytes))
      event = PushReceived{decode_push(bytes)};
    else
      event = MembershipReceived{decode_message(bytes)};
  } catch (const CodecError& error) {
    count(context_.counters.malformed);
    event = Malformed{error.from};
  }
  context_.report_event(std::move(event));
}

template <class Datagram>
void UdpTask::send_encoded(const Datagram& datagram) {
  const Endpoint to = route_to(context_.settings, datagram.member, datagram.to);
  asio::error_code error;
  try {
    const std::string bytes = encode(datagram.message);
    socket_.send_to(asio::buffer(bytes), {address_of(to), to.port}, 0, error);
    if (!error) {
      count(context_.counters.datagrams_out);
      count(context_.counters.bytes_out, bytes.size());
      return;
    }
  } catch (const CodecError& broken) {
    context_.write_log(
        {"fleet_not_encoded", std::string("to=") + to_text(to) + " error=\"" + broken.what() + "\""});
  }
  count(context_.counters.not_sent);  // like a datagram lost on the network
}

void UdpTask::send(const SendMembership& message) { send_encoded(message); }
void UdpTask::send(const SendPush& push) { send_encoded(push); }

void UdpTask::close() {
  asio::error_code ignored;
  socket_.close(ignored);
}

}  // namespace reeltack::fleet::link
