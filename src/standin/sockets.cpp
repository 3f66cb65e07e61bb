#include "standin/sockets.h"

#include <memory>
#include <stdexcept>

namespace reeltack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kWaiting = 4096;

tcp::endpoint endpoint(const base::Address& at) { return {asio::ip::make_address(at.host), at.port}; }

void listen(tcp::acceptor& acceptor, const base::Address& at) {
  const tcp::endpoint to = endpoint(at);
  try {
    acceptor.open(to.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(to);
    acceptor.listen(kWaiting);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot listen on " + base::to_text(at) + ": " + error.code().message());
  }
}

void later(asio::io_context& io, Duration span, std::function<void()> task) {
  auto timer = std::make_shared<asio::steady_timer>(io);
  timer->expires_after(span);
  timer->async_wait([timer, task = std::move(task)](const boost::system::error_code& error) {
    if (!error) task();
  });
}

}  // namespace reeltack::standin
