// A fixed exchange over the WebSocket front: the program's front and core, on real sockets in one process.
//
// Owns: the program's parts, two endpoints that register and a client; the script that they play; and what
//   must hold of every call whatever has failed: one final answer, no set-up twice, nothing left open.
// Must never: expect that nothing failed: that is asked for by name (expect_undisturbed()).
//
// Threads: the test's own, which its creator exempts from faults (faults::TestThread).
#pragma once

#include <functional>
#include <memory>

#include "core/core.h"
#include "core/office_list.h"
#include "system_calls/websocket_peers.h"
#include "ws/front.h"

namespace reeltack::test {

class WebSocketExchange {
 public:
  WebSocketExchange();
  ~WebSocketExchange();
  void start();
  // Endpoints register; calls stand, are refused, released from both sides and given up, and two come in one
  // write.
  void play();
  // A further call stands, at the third try at the latest.
  void expect_serving();
  // A call is in the listener's queue as the front is asked to close.
  void finish();

  void expect_each_answered_once() const;
  void expect_undisturbed() const;

 private:
  bool until(const std::function<bool()>& holds);  // steps all peers; false: not within 10 s
  bool await_final(std::uint64_t call);
  bool stands(std::uint64_t call);
  void release(std::uint64_t call);
  [[nodiscard]] int starts(std::uint64_t call) const;
  [[nodiscard]] int ends(std::uint64_t call) const;

  net::Address address_;
  std::vector<WebSocketEndpoint> endpoints_;
  WebSocketClient client_;
  std::unique_ptr<core::Core> core_;
  std::unique_ptr<core::OfficeList> list_;
  std::unique_ptr<ws::Frontend> front_;
  std::uint64_t further_ = 100;  // calls of expect_serving()
};

}  // namespace reeltack::test
