// Shared helpers of the link's coroutines: counters, context and asio shorthands. Private to this
// folder.
#pragma once

#include <asio.hpp>
#include <atomic>
#include <exception>
#include <functional>

#include "fleet/link/link.h"

namespace reeltack::fleet::link {

using Clock = asio::steady_timer::clock_type;
using ReportEvent = std::function<void(CoordinatorEvent)>;
using WriteLog = std::function<void(Log)>;

struct LinkCounters {  // written by the link's thread, read by any thread
  std::atomic<std::uint64_t> datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0;
  std::atomic<std::uint64_t> frames_in = 0, frames_out = 0, frame_bytes_in = 0, frame_bytes_out = 0;
  std::atomic<std::uint64_t> dialled = 0, accepted = 0, connections = 0, refused = 0, malformed = 0,
                             overflowed = 0, not_sent = 0;
  std::atomic<std::int64_t> cpu = 0;  // ns
  std::atomic<bool> failed = false;
};
inline void count(std::atomic<std::uint64_t>& counter, std::uint64_t by = 1) {
  counter.fetch_add(by, std::memory_order_relaxed);
}

struct TaskContext {  // shared by all coroutines, which it outlives
  asio::io_context& io;
  const LinkSettings& settings;
  LinkCounters& counters;
  ReportEvent report_event;
  WriteLog write_log;
};

// Starts a coroutine. An exception from it leaves io_context::run() and so reaches the handler of the link's
// thread.
inline void spawn(asio::io_context& io, asio::awaitable<void> task) {
  asio::co_spawn(io, std::move(task), [](const std::exception_ptr& error) {
    if (error) std::rethrow_exception(error);
  });
}
inline auto with(asio::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }
inline asio::ip::address address_of(Endpoint at) { return asio::ip::address_v4(at.address); }
// The address at which to reach a member: the configured `via` address if there is one, else the address in
// the action.
inline Endpoint route_to(const LinkSettings& settings, MemberId member, Endpoint address) {
  const auto via = settings.via.find(member);
  return via == settings.via.end() ? address : via->second;
}

}  // namespace reeltack::fleet::link
