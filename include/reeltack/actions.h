// The actions that a Controller returns to its gateway, to be carried out at once and in order.
//
// Plain values: they belong to the sink to which they were appended. All times are on the gateway's clock.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "reeltack/settings.h"

namespace reeltack {

/// Start a set-up of the call at the server and abandon it at `expires_at`. The attempts of a call are
/// numbered from 0 in the order in which they are sent.
struct SendSetUp {
  CallId call{};
  ServerId server{};
  Time expires_at{};
};
/// Final answer: the call was not accepted. `retry_after` advises when to dial again; 0: no advice.
struct Refuse {
  CallId call{};
  Duration retry_after{};
};
/// Final answer: the call was attempted without success. It may nevertheless have had an effect at a server.
struct Fail {
  CallId call{};
};
/// Stop waiting for an attempt. Its AttemptEnded must still follow.
struct CancelAttempt {
  CallId call{};
  std::uint32_t attempt = 0;
};
/// Report TimerFired with this token at this time or soon after. A timer is never cancelled.
struct SetTimer {
  Time at{};
  TimerToken token{};
};
/// Check a server; the gateway answers with ServerReported.
struct ProbeServer {
  ServerId server{};
};
struct CloseIdleConnections {
  ServerId server{};
};
/// Send these bytes to the other gateways.
struct SendToPeers {
  std::vector<std::uint8_t> bytes;
};
/// Subscribe to the list of servers, or end the subscription.
struct SubscribeToServerList {
  bool on = true;
};
/// Request the list of servers once.
struct FetchServerList {};
/// A line for the gateway's log, written for on-call staff.
struct LogLine {
  std::string text;
};

using Action =
    std::variant<SendSetUp, Refuse, Fail, CancelAttempt, SetTimer, ProbeServer, CloseIdleConnections,
                 SendToPeers, SubscribeToServerList, FetchServerList, LogLine>;
using ActionSink = std::vector<Action>;

}  // namespace reeltack
