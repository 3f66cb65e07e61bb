// The accepting side of every front: a listener and the connections that came in by it.
//
// Owns: the loop that accepts and reads, the limit on the number of connections, and who of them makes room.
// Must never: know what a peer says, or close one that still waits for an answer to make room.
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
  using Make = std::function<std::shared_ptr<Peer>(Fd)>;
  using Joined = std::function<void(Peer&)>;
  ConnectionListener(std::size_t most, Make make, Joined joined = {});
  ~ConnectionListener() { close_all(); }
  ConnectionListener(const ConnectionListener&) = delete;
  ConnectionListener& operator=(const ConnectionListener&) = delete;
  void open(const Address& at);  // throws std::runtime_error; its thread begins
  // New connections go to a successor, if one listens beside, which shares our limits: no more than `most`
  // are held from now on, where they can be spared.
  void yield(std::size_t most);
  void stop_accepting();  // whoever the kernel has let in already is taken in first
  // Of some connections alone; called with the door's lock held. Empty: of all.
  using Which = std::function<bool(const Peer&)>;
  // Stops accepting; ends each connection once it may be ended (Peer::close).
  void close_idle(const Which& which = {});
  void close_now(const Which& which = {});  // the same, not waiting for messages that have begun
  // As close_idle, but for the connection that was last heard of.
  void close_idle_but_one();
  // As close_now, not waiting for senders to pause either (Peer::close_by).
  void close_by(Time over_by);
  [[nodiscard]] bool closed(const Which& which = {});  // none of these connections is left
  void close_all();                                    // close_now, waited for, and the end of the thread
  // Connections let in, and those ended at a limit: a message not whole in time, answers left unread, room
  // for others, a queue that was full.
  struct Counts {
    std::atomic<std::uint64_t> accepted{0}, late{0}, unread{0}, room{0}, cut{0};
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  // Offers something to the open connections, the one last heard of first, until one takes it; false: none
  // does. `takes` is called with the door's lock held, and must not call the door.
  bool offer(const std::function<bool(Peer&)>& takes);

 private:
  class Listener;
  void accept_some(Listener& listener);
  void admit(Fd fd);
  void left(Peer& peer);
  void make_room();  // with the lock held
  void close_peers(bool now, const Which& which);
  bool place();  // for one more; asks others to end where there is none
  std::atomic<std::size_t> most_;
  const Make make_;
  const Joined joined_;
  std::mutex lock_;
  std::condition_variable changed_;
  Counts counts_;
  std::unordered_map<Peer*, std::shared_ptr<Peer>> peers_;
  std::shared_ptr<Listener> listener_;
  std::unique_ptr<Loop> loop_;  // last: its turns end before what they use
};

}  // namespace reeltack::net
