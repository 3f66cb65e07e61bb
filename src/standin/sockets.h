// What each stand-in does with its sockets and its clock in the same way.
//
// Owns: nothing.
// Must never: read or write a message.
//
// On the thread of the io_context. Errors: std::runtime_error that names the address.
#pragma once

#include <functional>

#include "base/asio.h"
#include "base/base.h"

namespace reeltack::standin {

boost::asio::ip::tcp::endpoint endpoint(const base::Address& at);
// Opens, binds and listens; the address may be in a wait of its last owner.
void listen(boost::asio::ip::tcp::acceptor& acceptor, const base::Address& at);
// Runs the task once after the span, unless the io_context ends before.
void later(boost::asio::io_context& io, Duration span, std::function<void()> task);

}  // namespace reeltack::standin
