// An endpoint that registers on the WebSocket front, and the calls that are set up there.
#pragma once

#include "websocket_rig.h"

namespace reeltack::test {

class WebSocketEndpoint : public WebSocketRig {
 protected:
  // The set-up that the endpoint is to have now.
  void expect_set_up(WebSocketPeer& endpoint, CallId call) {
    settle(*core_);
    endpoint.step();
    expect_message(endpoint, {"set-up", id_text(call)});
  }
  // The call's attempt of this number, which the endpoint has, is given up.
  void give_up(WebSocketPeer& endpoint, CallId call, std::uint32_t attempt) {
    core_->attempt_failed(call, attempt, AttemptOutcome::timeout);
    settle(*core_);
    expect_message(endpoint, {"give-up", id_text(call)});
  }
  // A first attempt that has been given up.
  void give_up_first_attempt(WebSocketPeer& endpoint, CallId call) {
    request(call, 8s);
    expect_set_up(endpoint, call);
    give_up(endpoint, call, 0);
  }
  // A call that stands there.
  void let_stand(WebSocketPeer& endpoint, CallId call) {
    request(call, 8s);
    expect_set_up(endpoint, call);
    endpoint.send(about("started", call, R"(,"description":"d")"));
    EXPECT_TRUE(callers_.await_answer(call).stands);
  }
  void release(CallId call) {
    core_->release(call, callers_);
    settle(*core_);
  }
  void expect_release(WebSocketPeer& endpoint, CallId call) {
    expect_message(endpoint, {"\"release\"", id_text(call)});
  }
};

}  // namespace reeltack::test
