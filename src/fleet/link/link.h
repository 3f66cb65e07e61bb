// The fleet's sockets: datagrams and exchange connections with peers, on one thread that also runs the driver
// (the fleet's coordinator).
//
// The link consists of coroutines on standalone Asio, each with its own socket and state: one reads
// datagrams, one accepts connections, and each connection has a reader, a writer and one that enforces its
// deadline. They report events to the driver, whose actions they carry out. The link itself takes no
// decisions.
//
// Time: the steady clock base::now(), as in the core; the wall clock is never read.
// After a process was frozen (SIGSTOP), its first tick is late and receives the true time. Datagrams that
// arrived in the meantime and are still in the socket are read before that tick, so that answers that did
// arrive are not counted as missing. Connections past their deadline are closed.
//
// Bounds: one frame of a
// connection, or `max_datagrams_per_read` datagrams, are read before other coroutines run. What does not fit
// into a socket's buffer is dropped (datagrams), or queued up to `max_queued_bytes` and the connection closed
// beyond that.
//
// Threads: the constructor starts nothing. start() and stop() are called by one thread, not the link's own;
// from_core(), reschedule(), incarnation_persisted() and figures() by any, and they never wait for the link.
// The driver and the callbacks are called on the link's thread only and must not block.
//
// Errors: start()
// throws LinkError, which names the address. An exception from the driver ends the link: it is logged as
// `fleet_link_failed` and shown by figures(), and the rest of the process continues without a fleet.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>

#include "fleet/coordinator/coordinator.h"

namespace reeltack::fleet::link {

// Decides what the link does: fleet::Coordinator behind an adapter, or a test's script.
class Driver {
 public:
  Driver() = default;
  Driver(const Driver&) = delete;
  Driver& operator=(const Driver&) = delete;
  virtual ~Driver() = default;
  virtual void begin(Time now, CoordinatorActions& actions) = 0;  // the link has started
  virtual void on(Time now, const CoordinatorEvent& event, CoordinatorActions& actions) = 0;
  virtual void tick(Time now, CoordinatorActions& actions) = 0;
  virtual void leave(Time now, CoordinatorActions& actions) = 0;
  // When tick() is due. It is called at most once per millisecond.
  [[nodiscard]] virtual Time next() const = 0;
};

struct LinkSettings {
  Endpoint listen;                   // for both datagrams and connections
  std::map<MemberId, Endpoint> via;  // overrides the address in an action
  Duration dial_timeout = std::chrono::milliseconds(500);
  Duration idle_timeout = std::chrono::seconds(2);  // from one complete frame to the next
  Duration hang_up_timeout = std::chrono::milliseconds(500);
  Duration leave_timeout = std::chrono::milliseconds(200);
  std::size_t max_connections = 32;
  std::size_t max_accepted = 24;             // of max_connections; the rest is reserved for dialled ones
  std::size_t max_accepted_per_address = 4;  // from one IPv4 address
  std::size_t max_frames = 16;               // received on one connection
  std::size_t max_queued_bytes = std::size_t{64} * 1024;  // per connection
  std::size_t max_datagrams_per_read = 64;
  std::size_t max_datagrams_before_tick = 256;
  std::size_t max_core_events = 1024;
};

struct LinkFigures {
  std::uint64_t datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0;  // payload bytes
  std::uint64_t exchange_frames_in = 0, exchange_frames_out = 0, exchange_bytes_in = 0,
                exchange_bytes_out = 0;
  std::uint64_t dialled = 0, accepted = 0, connections = 0;  // connections: currently open
  std::uint64_t refused = 0;                                 // connections rejected at a bound
  std::uint64_t malformed = 0;                               // datagrams and frames
  std::uint64_t overflowed = 0;  // connections closed because their send queue was full
  std::uint64_t not_sent = 0;    // datagrams too long or not taken by the socket
  std::uint64_t core_dropped = 0;
  Duration cpu{};  // CPU time of the link's thread as of its last tick
  bool failed = false;
};

class LinkError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct LinkCallbacks {  // called on the link's thread; each may be empty
  std::function<void(recovery::Terms)> to_core;
  std::function<void(Store)> to_store;
  std::function<void(Log)> log;
};

class Link {
 public:
  Link(LinkSettings settings, Driver& driver, LinkCallbacks outward);
  ~Link();  // calls stop()
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void start();  // once only; throws LinkError if the address cannot be bound
  // Leaves in order: carries out the driver's last actions and writes what is queued, for at most
  // leave_timeout; then joins the thread and closes the sockets.
  void stop();
  void from_core(recovery::Event event);  // never blocks; dropped and counted if the queue is full
  void reschedule();  // reads the driver's next() again, which may be earlier now; never blocks
  void incarnation_persisted(Incarnation to);  // the store now holds it durably
  [[nodiscard]] LinkFigures figures() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

std::string to_text(Endpoint at);

}  // namespace reeltack::fleet::link
