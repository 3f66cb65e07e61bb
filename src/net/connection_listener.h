// Accepting side of every frontend: a listening socket and the connections accepted on it.
//
// Runs the event loop that accepts and reads, limits the number of connections, and chooses which of them to
// evict at the limit. A connection on which a request is unanswered is never evicted. Messages are left
// to the Peer subclasses. Public functions may be called from any thread, except as noted.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "net/peer.h"

namespace reeltack::net {

class ConnectionListener {
 public:
  using MakePeer = std::function<std::shared_ptr<Peer>(Fd)>;
  using OnAccepted = std::function<void(Peer&)>;
  ConnectionListener(std::size_t max_connections, MakePeer make, OnAccepted on_accepted = {});
  ~ConnectionListener() { close_all(); }
  ConnectionListener(const ConnectionListener&) = delete;
  ConnectionListener& operator=(const ConnectionListener&) = delete;
  // Starts listening and the loop's thread. Throws std::runtime_error.
  void open(const Address& at);
  [[nodiscard]] Loop& loop() { return *loop_; }  // from open() on, for handlers that share its thread
  // Hands new connections over to a successor process that listens on the same port, if there is one. The
  // successor shares the limits of this host, so connections above `max_connections` are evicted where
  // possible.
  void yield(std::size_t max_connections);
  // Connections that the kernel has already accepted are taken over first.
  void stop_accepting();
  // Selects connections; called with the lock held. Empty: all of them.
  using Filter = std::function<bool(const Peer&)>;
  // Stops accepting and ends each connection once it may be closed (Peer::close).
  void close_idle(const Filter& filter = {});
  void close_now(const Filter& filter = {});  // the same, without waiting for partial messages
  // As close_idle, except for the connection that received something last.
  void close_idle_but_one();
  // As close_now, without waiting for senders to pause either (Peer::close_by).
  void close_by(Time over_by);
  [[nodiscard]] bool closed(const Filter& filter = {});  // none of these connections is left
  void close_all();                                      // close_now(), waits, and ends the thread
  // Connections accepted, and those ended at a limit: a message not complete in time, answers left
  // unread, eviction in favour of others, a full output queue.
  struct Counts {
    std::atomic<std::uint64_t> accepted{0}, timeout{0}, unread{0}, evicted{0}, dropped{0};
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  // Offers something to the open connections, the most recently active first, until one takes it;
  // false: none does. `takes` is called with the lock held and must not call this object.
  bool offer(const std::function<bool(Peer&)>& takes);

 private:
  class ListeningSocket;
  void accept_some(ListeningSocket& listener);
  void admit(Fd fd);
  void on_ended(Peer& peer);
  void evict_excess();  // requires the lock
  void close_peers(bool now, const Filter& filter);
  // Whether one more connection may be accepted; evicts others at the limit.
  bool has_capacity();
  std::atomic<std::size_t> max_connections_;
  const MakePeer make_peer_;
  const OnAccepted on_accepted_;
  std::mutex lock_;
  std::condition_variable changed_;
  Counts counts_;
  std::unordered_map<Peer*, std::shared_ptr<Peer>> peers_;
  std::shared_ptr<ListeningSocket> listener_;
  std::unique_ptr<Loop> loop_;  // last: its handlers end before the members that they use
};

}  // namespace reeltack::net
