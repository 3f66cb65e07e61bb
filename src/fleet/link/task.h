// What the link's tasks have in common.
//
// Owns: nothing. Must never: be included beyond this folder.
#pragma once

#include <asio.hpp>
#include <atomic>
#include <exception>
#include <functional>

#include "fleet/link/link.h"

namespace reeltack::fleet::link {

using Clock = asio::steady_timer::clock_type;
using Tell = std::function<void(CoordinatorEvent)>;
using Say = std::function<void(Log)>;

struct Counters {  // written by the link's thread, read by any
  std::atomic<std::uint64_t> datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0;
  std::atomic<std::uint64_t> frames_in = 0, frames_out = 0, frame_bytes_in = 0, frame_bytes_out = 0;
  std::atomic<std::uint64_t> dialled = 0, accepted = 0, connections = 0, refused = 0, malformed = 0,
                             overflowed = 0, not_sent = 0;
  std::atomic<std::int64_t> cpu = 0;  // ns
  std::atomic<bool> failed = false;
};
inline void count(std::atomic<std::uint64_t>& of, std::uint64_t more = 1) {
  of.fetch_add(more, std::memory_order_relaxed);
}

struct TaskContext {  // of every task; they outlive the tasks
  asio::io_context& io;
  const LinkSettings& settings;
  Counters& counters;
  Tell tell;
  Say say;
};

// What a task throws reaches the thread's own handler.
inline void spawn(asio::io_context& io, asio::awaitable<void> task) {
  asio::co_spawn(io, std::move(task), [](const std::exception_ptr& error) {
    if (error) std::rethrow_exception(error);
  });
}
inline auto with(asio::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }
inline asio::ip::address address_of(Endpoint at) { return asio::ip::address_v4(at.address); }
// Where the member is reached, the operator's way round before what an action names.
inline Endpoint way_to(const LinkSettings& settings, MemberId member, Endpoint named) {
  const auto via = settings.via.find(member);
  return via == settings.via.end() ? named : via->second;
}

}  // namespace reeltack::fleet::link
