// The fleet's sockets: datagrams and exchanges with peers, on one thread that drives the fleet's turn.
//
// Tasks (coroutines on standalone Asio) that own their sockets and their state: one reads datagrams, one
// accepts, a reader, a writer and a watch for each connection; they tell events, and are told actions.
//
// Owns: the sockets, the thread, the order of events, and every bound on what a peer may take of memory or
// time. Must never: decide anything, be waited for by the core, or read the wall clock.
//
// Time: the steady clock, base::now(), as in the core.
// A frozen process (SIGSTOP) that goes on: its first tick comes late and is told the true time. Datagrams
// that came meanwhile and still lie in the socket are read before that tick, so that answers that did come do
// not count as missing; connections whose time has passed are closed.
// Bounds: a peer is read a frame or `max_datagrams_per_read` at a time, then others have their turn; what
// does not fit into a socket's buffer is dropped (datagrams) or queued up to `max_queued_bytes` (connections,
// then closed).
//
// Threads: the constructor starts nothing. start() and stop() by one thread, not the link's own; from_core(),
// reschedule(), kept() and figures() by any. Driver and callbacks are called on the link's thread alone and
// must not block. Errors: LinkError of start(), which names the address. What a driver throws ends the link:
// it is logged as `fleet_link_failed`, figures say so, and the rest of the process goes on without a fleet.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>

#include "fleet/turn/turn.h"

namespace reeltack::fleet::link {

// What decides: fleet::Coordinator behind an adapter, or a test's script.
class Driver {
 public:
  Driver() = default;
  Driver(const Driver&) = delete;
  Driver& operator=(const Driver&) = delete;
  virtual ~Driver() = default;
  virtual void begin(Time now, CoordinatorActions& actions) = 0;  // the link is up
  virtual void on(Time now, const CoordinatorEvent& event, CoordinatorActions& actions) = 0;
  virtual void tick(Time now, CoordinatorActions& actions) = 0;
  virtual void leave(Time now, CoordinatorActions& actions) = 0;
  [[nodiscard]] virtual Time next() const = 0;  // when tick() is due; at most once a millisecond
};

struct LinkSettings {
  Endpoint listen;                   // of datagrams and connections both
  std::map<MemberId, Endpoint> via;  // who is reached through another address, whatever an action names
  Duration dial_timeout = std::chrono::milliseconds(500);
  Duration idle_timeout = std::chrono::seconds(2);  // from one whole frame to the next
  Duration hang_up_timeout = std::chrono::milliseconds(500);
  Duration leave_timeout = std::chrono::milliseconds(200);
  std::size_t most_connections = 32;
  std::size_t max_accepted = 24;                          // of these; the rest is kept for what is dialled
  std::size_t max_accepted_per_address = 4;               // accepted
  std::size_t max_frames = 16;                            // of a peer on one connection
  std::size_t max_queued_bytes = std::size_t{64} * 1024;  // bytes, a connection
  std::size_t max_datagrams_per_read = 64;
  std::size_t max_datagrams_before_tick = 256;
  std::size_t max_core_events = 1024;
};

struct LinkFigures {
  std::uint64_t datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0;  // bytes: of payloads
  std::uint64_t exchange_frames_in = 0, exchange_frames_out = 0, exchange_bytes_in = 0,
                exchange_bytes_out = 0;
  std::uint64_t dialled = 0, accepted = 0, connections = 0;  // connections: now
  std::uint64_t refused = 0;                                 // connections beyond the bounds
  std::uint64_t malformed = 0;                               // datagrams and frames
  std::uint64_t overflowed = 0;  // connections closed since their peer did not read
  std::uint64_t not_sent = 0;    // datagrams the socket did not take, or too long
  std::uint64_t core_dropped = 0;
  Duration cpu{};  // of the link's thread, at its last tick
  bool failed = false;
};

class LinkError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct LinkCallbacks {  // on the link's thread; each may be empty
  std::function<void(recovery::Terms)> to_core;
  std::function<void(Store)> to_store;
  std::function<void(Log)> log;
};

class Link {
 public:
  Link(LinkSettings settings, Driver& driver, LinkCallbacks outward);
  ~Link();  // stops
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void start();  // once; throws LinkError where the address cannot be had
  // Leaves in order: the driver's last actions are carried out, what is queued is written, for leave_timeout
  // at most; then the thread is joined and the sockets are closed.
  void stop();
  void from_core(recovery::Event event);  // never blocks; what finds the queue full is dropped and counted
  void reschedule();                      // the driver's next() may be earlier now; never blocks
  void incarnation_persisted(Incarnation to);  // the store holds it
  [[nodiscard]] LinkFigures figures() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

std::string to_text(Endpoint at);

}  // namespace reeltack::fleet::link
